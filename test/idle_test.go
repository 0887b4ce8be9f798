package test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry or an agent whose stop waits for a connection at its listener for peers
// over which nothing was ever sent.
func TestStopWaitsForNoIdleConnection(t *testing.T) {
	c := newCluster(t, topology{entries: 1, services: 1})
	for _, n := range c.nodes() {
		conn, err := net.DialTimeout("tcp", n.peer, time.Second)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	for _, n := range c.nodes() {
		assert.Check(t, n.terminate(20*time.Second), "%s didn't stop", n.id)
	}
}
