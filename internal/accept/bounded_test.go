package accept

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections that stay open and keep the load balancer's checks out.
func TestOldestConnectionGivesWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &Bounded{Listener: l, Most: 2}
	defer b.Close()
	var callers, accepted []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		callers = append(callers, c)
		a, err := b.Accept()
		assert.NilError(t, err)
		accepted = append(accepted, a)
	}
	var one [1]byte
	assert.NilError(t, callers[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err = callers[0].Read(one[:])
	assert.ErrorContains(t, err, "EOF")
	for i := 1; i < 3; i++ {
		_, err := accepted[i].Write([]byte("x"))
		assert.NilError(t, err)
		_, err = callers[i].Read(one[:])
		assert.NilError(t, err)
		assert.NilError(t, accepted[i].Close())
	}
	assert.Equal(t, len(b.open), 0)
}
