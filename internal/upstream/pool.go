package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// keepMargin is how much earlier than the server a connection is given up,
	// so that no request crosses the server's close.
	keepMargin = 500 * time.Millisecond
	// maxIdlePerServer bounds the kept connections to one server.
	maxIdlePerServer = 16
)

// Options of a Pool.
type Options struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged by the other
	// side's kernel, and how long a quiet connection's peer may be silent to
	// keep-alive probes. A server that lost its power or its link answers
	// nothing, and without the bound its callers would wait for their deadline.
	AckTimeout time.Duration
	// KeepIdle bounds the rest of a kept connection if the server names none.
	KeepIdle time.Duration
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu sync.Mutex
	// idle connections by address, guarded by mu; the latest used is last.
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{opts: o, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1, Control: p.control}
	return p
}

func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	ms := int(p.opts.AckTimeout.Milliseconds())
	seconds := max(1, ms/3000)
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(err, failed)
}

// conn is one connection. It serves one exchange at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// uses counts the exchanges before the present one.
	uses int
	// wrote: a byte of the present request was handed to the kernel.
	wrote   bool
	keep    bool
	keepFor time.Duration
	idledAt time.Time
	once    sync.Once
}

// Write notes that bytes went out.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

func (c *conn) close() { c.once.Do(func() { _ = c.Close() }) }

var (
	dials  = metrics.NewCounter("jayford_upstream_dials_total")
	reuses = metrics.NewCounter("jayford_upstream_reuses_total")
	stale  = metrics.NewCounter("jayford_upstream_stale_connections_total")
)

func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		rest := time.Since(c.idledAt)
		if rest < c.idleLimit(p.opts.KeepIdle) && (maxIdle == 0 || rest < maxIdle) && c.quiet() {
			c.uses++
			c.wrote, c.keep = false, false
			reuses.Inc()
			return c, nil
		}
		stale.Inc()
		c.close()
	}
	dials.Inc()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (c *conn) idleLimit(standard time.Duration) time.Duration {
	if c.keepFor > 0 {
		return c.keepFor - keepMargin
	}
	return standard
}

// quiet reports whether the other side neither closed the connection nor sent
// bytes that nobody asked for.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && silent
}

func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	if c.r.Buffered() > 0 {
		c.close()
		return
	}
	c.idledAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerServer {
		go c.close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Forget closes the kept connections to an address, of a server that is gone or
// whose connections are suspected to have gone silent.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
