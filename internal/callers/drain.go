package callers

import (
	"errors"
	"net"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Drain closes the listener without resetting connections in its backlog. Close
// alone resets those, and their callers, which may have sent a request, couldn't
// tell whether it has run. Drain accepts until the backlog is empty and stops
// listening in the next system call. Only connections that arrive between the two
// are still reset. Later ones are refused, which proves that nothing ran. Accept
// returns the accepted connections and then net.ErrClosed.
func (l *Listener) Drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(errors.Join(err, l.Close()), "callers: get the listener's file descriptor")
	}
	var fds []int
	l.drainMu.Lock()
	l.drained = true
	controlErr := raw.Control(func(fd uintptr) { fds, err = acceptAll(int(fd)) })
	for _, fd := range fds {
		c, connErr := connFromFD(fd)
		err = errors.Join(err, connErr)
		if c != nil {
			l.accepted = append(l.accepted, c)
		}
	}
	l.drainMu.Unlock()
	return eris.Wrap(errors.Join(controlErr, err, l.Close()), "callers: drain")
}

// acceptAll accepts all connections in the backlog and then stops listening.
func acceptAll(listener int) (fds []int, err error) {
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

// connFromFD returns a connection for the file descriptor and closes the
// descriptor; the connection has a duplicate.
func connFromFD(fd int) (*net.TCPConn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(eris.New("callers: accepted connection is not TCP"), c.Close())
	}
	return tcp, nil
}

// nextAccepted returns a connection that Drain accepted, or net.ErrClosed if none is
// left. Without a Drain it returns err.
func (l *Listener) nextAccepted(err error) (*net.TCPConn, error) {
	l.drainMu.Lock()
	defer l.drainMu.Unlock()
	if !l.drained {
		return nil, err
	}
	if len(l.accepted) == 0 {
		return nil, net.ErrClosed
	}
	c := l.accepted[0]
	l.accepted = l.accepted[1:]
	return c, nil
}
