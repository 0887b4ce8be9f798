package test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// fewDescriptors is a limit that connections of callers use up.
const fewDescriptors = 48

// limitDescriptors makes the process start with fewDescriptors.
func (p *process) limitDescriptors() {
	p.args = append([]string{"-c", fmt.Sprint("ulimit -n ", fewDescriptors, `; exec "$0" "$@"`), p.path}, p.args...)
	p.path = "sh"
}

// Guards against an entry that ends, with what it runs, as accepting a connection fails for lack
// of descriptors.
func TestStreamsSurviveAnEntrysLackOfDescriptors(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, engine: enginestandin.Options{TokenTime: 15 * time.Millisecond}})
	e := c.entries[0]
	c.checkLackOfDescriptors(e, func() []string { return []string{e.listen, e.peer, e.operator} })
}

// checkLackOfDescriptors restarts a process with few descriptors, uses them up while streams are
// in progress, and checks that these and the process come to their ends.
func (c *cluster) checkLackOfDescriptors(n *node, addresses func() []string) {
	assert.Assert(c.t, n.terminate(20*time.Second))
	n.limitDescriptors()
	n.start()
	e := c.entries[0]
	c.waitReady(e)
	h := &history{}
	const streams = 4
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			h.add(complete(context.Background(), request{entry: e, prompt: fmt.Sprint("descriptors ", i), maxTokens: 100, stream: true, timeout: 10 * time.Second}))
		})
	}
	eventually(c.t, 5*time.Second, "streams", func() error {
		if strings.Count(e.logs(), "entry: prompt read.") < streams {
			return errorf("not all have begun")
		}
		return nil
	})
	// The decode begins.
	time.Sleep(200 * time.Millisecond)
	end := flood(addresses()...)
	callers.Wait()
	end()
	assert.Equal(c.t, h.tally(), tally{whole: streams}, "%s", h.describe())
	assert.Check(c.t, strings.Contains(n.logs(), "too many open files"))
	assert.Assert(c.t, n.terminate(20*time.Second))
	assert.Check(c.t, n.exitCode() == 0, "%s", n.cmd.ProcessState)
}

// flood connects to the addresses, each as often as to use up fewDescriptors, and returns a
// function that closes the connections.
func flood(addresses ...string) (end func()) {
	var conns []net.Conn
	for _, a := range addresses {
		for range 2 * fewDescriptors {
			if c, err := net.DialTimeout("tcp", a, time.Second); err == nil {
				conns = append(conns, c)
			}
		}
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// Guards against an agent that takes its own lack of descriptors for the loss of its backend
// server, and gives up what runs there.
func TestStreamsSurviveAnAgentsLackOfDescriptors(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, engine: enginestandin.Options{TokenTime: 15 * time.Millisecond}})
	n := c.decode[0]
	c.checkLackOfDescriptors(n, func() []string { return []string{n.peer, n.operator} })
}
