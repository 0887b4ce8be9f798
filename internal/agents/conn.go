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

// Conn is the connection to one agent. It replaces its gRPC connection when that
// stops responding; contexts of ConnectionContext end then, and streams are reattached.
type Conn struct {
	pool    *Pool
	id      string
	address string

	mu sync.Mutex
	// The fields below are guarded by mu.
	cc      *grpc.ClientConn
	api     pb.AgentClient
	live    map[renewal.Attempt]struct{}
	hint    Hint
	dials   int
	lastUse time.Time
	// replaced is closed when cc is replaced.
	replaced chan struct{}

	// renewLock is held by the renewal in progress.
	renewLock chan struct{}
	// stream and unaryOnly are used by the holder of renewLock. unaryOnly is the
	// gRPC connection whose agent doesn't implement RenewStream.
	stream    *stream
	unaryOnly *grpc.ClientConn
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
	if c.pool.OnDisconnect != nil {
		go c.watch(cc)
	}
	return nil
}

// watch calls OnDisconnect whenever the agent ends the connection, until cc is closed.
func (c *Conn) watch(cc *grpc.ClientConn) {
	for state := cc.GetState(); state != connectivity.Shutdown; {
		cc.WaitForStateChange(context.Background(), state)
		next := cc.GetState()
		if state == connectivity.Ready && next != connectivity.Ready && next != connectivity.Shutdown {
			c.pool.OnDisconnect(c.id)
		}
		state = next
	}
}

// channel is the gRPC connection that a Conn had when a call began.
type channel struct {
	api pb.AgentClient
	cc  *grpc.ClientConn
}

func (c *Conn) channelForUse() channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = time.Now()
	return channel{c.api, c.cc}
}

// currentChannel is channelForUse for renewals, which don't keep a connection
// from counting as idle.
func (c *Conn) currentChannel() channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return channel{c.api, c.cc}
}

func (c *Conn) client() pb.AgentClient { return c.channelForUse().api }

// skipBackoff reconnects at once if the connection is in its reconnect backoff.
//
// After an outage of some seconds, calls to a recovered agent would otherwise
// fail fast for up to the maximum backoff of one second. If the other agents are
// full or draining, a call would then exhaust its retries within milliseconds and
// be refused although a healthy server is available. A reachable agent accepts
// the connection within reconnectTimeout; an unreachable one delays the call by
// that time.
func (ch channel) skipBackoff(ctx context.Context) {
	if ch.cc.GetState() != connectivity.TransientFailure {
		return
	}
	ch.cc.ResetConnectBackoff()
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	ch.cc.WaitForStateChange(ctx, connectivity.TransientFailure)
}

// Incarnation returns the agent's last known incarnation, 0 if unknown.
func (c *Conn) Incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hint.Incarnation
}

// ConnectionContext returns a context that also ends when the current connection is
// replaced: calls on a connection that stopped responding never return.
func (c *Conn) ConnectionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	replaced := c.replaced
	c.mu.Unlock()
	go func() {
		select {
		case <-replaced:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// StartRenewing includes an attempt in the renewals to this agent, and sets its ListedFrom.
// Call it before the attempt is sent.
func (c *Conn) StartRenewing(a *pb.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Renewals take their sequence under the same lock.
	a.ListedFrom = c.pool.sequence.Load() + 1
	c.live[renewal.Attempt{Request: a.Request, Number: a.Number}] = struct{}{}
}

// StopRenewing removes an attempt from the renewals to this agent.
func (c *Conn) StopRenewing(a *pb.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.live, renewal.Attempt{Request: a.Request, Number: a.Number})
}

// AddPending counts a request placed on this agent that its last load report doesn't
// include yet.
func (c *Conn) AddPending(tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hint.Pending++
	c.hint.PendingTokens += tokens
}

// UpdateHint stores an agent's incarnation and load in its hint and resets the pending
// counts. Incarnation 0 and a nil load mean that the reply had none.
func (c *Conn) UpdateHint(l *pb.Load, incarnation uint64) {
	changed := c.storeHint(l, incarnation)
	if changed && c.pool.OnAvailability != nil {
		c.pool.OnAvailability(c.id, l)
	}
}

// storeHint stores an agent's report, and returns whether it differs from the one before
// in that the server is down or leaving.
func (c *Conn) storeHint(l *pb.Load, incarnation uint64) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation != 0 {
		c.hint.Incarnation = incarnation
	}
	if l == nil {
		return false
	}
	old := c.hint.Load
	c.hint.Load = l
	c.hint.At = time.Now()
	c.hint.Pending = 0
	c.hint.PendingTokens = 0
	return old.GetDown() != l.GetDown() || old.GetLeaving() != l.GetLeaving()
}

