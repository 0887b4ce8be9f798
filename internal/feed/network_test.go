package feed

import (
	"net"
	"sync"
)

// network can mute all connections accepted so far: data sent on them is lost,
// nothing arrives, and neither end gets an error.
type network struct {
	mu sync.Mutex
	// conns is guarded by mu.
	conns []*mutableConn
}

type mutableListener struct {
	net.Listener
	network *network
}

type mutableConn struct {
	net.Conn
	muted  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (n *network) wrap(ln net.Listener) net.Listener { return &mutableListener{ln, n} }

func (n *network) mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		close(c.muted)
	}
	n.conns = nil
}

func (l *mutableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &mutableConn{Conn: c, muted: make(chan struct{}), closed: make(chan struct{})}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.network.conns = append(l.network.conns, m)
	return m, nil
}

func (c *mutableConn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

func (c *mutableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *mutableConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *mutableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
