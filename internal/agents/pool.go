// Package agents manages an entry's connections to agents.
//
// There is one connection to each agent that has live attempts of this entry. One
// message renews all attempts at an agent, so that control traffic grows with
// the entry-agent pairs in use, not with the number of entries times servers. The
// load that an agent reports with each reply is kept as a hint.
package agents

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/renewal"
	"jayford.example/jayford/internal/transport"
)

const (
	// renewInterval must stay well below a third of the agents' LapseAfter, so
	// that no live grant expires after two lost renewals and a short pause.
	renewInterval = 400 * time.Millisecond
	// renewTimeout is the time without a reply after which a connection counts as
	// unresponsive.
	renewTimeout = 600 * time.Millisecond
	dialTimeout  = 700 * time.Millisecond
	// reconnectTimeout is how long a call waits for a connection to be re-established.
	reconnectTimeout = 50 * time.Millisecond
	// replacedConnCloseDelay lets streams on a replaced connection deliver data
	// that is still in flight.
	replacedConnCloseDelay = 5 * time.Second
	// idleTimeout is how long an unused connection stays open. In the largest
	// fleets an entry uses some 400 agents, each about every 40 s. A new TLS
	// connection costs both ends some 6 KB and an idle one an 80-byte ping every
	// 30 s, so connections are kept for longer than nearly all such gaps.
	idleTimeout = 5 * time.Minute
)

var (
	renewals   = metrics.NewCounter("jayford_renewals_total")
	renewFails = metrics.NewCounter("jayford_renewal_failures_total")
	redials    = metrics.NewCounter("jayford_agent_redials_total")
)

// Hint is an agent's last report on its backend server. It may be stale.
type Hint struct {
	Load        *pb.Load
	Incarnation uint64
	At          time.Time
	// Pending and PendingTokens count the requests that this entry has placed on
	// the agent since At, and their prompt tokens.
	Pending       int
	PendingTokens int64
}

// Pool holds one Conn for each agent in use.
type Pool struct {
	// Entry is the entry's instance id with its incarnation, "id#incarnation".
	Entry string
	dial  grpc.DialOption
	// OnRenewal, if not nil, is called after each renewal with the agent's instance id
	// and the renewal's error. Set it before Run.
	OnRenewal func(id string, err error)
	// OnAvailability, if not nil, is called when an agent's report changes in that its
	// server is down or leaving. Set it before the first connection.
	OnAvailability func(id string, l *pb.Load)
	// OnDisconnect, if not nil, is called when an agent ends a connection. Set it before
	// the first connection.
	OnDisconnect func(id string)
	log          *logrus.Entry
	// sequence numbers the renewals to all agents. An agent keeps the last number
	// of each entry for longer than an idle connection stays open. If numbering
	// restarted with each connection, the agent would discard the renewals as out
	// of order and let live grants expire. A shared counter increases for every
	// agent, whatever connection is used.
	sequence atomic.Uint64

	mu sync.Mutex
	// conns is keyed by instance id and guarded by mu.
	conns map[string]*Conn
}

// NewPool returns an empty pool. dial carries the transport credentials.
func NewPool(entry string, dial grpc.DialOption, log *logrus.Logger) *Pool {
	return &Pool{Entry: entry, dial: dial, log: log.WithField("part", "agents"), conns: make(map[string]*Conn)}
}

// Conn returns the connection to the agent with instance id at address. If the
// address has changed, a new connection is opened.
func (p *Pool) Conn(id, address string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c != nil && c.address == address {
		return c, nil
	}
	next := newConn(p, id, address)
	if err := next.dialLocked(); err != nil {
		return nil, err
	}
	if c != nil {
		c.close()
	}
	p.conns[id] = next
	return next, nil
}

func newConn(p *Pool, id, address string) *Conn {
	return &Conn{
		pool: p, id: id, address: address,
		live:      make(map[renewal.Attempt]struct{}),
		replaced:  make(chan struct{}),
		renewLock: make(chan struct{}, 1),
	}
}

// Hint returns an agent's hint, the zero Hint if there is none.
func (p *Pool) Hint(id string) Hint {
	p.mu.Lock()
	c := p.conns[id]
	p.mu.Unlock()
	if c == nil {
		return Hint{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hint
}

// Convict sends the fingerprints of requests that crash servers to all connected
// agents.
func (p *Pool) Convict(ctx context.Context, fingerprints []uint64) {
	for _, c := range p.all() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			_, _ = c.client().Convict(ctx, &pb.ConvictRequest{Fingerprints: fingerprints})
		}()
	}
}

func (p *Pool) all() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Conn, 0, len(p.conns))
	for _, c := range p.conns {
		out = append(out, c)
	}
	return out
}

// Run renews live attempts until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case <-tick.C:
		}
		for _, c := range p.all() {
			if c.needsRenewal() {
				go p.renewAndReport(ctx, c)
			}
		}
		p.closeIdle()
	}
}

func (p *Pool) renewAndReport(ctx context.Context, c *Conn) {
	err := c.renew(ctx)
	if p.OnRenewal != nil && ctx.Err() == nil {
		p.OnRenewal(c.id, err)
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if c.idleFor() > idleTimeout {
			c.close()
			delete(p.conns, id)
		}
	}
}

func (p *Pool) closeAll() {
	for _, c := range p.all() {
		c.close()
	}
}

// View returns the hints for the state dump.
func (p *Pool) View() any {
	type row struct {
		Address     string
		Live        int
		Incarnation uint64
		AgeMs       int64
		Load        *pb.Load
		Dials       int
	}
	out := make(map[string]row)
	for _, c := range p.all() {
		c.mu.Lock()
		out[c.id] = row{c.address, len(c.live), c.hint.Incarnation, time.Since(c.hint.At).Milliseconds(), c.hint.Load, c.dials}
		c.mu.Unlock()
	}
	return out
}

func (p *Pool) connect(address string) (*grpc.ClientConn, error) {
	opts := append(
		transport.DialOptions(),
		p.dial,
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: dialTimeout,
		}))
	return grpc.NewClient("passthrough:///"+address, opts...)
}

// maxMessageBytes bounds one message between entry and agent, in bytes.
const maxMessageBytes = 16 << 20