func (c *Conn) needsRenewal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.live) > 0 && len(c.renewLock) == 0
}

func (c *Conn) idleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.live) > 0 {
		return 0
	}
	return time.Since(c.lastUse)
}

// Probe checks by a renewal that the agent responds. The renewal lists all live
// attempts, since the agent frees those that are missing from it. A probe that
// times out replaces the connection, so that the next one uses a new one.
func (c *Conn) Probe(ctx context.Context) error {
	c.channelForUse().skipBackoff(ctx)
	return c.renew(ctx)
}

// replace opens a new connection and closes old after a delay. It does nothing if
// old was already replaced: concurrent calls time out one after the other, and
// each would otherwise break the streams that had just moved to the new
// connection.
func (c *Conn) replace(old *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cc != old {
		return
	}
	if err := c.dialLocked(); err != nil {
		c.pool.log.WithError(err).Warn("agents: could not replace an unresponsive connection.")
		return
	}
	redials.Inc()
	close(c.replaced)
	c.replaced = make(chan struct{})
	time.AfterFunc(replacedConnCloseDelay, func() { old.Close() })
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cc.Close()
}

// agentReply is the reply to a request that is meant for one incarnation of an agent.
type agentReply interface {
	GetRefusal() *pb.Refusal
	GetIncarnation() uint64
}

// sendToIncarnation sends a request that is meant for the incarnation *expected. An agent
// that has restarted refuses it without running it and names its new incarnation, for
// which the request is sent again.
func sendToIncarnation[R agentReply](expected *uint64, send func() (R, error)) (R, error) {
	reply, err := send()
	if err != nil {
		return reply, err
	}
	r := reply.GetRefusal()
	if r.GetReason() != pb.Reason_REASON_INCARNATION || r.GetVerdict() != pb.Verdict_VERDICT_NOT_RUN {
		return reply, nil
	}
	*expected = reply.GetIncarnation()
	return send()
}

// Reserve requests a grant. A connection without a reply within ctx's deadline is
// replaced.
func (c *Conn) Reserve(ctx context.Context, r *pb.ReserveRequest) (*pb.ReserveReply, error) {
	used := c.channelForUse()
	used.skipBackoff(ctx)
	reply, err := sendToIncarnation(&r.Incarnation, func() (*pb.ReserveReply, error) { return used.api.Reserve(ctx, r) })
	switch {
	case err == nil:
		c.UpdateHint(reply.Load, reply.Incarnation)
	case status.Code(err) == codes.DeadlineExceeded:
		c.replace(used.cc)
	}
	return reply, err
}

// Release frees a grant. It is sent once, in the background: if it is lost, the
// agent frees the grant at the next renewal, which doesn't list the attempt.
func (c *Conn) Release(a *pb.Attempt, phase pb.Phase) {
	c.StopRenewing(a)
	api := c.client()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
		defer cancel()
		reply, err := api.Release(ctx, &pb.ReleaseRequest{Attempt: a, Phase: phase})
		if err == nil {
			c.UpdateHint(reply.Load, 0)
			return
		}
		c.renewOnce()
	}()
}

// renewOnce sends a renewal even if no attempt is live, so that the agent frees
// the grants of lost releases.
func (c *Conn) renewOnce() {
	_ = c.renew(context.Background())
}

// Prefill runs a prefill under an existing grant, or under the one that r reserves.
func (c *Conn) Prefill(ctx context.Context, r *pb.PrefillRequest) (*pb.PrefillReply, error) {
	used := c.channelForUse()
	// A prefill under an existing grant names no incarnation.
	expected := new(uint64)
	if r.Reserve != nil {
		expected = &r.Reserve.Incarnation
	}
	reply, err := sendToIncarnation(expected, func() (*pb.PrefillReply, error) { return used.api.Prefill(ctx, r) })
	if err == nil {
		c.UpdateHint(reply.Load, reply.Incarnation)
	}
	return reply, err
}

// Decode opens a token stream or reattaches to it.
func (c *Conn) Decode(ctx context.Context, r *pb.DecodeRequest) (grpc.ServerStreamingClient[pb.DecodeEvent], error) {
	return c.client().Decode(ctx, r)
}

// Call runs a call to a plain service.
func (c *Conn) Call(ctx context.Context, r *pb.CallRequest) (*pb.CallReply, error) {
	used := c.channelForUse()
	used.skipBackoff(ctx)
	reply, err := sendToIncarnation(&r.Incarnation, func() (*pb.CallReply, error) { return used.api.Call(ctx, r) })
	if err == nil {
		c.UpdateHint(reply.Load, reply.Incarnation)
	}
	return reply, err
}
