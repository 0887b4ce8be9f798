// Package agents holds an entry's connections to agents.
//
// There is one connection for each agent that has live attempts of this entry.
// Renewals of all these attempts go out in one message at a time, so that the
// control traffic grows with the pairs in use, not with entries times servers.
// What an agent says of its load with each answer is kept as a hint.
package agents

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/transport"
)

const (
	// renewEvery must stay well under a third of the agents' LapseAfter, so
	// that two lost renewals and a pause free no live grant.
	renewEvery = 400 * time.Millisecond
	// renewTimeout is when a connection is suspected of being silent.
	renewTimeout = 600 * time.Millisecond
	dialTimeout  = 700 * time.Millisecond
	// oldConnLinger lets streams on a replaced connection deliver what the
	// network still holds.
	oldConnLinger = 5 * time.Second
	// idleClose closes connections that no attempt used for this long.
	idleClose = time.Minute
)

var (
	renewals   = metrics.NewCounter("jayford_renewals_total")
	renewFails = metrics.NewCounter("jayford_renewal_failures_total")
	redials    = metrics.NewCounter("jayford_agent_redials_total")
)

// Hint is what an agent last said of its backend server.
type Hint struct {
	Load        *pb.Load
	Incarnation uint64
	At          time.Time
	// Pending and PendingTokens are this entry's own choices since At.
	Pending       int
	PendingTokens int64
}

// Pool holds one Conn for each agent in use.
type Pool struct {
	// Entry is the entry's instance id with its incarnation, "id#incarnation".
	Entry string
	dial  grpc.DialOption
	// Beat is told of each renewal's end, with the agent's instance id; nil for
	// none. Set it before Run.
	Beat func(id string, err error)
	log  *logrus.Entry

	mu sync.Mutex
	// conns by instance id, guarded by mu.
	conns map[string]*Conn
}

// NewPool returns an empty pool. dial has the transport credentials.
func NewPool(entry string, dial grpc.DialOption, log *logrus.Logger) *Pool {
	return &Pool{Entry: entry, dial: dial, log: log.WithField("part", "agents"), conns: make(map[string]*Conn)}
}

// Conn returns the connection to the agent with instance id at address. An
// agent that moved to another address gets a new connection.
func (p *Pool) Conn(id, address string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c != nil && c.address == address {
		return c, nil
	}
	next := &Conn{pool: p, id: id, address: address, live: make(map[attemptKey]struct{}), lost: make(chan struct{})}
	if err := next.dialLocked(); err != nil {
		return nil, err
	}
	if c != nil {
		c.close()
	}
	p.conns[id] = next
	return next, nil
}

// Hint returns the hint about an agent; the zero Hint if there is none.
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

// Convict tells all connected agents of fingerprints that crash servers.
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
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case <-tick.C:
		}
		for _, c := range p.all() {
			if c.wantsRenewal() {
				go p.beat(ctx, c)
			}
		}
		p.closeIdle()
	}
}

func (p *Pool) beat(ctx context.Context, c *Conn) {
	err := c.renew(ctx)
	if p.Beat != nil && ctx.Err() == nil {
		p.Beat(c.id, err)
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if c.idleFor() > idleClose {
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: dialTimeout,
		}))
	return grpc.NewClient("passthrough:///"+address, opts...)
}

// maxMessage bounds one message between entry and agent, in bytes.
const maxMessage = 16 << 20
