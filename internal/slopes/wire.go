package slopes

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/credentials"
)

// meter counts the bytes of TCP payload on the wrapped connections.
type meter struct{ read, written atomic.Int64 }

// total returns the bytes in both directions.
func (m *meter) total() float64 { return float64(m.read.Load() + m.written.Load()) }

func (m *meter) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, m}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.read.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.written.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, l.meter}, nil
}

// meteredCredentials wraps other credentials and counts the bytes on the connection
// below them.
type meteredCredentials struct {
	credentials.TransportCredentials
	meter *meter
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *meteredCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.TransportCredentials.ClientHandshake(ctx, authority, &meteredConn{conn, c.meter})
}

// Clone implements credentials.TransportCredentials.
func (c *meteredCredentials) Clone() credentials.TransportCredentials {
	return &meteredCredentials{c.TransportCredentials.Clone(), c.meter}
}
