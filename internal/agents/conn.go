package agents

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
)

type attemptKey struct {
	request string
	number  uint32
}

// Conn is the connection to one agent. It is replaced from within when it goes
// silent; calls under WhileKept end then, and streams are attached anew.
type Conn struct {
	pool    *Pool
	id      string
	address string

	mu sync.Mutex
	// All below is guarded by mu.
	cc       *grpc.ClientConn
	api      pb.AgentClient
	live     map[attemptKey]struct{}
	hint     Hint
	sequence uint64
	renewing bool
	failures int
	dials    int
	lastUse  time.Time
	// lost is closed when cc was replaced.
	lost chan struct{}
}

// ID returns the agent's instance id.
func (c *Conn) ID() string { return c.id }

func (c *Conn) dialLocked() error {
	cc, err := c.pool.connect(c.address)
	if err != nil {
		return err
	}
	c.cc = cc
	c.api = pb.NewAgentClient(cc)
	c.dials++
	c.lastUse = time.Now()
	return nil
}

// line is one connection under a Conn, as a call used it.
type line struct {
	api pb.AgentClient
	cc  *grpc.ClientConn
}

func (c *Conn) line() line {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = time.Now()
	return line{c.api, c.cc}
}

func (c *Conn) client() pb.AgentClient { return c.line().api }

// Incarnation returns the agent's incarnation as last seen, 0 if unknown.
func (c *Conn) Incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hint.Incarnation
}

// WhileKept returns a context that ends with the present connection, too: an
// answer over a connection that went silent never comes.
func (c *Conn) WhileKept(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	lost := c.lost
	c.mu.Unlock()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Hold starts renewing an attempt at this agent.
func (c *Conn) Hold(a *pb.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live[attemptKey{a.Request, a.Number}] = struct{}{}
}

// Drop ends renewing an attempt.
func (c *Conn) Drop(a *pb.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.live, attemptKey{a.Request, a.Number})
}

// Expect counts a choice of this agent that its hint doesn't show yet.
func (c *Conn) Expect(tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hint.Pending++
	c.hint.PendingTokens += tokens
}

// Heard stores what the agent said of itself.
func (c *Conn) Heard(l *pb.Load, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation != 0 {
		c.hint.Incarnation = incarnation
	}
	if l == nil {
		return
	}
	c.hint.Load = l
	c.hint.At = time.Now()
	c.hint.Pending = 0
	c.hint.PendingTokens = 0
}

func (c *Conn) wantsRenewal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.live) > 0 && !c.renewing
}

func (c *Conn) idleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.live) > 0 {
		return 0
	}
	return time.Since(c.lastUse)
}

// renew sends one renewal. A renewal without an answer means that the
// connection may be silent for good while new ones work: streams on it would
// hang and the agent would cancel live work. So a new connection is dialled at
// once and the renewal repeated over it, well within the agent's lapse time.
func (c *Conn) renew(ctx context.Context) error {
	c.mu.Lock()
	c.renewing = true
	c.sequence++
	req := &pb.RenewRequest{Entry: c.pool.Entry, Sequence: c.sequence, Incarnation: c.hint.Incarnation}
	// The entry is named once, not again with each attempt.
	for k := range c.live {
		req.Attempts = append(req.Attempts, &pb.Attempt{Request: k.request, Number: k.number})
	}
	used := line{c.api, c.cc}
	c.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := used.api.Renew(ctx, req)
	renewals.Inc()

	c.mu.Lock()
	c.renewing = false
	if err == nil {
		c.failures = 0
		c.mu.Unlock()
		c.Heard(reply.Load, reply.Incarnation)
		return nil
	}
	c.failures++
	c.mu.Unlock()
	renewFails.Inc()
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		c.replace(used.cc)
	}
	return err
}

// Probe asks the agent for a sign of life by a renewal, which lists what is
// live: an empty one would free it. A probe without an answer replaces the
// connection, so that the next one goes over a new one.
func (c *Conn) Probe(ctx context.Context) error { return c.renew(ctx) }

// replace dials a new connection beside old, which is closed later. Only the
// present connection is replaced: calls that were under way together time out
// one after the other, and each would otherwise take down the streams that had
// just moved to the new connection.
func (c *Conn) replace(old *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cc != old {
		return
	}
	if err := c.dialLocked(); err != nil {
		c.pool.log.WithError(err).Warn("agents: dial failed.")
		return
	}
	redials.Inc()
	close(c.lost)
	c.lost = make(chan struct{})
	time.AfterFunc(oldConnLinger, func() { old.Close() })
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cc.Close()
}

// Reserve asks for a grant. A connection that gives no answer within ctx's
// deadline is replaced.
func (c *Conn) Reserve(ctx context.Context, r *pb.ReserveRequest) (*pb.ReserveReply, error) {
	used := c.line()
	reply, err := used.api.Reserve(ctx, r)
	switch {
	case err == nil:
		c.Heard(reply.Load, reply.Incarnation)
	case status.Code(err) == codes.DeadlineExceeded:
		c.replace(used.cc)
	}
	return reply, err
}

// Release frees a grant. It is sent once in the background: a lost release is
// made good by the next renewal, which doesn't list the attempt.
func (c *Conn) Release(a *pb.Attempt, phase pb.Phase) {
	c.Drop(a)
	api := c.client()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
		defer cancel()
		reply, err := api.Release(ctx, &pb.ReleaseRequest{Attempt: a, Phase: phase})
		if err == nil {
			c.Heard(reply.Load, 0)
			return
		}
		c.flush()
	}()
}

// flush sends a renewal even if nothing is live, so that the agent learns of
// releases that got lost.
func (c *Conn) flush() {
	_ = c.renew(context.Background())
}

// Prefill runs a prefill under its grant.
func (c *Conn) Prefill(ctx context.Context, r *pb.PrefillRequest) (*pb.PrefillReply, error) {
	reply, err := c.client().Prefill(ctx, r)
	if err == nil {
		c.Heard(reply.Load, 0)
	}
	return reply, err
}

// Decode opens or attaches to a stream of tokens.
func (c *Conn) Decode(ctx context.Context, r *pb.DecodeRequest) (grpc.ServerStreamingClient[pb.DecodeEvent], error) {
	return c.client().Decode(ctx, r)
}

// Call runs a call of a plain service.
func (c *Conn) Call(ctx context.Context, r *pb.CallRequest) (*pb.CallReply, error) {
	reply, err := c.client().Call(ctx, r)
	if err == nil {
		c.Heard(reply.Load, reply.Incarnation)
	}
	return reply, err
}
