package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("10.0.0.", i, ":1")
	}
	return out
}

// Hundreds of gateways tell each other of each request. What a gateway sends must stay
// within its bound in the mean, and a burst of seconds must not leave anybody out.
func TestAFleetIsToldWithinTheBound(t *testing.T) {
	const bytesPerPeer = 200
	for _, c := range []struct {
		peers int
		all   bool
	}{{4, true}, {67, true}, {369, false}} {
		a := newAudience()
		near, far := addresses(c.peers)[:c.peers/5], addresses(c.peers)[c.peers/5:]
		for range 180 {
			a.list("self", near, far)
			a.sent(bytesPerPeer, len(a.told))
			a.second()
		}
		assert.Equal(t, a.all, c.all, "%d peers", c.peers)
		assert.Assert(t, a.all == (len(a.told) == c.peers))
		assert.Assert(t, float64(len(a.told))*a.cost <= tellingBytes, "%d peers cost %.0f bytes each", len(a.told), a.cost)
	}
	a := newAudience()
	peers := addresses(67)
	for i := range 64 {
		a.list("self", peers[:13], peers[13:])
		a.sent(bytesPerPeer*(1+i/60), len(peers))
		a.second()
	}
	assert.Assert(t, a.all)
}

// A datagram with everything mends those that were lost, and is how a newcomer hears of
// what runs. Each peer must get it in its turn, and newcomers in the next second.
func TestEveryPeerGetsEverythingInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAudience()
		n := rapid.IntRange(1, 200).Draw(t, "peers")
		all := addresses(n + 30)
		last := map[string]int{}
		for second := range 3 * seconds(len(all)) {
			if second == seconds(len(all)) {
				n += rapid.IntRange(0, 30).Draw(t, "newcomers")
			}
			a.list("self", all[:n], nil)
			told := a.second()
			for _, p := range told {
				last[p] = second
			}
			for _, p := range all[:n] {
				at, ok := last[p]
				assert.Assert(t, ok, "%s has got nothing in its first second", p)
				assert.Assert(t, second-at <= seconds(n), "%s waits since %d at %d", p, at, second)
			}
		}
	})
}
