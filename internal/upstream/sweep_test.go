package upstream

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections to servers that have ended, which nobody takes any more and which
// stay open until the process has no descriptors left.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	answer := func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for reply(t, r, c, "r", "fine") {
		}
	}
	ended, other := serve(t, answer), serve(t, answer)
	p := newPool()
	p.opts.IdleTimeout = 100 * time.Millisecond
	_, err := do(t, p, ended, "r")
	assert.NilError(t, err)
	p.mu.Lock()
	assert.Equal(t, len(p.idle[ended]), 1)
	c := p.idle[ended][0]
	p.mu.Unlock()
	time.Sleep(sweepInterval + p.opts.IdleTimeout)
	_, err = do(t, p, other, "r")
	assert.NilError(t, err)
	p.mu.Lock()
	assert.Equal(t, len(p.idle), 1, "the expired connection is still kept")
	p.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
}
