package agents

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/transport"
)

// leaseDuration is the agents' default LapseAfter.
const leaseDuration = 2 * time.Second

// coreAgent is an agent with the real grant state machine and no engine.
type coreAgent struct {
	pb.UnimplementedAgentServer
	core  *grant.Core
	start time.Time
	lock  chan struct{}
}

func newCoreAgent() *coreAgent {
	a := &coreAgent{
		core: grant.New(grant.Config{
			Incarnation: 7, Slots: 4, Queue: 4, LapseAfter: leaseDuration, MaxIdle: time.Minute, MaxWait: time.Second,
			DedupRetention: time.Hour, MaxDedupRecords: 100, MaxConvicted: 10,
		}),
		start: time.Now(), lock: make(chan struct{}, 1),
	}
	a.core.ServerUp(0)
	return a
}

func (a *coreAgent) withCore(f func(now time.Duration)) {
	a.lock <- struct{}{}
	defer func() { <-a.lock }()
	f(time.Since(a.start))
}

func (a *coreAgent) Reserve(_ context.Context, q *pb.ReserveRequest) (*pb.ReserveReply, error) {
	reply := &pb.ReserveReply{Incarnation: 7}
	a.withCore(func(now time.Duration) {
		k := grant.Key{Request: q.GetAttempt().GetRequest(), Number: q.GetAttempt().GetNumber(), Phase: q.GetPhase()}
		_, no := a.core.Reserve(now, grant.Request{Key: k, Entry: q.GetAttempt().GetEntry(), Incarnation: q.GetIncarnation(), Idle: time.Minute})
		if no != nil {
			reply.Refusal = &pb.Refusal{Reason: no.Reason, Verdict: no.Verdict}
		}
	})
	return reply, nil
}

func (a *coreAgent) Release(_ context.Context, q *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	a.withCore(func(now time.Duration) {
		k := grant.Key{Request: q.GetAttempt().GetRequest(), Number: q.GetAttempt().GetNumber(), Phase: q.GetPhase()}
		a.core.Release(now, k, q.GetAttempt().GetEntry())
	})
	return &pb.ReleaseReply{}, nil
}

func (a *coreAgent) Renew(_ context.Context, q *pb.RenewRequest) (*pb.RenewReply, error) {
	var wanted []grant.Attempt
	for _, at := range q.GetAttempts() {
		wanted = append(wanted, grant.Attempt{Request: at.GetRequest(), Number: at.GetNumber()})
	}
	a.withCore(func(now time.Duration) { a.core.Renew(now, q.GetEntry(), q.GetSequence(), wanted) })
	return &pb.RenewReply{Incarnation: 7}, nil
}

// live expires the grants that are due and counts the others.
func (a *coreAgent) live() (n int) {
	a.withCore(func(now time.Duration) {
		a.core.Tick(now)
		n = a.core.GrantCount()
	})
	return n
}

func serve(t *testing.T, s pb.AgentServer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(transport.ServerOptions()...)
	pb.RegisterAgentServer(server, s)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

func newPool(t *testing.T) *Pool {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	p := NewPool("entry-1#5", grpc.WithTransportCredentials(insecure.NewCredentials()), log)
	t.Cleanup(p.closeAll)
	return p
}

func run(t *testing.T, p *Pool) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

func reserve(t *testing.T, c *Conn, request string) *pb.Attempt {
	at := &pb.Attempt{Request: request, Number: 1, Entry: c.pool.Entry}
	c.StartRenewing(at)
	reply, err := c.Reserve(t.Context(), &pb.ReserveRequest{Attempt: at, Phase: pb.Phase_PHASE_DECODE})
	assert.NilError(t, err)
	assert.Assert(t, reply.Refusal == nil, "%v", reply.Refusal)
	return at
}

// Guards against grants that expire although they are renewed. When an entry
// closed an idle connection and opened a new one that numbered its renewals from
// 1 again, the agent discarded them as out of order, and the caller's response
// was cut off after 2 s.
func TestRenewalsCountAfterIdleConnectionWasClosed(t *testing.T) {
	t.Parallel()
	agent := newCoreAgent()
	address := serve(t, agent)
	p := newPool(t)
	run(t, p)
	first, err := p.Conn("agent-1", address)
	assert.NilError(t, err)
	at := reserve(t, first, "first")
	time.Sleep(leaseDuration + leaseDuration/2)
	assert.Equal(t, agent.live(), 1)
	first.Release(at, pb.Phase_PHASE_DECODE)
	first.mu.Lock()
	first.lastUse = time.Now().Add(-2 * idleTimeout)
	first.mu.Unlock()
	time.Sleep(2 * renewInterval)

	second, err := p.Conn("agent-1", address)
	assert.NilError(t, err)
	assert.Assert(t, second != first, "the idle connection was not closed")
	reserve(t, second, "second")
	time.Sleep(leaseDuration + leaseDuration/4)
	assert.Equal(t, agent.live(), 1)
}

// Guards against taking a restarted agent for one without room: it refuses a reservation
// for its previous incarnation.
func TestReservationIsSentAgainToARestartedAgent(t *testing.T) {
	t.Parallel()
	c, err := newPool(t).Conn("agent-1", serve(t, newCoreAgent()))
	assert.NilError(t, err)
	const previous = 3
	c.UpdateHint(nil, previous)
	at := &pb.Attempt{Request: "a", Number: 1, Entry: c.pool.Entry}
	reply, err := c.Reserve(t.Context(), &pb.ReserveRequest{Attempt: at, Phase: pb.Phase_PHASE_DECODE, Incarnation: c.Incarnation()})
	assert.NilError(t, err)
	assert.Assert(t, reply.Refusal == nil, "%v", reply.Refusal)
	assert.Equal(t, c.Incarnation(), uint64(7))
}
