package logs

import (
	"io"
	"time"
)

// WriteWithin writes text to out and waits for the write at most for within. It is for what
// a process reports as it exits, which must not depend on a reader.
func WriteWithin(out io.Writer, text string, within time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.WriteString(out, text)
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
}
