package callers

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/memory"
)

// pipelinedPollInterval is how often a connection with unread bytes is polled.
// While there are such bytes, a peek can't detect that the caller closed it.
const pipelinedPollInterval = 100 * time.Millisecond

var unreadRefusals = metrics.NewCounter("jayford_callers_closed_for_unread_bytes_total")

// Watch returns a context that ends when the caller closes its connection.
//
// The HTTP library doesn't notify handlers of closed connections, so a request
// would keep its queue position, slot and engine memory after its caller has
// disconnected. The watching goroutine is parked in the network poller and peeks
// at the socket when it becomes readable, so an idle watch uses no CPU time. stop
// ends the watch and must be called before the connection is read again.
func Watch(parent context.Context, c net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	cc, ok := c.(*Conn)
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	raw, err := cc.SyscallConn()
	if err != nil {
		return ctx, func() { cancel(nil) }
	}
	_ = cc.SetReadDeadline(time.Time{})
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		w := watcher{raw: raw, quit: quit}
		if cc.server != nil {
			w.pool = cc.server.serving
		}
		if w.waitClosed() {
			cancel(ErrDisconnected)
		}
		w.release()
	}()
	var once sync.Once
	return ctx, func() {
		once.Do(func() {
			close(quit)
			// A deadline in the past unblocks the peek.
			_ = cc.SetReadDeadline(time.Unix(1, 0))
			wg.Wait()
			_ = cc.SetReadDeadline(time.Time{})
			cancel(nil)
		})
	}
}

// ErrDisconnected is the cause of a context that ended because the caller closed its
// connection.
var ErrDisconnected = errors.New("callers: connection closed by caller")

// watcher waits for the end of a connection.
type watcher struct {
	raw  syscall.RawConn
	quit <-chan struct{}
	// pool is charged for the unread bytes in the kernel's buffer; it may be nil.
	pool   *memory.Serving
	unread int64
}

// waitClosed returns true when the caller closes its connection, or when there is no memory for what
// it sends beyond its request. It returns false when quit is closed.
func (w *watcher) waitClosed() bool {
	for {
		state := peek(w.raw)
		switch state {
		case peekClosed:
			return true
		case peekData:
			return w.pollClosed()
		case peekInterrupted:
		}
		select {
		case <-w.quit:
			return false
		case <-time.After(time.Millisecond):
		}
	}
}

type peekResult int

const (
	peekInterrupted peekResult = iota
	peekClosed
	peekData
)

// peek waits until the socket is readable and returns the reason.
func peek(raw syscall.RawConn) peekResult {
	result := peekInterrupted
	var buf [1]byte
	err := raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			return false
		case err != nil || n == 0:
			result = peekClosed
		default:
			result = peekData
		}
		return true
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return peekClosed
	}
	return result
}

// pollClosed polls whether the caller has closed its side of a connection that has
// unread bytes, such as a pipelined request.
func (w *watcher) pollClosed() bool {
	tick := time.NewTicker(pipelinedPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.quit:
			return false
		case <-tick.C:
		}
		closed, unread := false, 0
		err := w.raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			closed = err == nil && n > 0
			// Without an answer nothing is charged.
			unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		})
		if closed || err != nil || !w.charge(int64(unread)) {
			return true
		}
	}
}

// charge charges the unread bytes in place of those of the last poll, and reports whether there was
// memory for them.
func (w *watcher) charge(unread int64) bool {
	if w.pool == nil {
		return true
	}
	more := unread - w.unread
	if more > 0 && !w.pool.Take(more) {
		unreadRefusals.Inc()
		return false
	}
	if more < 0 {
		w.pool.Return(-more)
	}
	w.unread = unread
	return true
}

func (w *watcher) release() {
	if w.pool != nil {
		w.pool.Return(w.unread)
	}
}
