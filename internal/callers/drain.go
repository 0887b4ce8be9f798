package callers

import (
	"errors"
	"net"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Drain closes the listener without cutting a caller. Close alone resets what
// the kernel has taken and the process hasn't accepted yet; such a caller has
// sent its request and can't know whether it ran. Drain accepts until nothing
// is left and stops listening in the next system call, so that only what comes
// between the two is still reset, and what comes later is refused by the kernel,
// which proves that nothing ran. Accept hands out what was taken last, and then
// says that the listener is closed.
func (l *Listener) Drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(errors.Join(err, l.Close()), "callers: listener's descriptor")
	}
	var rest []int
	l.drainMu.Lock()
	l.drained = true
	ctl := raw.Control(func(fd uintptr) { rest, err = acceptRest(int(fd)) })
	for _, fd := range rest {
		c, connErr := connOf(fd)
		err = errors.Join(err, connErr)
		if c != nil {
			l.late = append(l.late, c)
		}
	}
	l.drainMu.Unlock()
	return eris.Wrap(errors.Join(ctl, err, l.Close()), "callers: drain")
}

// acceptRest accepts all connections that wait and then stops the listening.
func acceptRest(listener int) (fds []int, err error) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			fds = append(fds, fd)
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		case errors.Is(err, unix.EAGAIN):
			return fds, unix.Shutdown(listener, unix.SHUT_RDWR)
		default:
			return fds, err
		}
	}
}

// connOf returns a connection of the descriptor, which it takes over.
func connOf(fd int) (*net.TCPConn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(eris.New("callers: the connection isn't TCP"), c.Close())
	}
	return tcp, nil
}

// acceptLate returns a connection that Drain took, or the error if none is left.
func (l *Listener) acceptLate(err error) (*net.TCPConn, error) {
	l.drainMu.Lock()
	defer l.drainMu.Unlock()
	if !l.drained {
		return nil, err
	}
	if len(l.late) == 0 {
		return nil, net.ErrClosed
	}
	c := l.late[0]
	l.late = l.late[1:]
	return c, nil
}
