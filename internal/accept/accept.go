// Package accept keeps a listener accepting through errors that pass, such as a lack of file
// descriptors. fasthttp's server ends with the first of them, unlike net/http's and gRPC's, and
// a role ends with its server.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// retryPause is the time between two tries. It is short beside the time that a stopping process
// leaves for connections which have been accepted already.
const retryPause = 10 * time.Millisecond

var failures = metrics.NewCounter("jayford_accept_failures_total")

// Listener is a net.Listener whose Accept fails only for good.
type Listener struct {
	net.Listener
	Retrier
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !l.Retry(err) {
			return c, err
		}
	}
}

// Retrier tells one accepting goroutine whether to try again. Its zero value logs nothing.
type Retrier struct {
	// Log gets a line as errors begin, and one as they end; it may be nil.
	Log logrus.FieldLogger

	// failed counts the errors since began without an accepted connection.
	failed int
	began  time.Time
}

// Retry takes the error of an accept, nil if it succeeded. After one that passes it pauses and
// returns true.
func (r *Retrier) Retry(err error) bool {
	if !passes(err) {
		r.end(err)
		return false
	}
	failures.Inc()
	if r.failed == 0 {
		r.began = time.Now()
		if r.Log != nil {
			r.Log.WithError(err).Warn("accept: failed, trying again.")
		}
	}
	r.failed++
	time.Sleep(retryPause)
	return true
}

// end ends a series of errors, if there was one.
func (r *Retrier) end(err error) {
	if r.failed > 0 && err == nil && r.Log != nil {
		r.Log.WithFields(logrus.Fields{"failed": r.failed, "took": time.Since(r.began).String()}).Info("accept: connections are accepted again.")
	}
	r.failed = 0
}

// passes reports whether a later accept may succeed: Linux also returns errors of the new
// connection's network. The excluded ones say that the listener is closed or unusable.
func passes(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT:
		return false
	}
	return true
}
