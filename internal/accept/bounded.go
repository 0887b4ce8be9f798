package accept

import (
	"net"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var displaced = metrics.NewCounter("jayford_accept_displaced_connections_total")

// Bounded is a net.Listener with a bound on its open connections. One more closes the oldest, so that
// connections that stay open don't keep out a balancer or an operator.
type Bounded struct {
	net.Listener
	// Most is the bound.
	Most int

	mu sync.Mutex
	// open has the open connections, the oldest first. It is guarded by mu.
	open []*boundedConn
}

type boundedConn struct {
	net.Conn
	listener *Bounded
}

// Accept implements net.Listener.
func (b *Bounded) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	bounded := &boundedConn{Conn: c, listener: b}
	if oldest := b.add(bounded); oldest != nil {
		displaced.Inc()
		_ = oldest.Close()
	}
	return bounded, nil
}

// add adds a connection and returns the one to close, nil if there is room.
func (b *Bounded) add(c *boundedConn) *boundedConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = append(b.open, c)
	if len(b.open) <= b.Most {
		return nil
	}
	return b.open[0]
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.open = slices.DeleteFunc(c.listener.open, func(x *boundedConn) bool { return x == c })
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
