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

// Hundreds of gateways send each other an update on each request. On average a gateway must
// send less than its limit, and a burst of a few seconds must not exclude any peer.
func TestAFleetIsToldWithinTheBound(t *testing.T) {
	const bytesPerPeer = 200
	for _, c := range []struct {
		peers int
		all   bool
	}{{4, true}, {67, true}, {369, false}} {
		a := newRecipients()
		near, far := addresses(c.peers)[:c.peers/5], addresses(c.peers)[c.peers/5:]
		for range 180 {
			a.update("self", near, far)
			a.recordSent(bytesPerPeer, len(a.selected))
			a.nextFull()
		}
		assert.Equal(t, a.all, c.all, "%d peers", c.peers)
		assert.Assert(t, a.all == (len(a.selected) == c.peers))
		assert.Assert(t, float64(len(a.selected))*a.cost <= broadcastBytesPerSecond, "%d peers cost %.0f bytes each", len(a.selected), a.cost)
	}
	a := newRecipients()
	peers := addresses(67)
	for i := range 64 {
		a.update("self", peers[:13], peers[13:])
		a.recordSent(bytesPerPeer*(1+i/60), len(peers))
		a.nextFull()
	}
	assert.Assert(t, a.all)
}

// Full updates make up for lost datagrams and give new peers the current load. Each peer must
// get one in its turn, and a new peer in the next second.
func TestEveryPeerGetsEverythingInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newRecipients()
		n := rapid.IntRange(1, 200).Draw(t, "peers")
		all := addresses(n + 30)
		last := map[string]int{}
		for second := range 3 * rotationSeconds(len(all)) {
			if second == rotationSeconds(len(all)) {
				n += rapid.IntRange(0, 30).Draw(t, "newcomers")
			}
			a.update("self", all[:n], nil)
			recipients := a.nextFull()
			for _, p := range recipients {
				last[p] = second
			}
			for _, p := range all[:n] {
				at, ok := last[p]
				assert.Assert(t, ok, "%s got no full update in its first second", p)
				assert.Assert(t, second-at <= rotationSeconds(n), "%s has waited since second %d, at second %d", p, at, second)
			}
		}
	})
}
