package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/policy/blame"
)

// Guards against losses that are never sent because a server took down more requests than
// one datagram holds.
func TestAllLossesAreSentInTurn(t *testing.T) {
	var q lossQueue
	now := time.Now()
	for i := range uint64(20) {
		q.add(blame.Loss{Request: i, Server: 1}, now)
	}
	sent := map[uint64]int{}
	for q.hasUnsent() {
		list := q.next(maxLosses, now)
		assert.Equal(t, len(list), maxLosses)
		for _, x := range list {
			sent[x.Request]++
		}
	}
	assert.Equal(t, len(sent), 20)
	assert.Equal(t, len(q.next(maxLosses, now.Add(reportRepeatPeriod+1))), 0)
	for i := range uint64(1000) {
		q.add(blame.Loss{Request: i, Server: 2}, now)
	}
	assert.Equal(t, len(q.list), maxQueuedReports)
}

// Guards against datagrams that don't fit one packet with losses and load at their largest.
func TestLossesFitBesideLoad(t *testing.T) {
	e, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	e.opts.Evidence = func(limit int) []blame.Loss { return make([]blame.Loss, limit) }
	many := map[string]Load{}
	for i := range 500 {
		many[time.Duration(i).String()] = load(1<<20, 1)
	}
	now := time.Now()
	for i := range uint64(maxQueuedReports) {
		e.losses.add(blame.Loss{Request: ^i, Server: ^i, Began: now.Add(-time.Hour), Lost: now.Add(-time.Hour)}, now)
	}
	n := e.buildUpdate(many, true)
	assert.Equal(t, len(n.Losses), maxLosses)
	assert.Assert(t, proto.Size(n) <= maxDatagramBytes, "%d bytes", proto.Size(n))
}

// Guards against datagrams that don't fit one packet with a loss of many parts, proofs and load at
// their largest, and against losses that are left out for good as they don't fit together.
func TestLossesWithManyPartsFitBesideLoad(t *testing.T) {
	e, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	many := map[string]Load{}
	for i := range 500 {
		many[time.Duration(i).String()] = load(1<<20, 1)
	}
	now := time.Now()
	parts := make([]uint64, blame.MaxParts)
	for i := range parts {
		parts[i] = ^uint64(i)
	}
	const losses = 20
	for i := range uint64(losses) {
		e.losses.add(blame.Loss{Request: ^i, Server: ^i, ID: 1, Began: now.Add(-time.Hour), Lost: now.Add(-time.Hour), Model: 1 << 31, Parts: parts}, now)
		e.proofs.add(blame.Proof{Part: ^i, At: now.Add(-time.Hour)}, now)
	}
	sent := map[uint64]bool{}
	for range losses {
		n := e.buildUpdate(many, true)
		assert.Assert(t, proto.Size(n) <= maxDatagramBytes, "%d bytes", proto.Size(n))
		assert.Assert(t, len(n.Engines) > 0)
		for _, l := range n.Losses {
			sent[l.Content] = len(l.Parts) == blame.MaxParts
		}
	}
	assert.Equal(t, len(sent), losses)
}

// Guards against proofs that wait behind the losses of a storm of crashes: sound parts would be
// convicted at the gateways that don't hear of them.
func TestProofsDontWaitBehindLosses(t *testing.T) {
	e, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	now := time.Now()
	for i := range uint64(maxQueuedReports) {
		e.losses.add(blame.Loss{Request: i, Server: i, ID: 1, Began: now, Lost: now, Model: 1, Parts: []uint64{1, 2}}, now)
	}
	e.proofs.add(blame.Proof{Part: 2, At: now}, now)
	n := e.buildUpdate(nil, false)
	assert.Assert(t, len(n.Losses) > 0)
	assert.Equal(t, len(n.Proofs), 1)
}

// Guards against a gateway that starts after a request was convicted, and would have it
// crash servers again.
func TestStartingGatewayLearnsConvictions(t *testing.T) {
	addresses := freeAddresses(t, 2)
	a, _ := newExchange(addresses[0], addresses[1])
	b, owner := newExchange(addresses[1], addresses[0])
	began := time.Now().Add(-time.Minute)
	a.opts.Evidence = func(int) []blame.Loss {
		return []blame.Loss{{Request: 42, Server: 7, Began: began, Lost: began.Add(time.Second)}}
	}
	got := make(chan blame.Loss, 1)
	b.opts.OnLoss = func(x blame.Loss) bool {
		isNew := owner.recordLoss(x)
		if isNew {
			got <- x
		}
		return isNew
	}
	run(t.Context(), t, a)
	run(t.Context(), t, b)
	select {
	case x := <-got:
		assert.Equal(t, x.Lost.Sub(x.Began), time.Second)
		assert.Assert(t, x.Lost.Sub(began.Add(time.Second)).Abs() < 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("no conviction within 5 s")
	}
}
