package accept

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedListener returns errors in turn, nil for a connection.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// Guards against a server that ends for an error of accept that passes, or goes on for good with
// a listener that is closed.
func TestOnlyPassingErrorsAreRetried(t *testing.T) {
	passing := []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM), acceptError(syscall.EHOSTUNREACH), acceptError(syscall.EPROTO)}
	l := &Listener{Listener: &scriptedListener{errs: append(passing, nil)}}
	c, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	for _, final := range []error{net.ErrClosed, io.EOF, errors.New("other"), acceptError(syscall.EINVAL), acceptError(syscall.EBADF)} {
		l := &Listener{Listener: &scriptedListener{errs: []error{acceptError(syscall.EMFILE), final}}}
		_, err := l.Accept()
		assert.ErrorIs(t, err, final)
	}
}
