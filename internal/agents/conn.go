package agents

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/renewal"
)

// Conn is the connection to one agent. It is replaced from within when it goes
// silent; calls under WhileKept end then, and streams are attached anew.
type Conn struct {
	pool    *Pool
	id      string
	address string

	mu sync.Mutex
	// All below is guarded by mu.
	cc      *grpc.ClientConn
	api     pb.AgentClient
	live    map[renewal.Attempt]struct{}
	hint    Hint
	dials   int
	lastUse time.Time
	// lost is closed when cc was replaced.
	lost chan struct{}

	// turn is held by the renewal under way.
	turn chan struct{}
	// stream and plain are used by the holder of turn. plain is the connection
	// whose agent knows no streams of renewals.
	stream *stream
	plain  *grpc.ClientConn
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

// present is line for what the connection does by itself, which is no use.
func (c *Conn) present() line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return line{c.api, c.cc}
}

func (c *Conn) client() pb.AgentClient { return c.line().api }

// wake dials at once if the connection waits between two dials.
//
// The failure: an agent was out for some seconds and is back, but calls to it go
// on failing at once for up to the longest such wait, a second. If the others
// leave or are full meanwhile, a call uses up its tries in some milliseconds and
// is refused beside a server that is well. An agent that lives answers the dial
// within wakeTime; one that doesn't costs the call that much.
func (l line) wake(ctx context.Context) {
	if l.cc.GetState() != connectivity.TransientFailure {
		return
	}
	l.cc.ResetConnectBackoff()
	ctx, cancel := context.WithTimeout(ctx, wakeTime)
	defer cancel()
	l.cc.WaitForStateChange(ctx, connectivity.TransientFailure)
}

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
	c.live[renewal.Attempt{Request: a.Request, Number: a.Number}] = struct{}{}
}

// Drop ends renewing an attempt.
func (c *Conn) Drop(a *pb.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.live, renewal.Attempt{Request: a.Request, Number: a.Number})
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
	return len(c.live) > 0 && len(c.turn) == 0
}

func (c *Conn) idleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.live) > 0 {
		return 0
	}
	return time.Since(c.lastUse)
}

// Probe asks the agent for a sign of life by a renewal, which lists what is
// live: an empty one would free it. A probe without an answer replaces the
// connection, so that the next one goes over a new one.
func (c *Conn) Probe(ctx context.Context) error {
	c.line().wake(ctx)
	return c.renew(ctx)
}

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
	used.wake(ctx)
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
		c.Heard(reply.Load, reply.Incarnation)
	}
	return reply, err
}

// Decode opens or attaches to a stream of tokens.
func (c *Conn) Decode(ctx context.Context, r *pb.DecodeRequest) (grpc.ServerStreamingClient[pb.DecodeEvent], error) {
	return c.client().Decode(ctx, r)
}

// Call runs a call of a plain service.
func (c *Conn) Call(ctx context.Context, r *pb.CallRequest) (*pb.CallReply, error) {
	used := c.line()
	used.wake(ctx)
	reply, err := used.api.Call(ctx, r)
	if err == nil {
		c.Heard(reply.Load, reply.Incarnation)
	}
	return reply, err
}
