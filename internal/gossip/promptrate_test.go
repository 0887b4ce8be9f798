package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// receiveFrom makes an exchange handle a datagram as if it came from a peer.
func receiveFrom(t *testing.T, e *Exchange, from string, n *pb.News) {
	t.Helper()
	text, err := proto.Marshal(n)
	assert.NilError(t, err)
	e.handleDatagram(from, text)
}

// The split of the engines follows the sum of the rates. It must be of the last full update of
// each listed peer, and say how many have reported.
func TestPromptRateIsTheSumOfTheListedPeers(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	e.refreshPeers()
	check := func(rate float64, reported int) {
		t.Helper()
		sum, n, listed := e.PromptRate()
		assert.Equal(t, sum, rate)
		assert.Equal(t, n, reported)
		assert.Equal(t, listed, 3)
	}
	check(0, 0)
	receiveFrom(t, e, "127.0.0.1:2", &pb.News{Start: 1, Sequence: 1, Whole: true, PromptRate: 5000})
	receiveFrom(t, e, "127.0.0.1:3", &pb.News{Start: 1, Sequence: 1, PromptRate: 5000})
	check(5000, 1)
	receiveFrom(t, e, "127.0.0.1:3", &pb.News{Start: 1, Sequence: 2, Whole: true, PromptRate: 700})
	check(5700, 2)
	receiveFrom(t, e, "127.0.0.1:2", &pb.News{Start: 1, Sequence: 2})
	check(5700, 2)
	receiveFrom(t, e, "127.0.0.1:2", &pb.News{Start: 2, Sequence: 1})
	check(700, 1)
	receiveFrom(t, e, "127.0.0.1:9", &pb.News{Start: 1, Sequence: 1, Whole: true, PromptRate: 9})
	check(700, 1)
	e.table.expire(time.Now().Add(time.Hour), time.Minute)
	check(0, 0)
}

// A datagram with an impossible rate must change nothing, or one faulty gateway would move engines
// away from decode.
func TestImpossiblePromptRateIsDropped(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1", "127.0.0.1:2")
	e.refreshPeers()
	before := malformed.Get()
	receiveFrom(t, e, "127.0.0.1:2", &pb.News{
		Start: 1, Sequence: 1, Whole: true, PromptRate: maxPromptRate + 1, Engines: []*pb.EngineLoad{{Engine: ServerKey("e1"), Tokens: 9}},
	})
	assert.Equal(t, malformed.Get(), before+1)
	assert.Equal(t, len(e.table.peers), 0)
	receiveFrom(t, e, "127.0.0.1:2", &pb.News{Start: 1, Sequence: 1, Whole: true, PromptRate: maxPromptRate})
	sum, _, _ := e.PromptRate()
	assert.Equal(t, sum, float64(maxPromptRate))
}

// The rate goes only into full updates, within its bounds.
func TestPromptRateIsInFullUpdates(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1")
	rate := 1234.4
	e.opts.OwnPromptRate = func() float64 { return rate }
	assert.Equal(t, e.buildUpdate(nil, true).PromptRate, uint32(1234))
	assert.Equal(t, e.buildUpdate(nil, false).PromptRate, uint32(0))
	rate = 1e12
	assert.Equal(t, e.buildUpdate(nil, true).PromptRate, uint32(maxPromptRate))
	rate = -1
	assert.Equal(t, e.buildUpdate(nil, true).PromptRate, uint32(0))
}
