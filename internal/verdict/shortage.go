package verdict

import (
	"errors"
	"syscall"
)

// IsLocalShortage reports whether a call failed as this process, or its machine, lacked
// descriptors or memory for a connection. That says nothing of the other end.
func IsLocalShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
