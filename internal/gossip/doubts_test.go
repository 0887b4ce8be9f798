package gossip

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
)

// Guards against a server that doesn't answer and that only the gateway knows which asked it.
func TestDoubtsReachPeers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	at := freeAddresses(t, 2)
	type report struct {
		server uint64
		from   string
	}
	got := make(chan report, 64)
	a, _ := newExchange(at[0], at[1])
	b, _ := newExchange(at[1], at[0])
	b.opts.OnDoubt = func(server uint64, from string, _ time.Time) { got <- report{server, from} }
	run(ctx, t, a)
	run(ctx, t, b)
	a.ReportDoubt(7)
	select {
	case x := <-got:
		assert.Equal(t, x, report{7, at[0]})
	case <-time.After(5 * time.Second):
		t.Fatal("the doubt didn't arrive")
	}
}

// Guards against datagrams that don't fit one packet with doubts, losses, proofs and load at their
// largest, and against doubts that are repeated for good.
func TestDoubtsFitBesideLoad(t *testing.T) {
	e, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	many := map[string]Load{}
	for i := range 500 {
		many[time.Duration(i).String()] = load(1<<20, 1)
	}
	now := time.Now()
	for i := range uint64(maxQueuedReports) {
		e.doubts.add(doubted{^i, now}, now)
		e.losses.add(blame.Loss{Request: ^i, Server: ^i, Began: now.Add(-time.Hour), Lost: now.Add(-time.Hour)}, now)
		e.proofs.add(blame.Proof{Part: ^i, At: now.Add(-time.Hour)}, now)
	}
	n := e.buildUpdate(many, true)
	assert.Equal(t, len(n.Doubts), maxDoubts)
	assert.Assert(t, proto.Size(n) <= maxDatagramBytes, "%d bytes", proto.Size(n))
	assert.Equal(t, len(e.nextDoubts(now.Add(doubtRepeatPeriod))), 0)
}

// Guards against impossible doubts of a peer.
func TestImpossibleDoubtsAreIgnored(t *testing.T) {
	e, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	calls := 0
	e.opts.OnDoubt = func(uint64, string, time.Time) { calls++ }
	e.handleDoubts("10.0.0.2:1", []*pb.Doubt{{Server: 1, AgeMs: 1 << 31}}, time.Now())
	e.handleDoubts("10.0.0.2:1", make([]*pb.Doubt, maxAcceptedDoubts+1), time.Now())
	assert.Equal(t, calls, 0)
	e.handleDoubts("10.0.0.2:1", []*pb.Doubt{{Server: 1, AgeMs: 5}}, time.Now())
	assert.Equal(t, calls, 1)
}
