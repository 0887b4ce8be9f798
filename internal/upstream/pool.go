package upstream

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/response"
)

const (
	writeBuffer = 4 << 10
	// keepAliveMargin is how long before the server's keep-alive timeout a
	// connection is discarded, so that no request is sent while the server closes
	// it.
	keepAliveMargin  = 500 * time.Millisecond
	maxIdlePerServer = 16
	// maxIDs is how many ids a connection may carry.
	maxIDs = 256
	// sweepInterval is the least time between two searches for expired connections.
	sweepInterval = time.Second
)

// Options of a Pool.
type Options struct {
	// DialTimeout bounds the setup of a new connection.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged and, while there is
	// no traffic, how long TCP keep-alive probes may stay unanswered. Without it,
	// requests to a server that lost power or its network link would wait until
	// their deadline.
	AckTimeout time.Duration
	// IdleTimeout is the idle timeout of connections whose server sends no keep-alive
	// timeout.
	IdleTimeout time.Duration
	// IDHeader is the header that carries a request's id in both directions. It must be set if
	// requests have ids.
	IDHeader string
}

// Pool is a pool of keep-alive connections to backend servers. It is safe for
// concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu sync.Mutex
	// idle has the idle connections by address, the most recently used last, and swept is
	// when the expired ones were last closed. Both are guarded by mu.
	idle  map[string][]*conn
	swept time.Time
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

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	addr     string
	idHeader string
	r        *response.Reader
	// number numbers the connections of the process, from 1.
	number uint64
	// connectedAt is when the connection was established.
	connectedAt time.Time
	// uses counts the exchanges, with the current one.
	uses int
	// ids has the hashes of the ids of requests, and of the unique ids in responses without one.
	ids []uint64
	// wrote: at least one byte of the current request was written to the socket.
	wrote            bool
	keepAlive        bool
	keepAliveTimeout time.Duration
	idleSince        time.Time
	once             sync.Once
}

// Write writes b and records whether any byte was written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

func (c *conn) close() { c.once.Do(func() { _ = c.Close() }) }

var (
	dials   = metrics.NewCounter("jayford_upstream_dials_total")
	reuses  = metrics.NewCounter("jayford_upstream_reuses_total")
	stale   = metrics.NewCounter("jayford_upstream_stale_connections_total")
	surplus = metrics.NewCounter("jayford_upstream_surplus_connections_total")
	passed  = metrics.NewCounter("jayford_upstream_passed_connections_total")
	dropped = metrics.NewCounter("jayford_upstream_dropped_responses_total")
)

// connections counts the connections of the process.
var connections atomic.Uint64

// idSeed is the seed of the hashes of ids.
var idSeed = maphash.MakeSeed()

// get returns a connection for r.
func (p *Pool) get(ctx context.Context, addr string, r *Request, t *Trace) (*conn, error) {
	for r.mayShare() {
		c := p.take(addr, r)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleLimit(p.opts.IdleTimeout) && c.isReusable() {
			c.begin(r.ID)
			c.wrote, c.keepAlive = false, false
			reuses.Inc()
			return c, nil
		}
		if c.hasSurplus() {
			t.Surplus++
			surplus.Inc()
		}
		stale.Inc()
		c.close()
	}
	dials.Inc()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, idHeader: p.opts.IDHeader, number: connections.Add(1), connectedAt: time.Now()}
	c.begin(r.ID)
	c.r = response.NewReader(c)
	return c, nil
}

func (c *conn) idleLimit(fallback time.Duration) time.Duration {
	if c.keepAliveTimeout > 0 {
		return c.keepAliveTimeout - keepAliveMargin
	}
	return fallback
}

// isReusable reports whether the server has neither closed the connection nor sent
// unexpected bytes.
func (c *conn) isReusable() bool { return c.r.Buffered() == 0 && response.IsSilent(c.Conn) }

// hasSurplus reports whether the server has sent bytes behind its last response.
func (c *conn) hasSurplus() bool { return c.r.Buffered() > 0 || response.HasUnread(c.Conn) }

// take returns the idle connection to addr that was used last, of those that haven't carried r's id,
// unless it was idle for too long for r. A copy of the response to the earlier exchange couldn't be
// told from that to r.
func (p *Pool) take(addr string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.hasCarried(r.ID) {
			passed.Inc()
			continue
		}
		if r.MaxIdle > 0 && time.Since(c.idleSince) >= r.MaxIdle {
			return nil
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// begin begins an exchange under an id, "" for none.
func (c *conn) begin(id string) {
	c.uses++
	if id != "" {
		c.remember(id)
	}
}

func (c *conn) remember(id string) { c.ids = append(c.ids, maphash.String(idSeed, id)) }

// hasCarried reports whether an id was remembered. Another one with the same hash counts, too.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.ids, maphash.String(idSeed, id))
}

func (p *Pool) put(c *conn) {
	if c.r.Buffered() > 0 {
		surplus.Inc()
		c.close()
		return
	}
	if len(c.ids) >= maxIDs {
		c.close()
		return
	}
	c.r.Trim()
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepLocked(c.idleSince)
	if len(p.idle[c.addr]) >= maxIdlePerServer {
		go c.close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// sweepLocked closes the connections that are too old for a further request. Nobody asks for
// those to a server that has ended, and each would keep its descriptor.
func (p *Pool) sweepLocked(now time.Time) {
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for addr, list := range p.idle {
		expired := 0
		for expired < len(list) && now.Sub(list[expired].idleSince) >= list[expired].idleLimit(p.opts.IdleTimeout) {
			go list[expired].close()
			expired++
		}
		if p.idle[addr] = list[expired:]; expired == len(list) {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address, for a server that was removed
// or whose connections may be dead.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
