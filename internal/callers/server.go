package callers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/memory"
)

var (
	evictions       = metrics.NewCounter("jayford_callers_evicted_requests_total")
	refusedRequests = metrics.NewCounter("jayford_callers_refused_requests_total")
)

// HTTPLog takes the HTTP library's log lines. Their text contains addresses, so it is
// logged as a field and the log's rate limit counts them as one message.
type HTTPLog struct {
	Log     *logrus.Entry
	Message string
}

// Printf logs one line.
func (l HTTPLog) Printf(format string, args ...any) {
	l.Log.WithField("detail", fmt.Sprintf(format, args...)).Info(l.Message)
}

// ServerOptions of a Server.
type ServerOptions struct {
	// HTTP returns a new server of the HTTP library with its handlers. The Server sets how it reads.
	HTTP func() *fasthttp.Server
	// MaxHeaderBytes bounds a head.
	MaxHeaderBytes int
	// HeaderTimeout bounds the arrival of a head, BodyTimeout that of a small body behind it, which is
	// read before the HTTP library has the request, and IdleTimeout the time between two requests of a
	// connection whose listener has none.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// Limits bound the memory of requests.
	Limits memory.Limits
}

// Server serves callers' connections. A connection is handed to the HTTP library only when the head of
// a request has arrived, and is taken back when that has been answered: in between it holds no buffer
// and no parsed request.
type Server struct {
	opts     ServerOptions
	arriving *memory.Arriving
	serving  *memory.Serving
	// small serves requests with small heads, large all others.
	small, large *queue

	mu sync.Mutex
	// All below is guarded by mu: the connections that wait for a request, and whether they are to
	// be closed.
	waiting  map[*Conn]struct{}
	stopping bool
}

// queue passes connections on to a server of the HTTP library, as its listener.
type queue struct {
	http   *fasthttp.Server
	conns  chan *Conn
	closed chan struct{}
	once   sync.Once
	// worker is what the library takes for a connection, in bytes.
	worker int64
}

// workerBytes is what the HTTP library takes for a request besides its read buffer: the buffer for
// writing, the request's context and the stacks of its goroutines.
const workerBytes = 12 << 10

// maxIdleWorker is how long a goroutine of the HTTP library waits for another connection, with the
// stack that it has grown.
const maxIdleWorker = 2 * time.Second

// NewServer returns a server without connections.
func NewServer(o ServerOptions) *Server {
	s := &Server{
		opts: o, arriving: memory.NewArriving(o.Limits.Arriving, time.Now), serving: memory.NewServing(o.Limits.Serving),
		waiting: map[*Conn]struct{}{},
	}
	s.small, s.large = newQueue(o.HTTP(), headBuffer), newQueue(o.HTTP(), max(headBuffer, o.MaxHeaderBytes))
	return s
}

func newQueue(http *fasthttp.Server, buffer int) *queue {
	http.ReadBufferSize = buffer
	// Handlers read the body themselves. The library reads up to this size before, which must be
	// over 0.
	http.StreamRequestBody, http.MaxRequestBodySize = true, 1
	http.ConnState = trackState
	http.MaxIdleWorkerDuration = maxIdleWorker
	// Otherwise errors quote what was received.
	http.SecureErrorLogMessage = true
	return &queue{http: http, conns: make(chan *Conn), closed: make(chan struct{}), worker: workerBytes + int64(buffer)}
}

// trackState follows the HTTP library's use of a connection.
func trackState(c net.Conn, state fasthttp.ConnState) {
	cc, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateIdle:
		cc.incoming.end()
		cc.Idle.Store(true)
	case fasthttp.StateActive:
		cc.Idle.Store(false)
	case fasthttp.StateNew, fasthttp.StateHijacked, fasthttp.StateClosed:
	}
}

// Serve serves the connections that accept returns until it fails. Connections that are open by then
// are served further.
func (s *Server) Serve(accept func() (*Conn, error)) error {
	failed := make(chan error, 3)
	for _, q := range []*queue{s.small, s.large} {
		go func() { failed <- q.http.Serve(q) }()
	}
	go func() { failed <- s.acceptAll(accept) }()
	return <-failed
}

func (s *Server) acceptAll(accept func() (*Conn, error)) error {
	for {
		c, err := accept()
		if err != nil {
			return err
		}
		if c.raw, err = c.SyscallConn(); err != nil {
			_ = c.Close()
			continue
		}
		c.server = s
		go s.await(c)
	}
}

// await waits for a request on a connection and passes it on.
func (s *Server) await(c *Conn) {
	if !s.add(c) {
		_ = c.Close()
		return
	}
	ok := c.incoming.await(c)
	s.remove(c)
	if !ok {
		_ = c.Close()
		return
	}
	q := s.small
	if c.incoming.err == nil {
		q = s.queueFor(&c.incoming.head)
	}
	select {
	case q.conns <- c:
	case <-q.closed:
		_ = c.Close()
	}
}

// queueFor returns the server of the HTTP library that a request needs: one whose buffer has room for
// the head, and for a trailer if there may be one.
func (s *Server) queueFor(h *head) *queue {
	if h.isChunked || len(h.bytes()) > headBuffer {
		return s.large
	}
	return s.small
}

func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.waiting[c] = struct{}{}
	return true
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, c)
}

// Shutdown closes idle connections and waits for the requests that run, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for c := range s.waiting {
		_ = c.TCPConn.Close()
	}
	s.mu.Unlock()
	err := s.small.http.ShutdownWithContext(ctx)
	return errors.Join(err, s.large.http.ShutdownWithContext(ctx))
}

// Usage is what the memory of requests is used for, in bytes.
type Usage struct {
	Arriving int64         `json:"arriving"`
	Serving  int64         `json:"serving"`
	Limits   memory.Limits `json:"limits"`
}

// Usage returns the current usage.
func (s *Server) Usage() Usage {
	return Usage{Arriving: s.arriving.Used(), Serving: s.serving.Used(), Limits: s.opts.Limits}
}

// Accept implements net.Listener.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *queue) Addr() net.Addr { return &net.TCPAddr{} }

var errNoConn = eris.New("callers: the connection isn't a caller's")
