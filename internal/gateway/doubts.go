package gateway

import (
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/doubt"
)

// recordUnanswered records that a server didn't answer a request, and tells the peers unless
// the server was doubted already.
func (g *Gateway) recordUnanswered(s catalog.Server, o doubt.Outcome) {
	if g.view.recordOutcome(s, o) && g.reportDoubt != nil {
		g.reportDoubt(gossip.ServerKey(serverKey(s)))
	}
}

// RecordPeerDoubt records that a peer has doubted a server, given by its gossip.ServerKey,
// since a time.
func (g *Gateway) RecordPeerDoubt(server uint64, peer string, since time.Time) {
	g.view.recordPeerDoubt(server, peer, since, time.Now())
}

// ShareDoubts makes the gateway tell its peers of servers that don't answer. It must be called
// before the first request.
func (g *Gateway) ShareDoubts(report func(server uint64)) { g.reportDoubt = report }
