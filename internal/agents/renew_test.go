package agents

import (
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/renewal"
)

// streamAgent is a coreAgent that takes streams of renewals.
type streamAgent struct {
	*coreAgent
	streams atomic.Int32
	// answers is how many frames each stream takes before it ends; 0 for all.
	answers int
	// silent streams give no answers: the first so many.
	silent int32
}

func (a *streamAgent) RenewStream(s grpc.BidiStreamingServer[pb.RenewFrame, pb.RenewAck]) error {
	number := a.streams.Add(1)
	if number <= a.silent {
		<-s.Context().Done()
		return s.Context().Err()
	}
	r := renewal.NewReceiver()
	for n := 0; a.answers == 0 || n < a.answers; n++ {
		f, err := s.Recv()
		if err != nil {
			return err
		}
		if err := r.Take(f); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		var wanted []grant.Attempt
		for _, at := range r.Listed() {
			wanted = append(wanted, grant.Attempt(at))
		}
		a.step(func(now time.Duration) { a.core.Renew(now, r.Entry(), f.GetSequence(), wanted) })
		if err := s.Send(r.Ack(7, &pb.Load{Slots: 4})); err != nil {
			return err
		}
	}
	return nil
}

// connWithBeats returns a connection of a running pool, and the failed beats.
func connWithBeats(t *testing.T, s pb.AgentServer) (*Conn, *atomic.Int32) {
	var missed atomic.Int32
	p := newPool(t)
	p.Beat = func(_ string, err error) {
		if err != nil {
			missed.Add(1)
		}
	}
	run(t, p)
	c, err := p.Conn("agent-1", serve(t, s))
	assert.NilError(t, err)
	return c, &missed
}

// Callers' answers go on while the agent ends the stream of renewals again and
// again, as it does when it stops and starts. Each renewal finds the stream
// ended, opens another and names all attempts anew: no beat is missed, since an
// agent that answers isn't gone.
func TestEndedStreamIsOpenedAnew(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent(), answers: 2}
	c, missed := connWithBeats(t, agent)
	reserve(t, c, "a")
	reserve(t, c, "b")
	time.Sleep(lapse + lapse/2)
	assert.Equal(t, agent.live(), 2)
	assert.Assert(t, agent.streams.Load() > 1, "%d streams", agent.streams.Load())
	assert.Equal(t, missed.Load(), int32(0))
}

// A caller's answer goes on though the connection that renews it has gone
// silent: the first renewal gets no answer within renewTimeout, a new connection
// takes its place, and the stream there names the attempt before its lease ends.
func TestSilentStreamIsReplacedInTime(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent(), silent: 1}
	c, missed := connWithBeats(t, agent)
	reserve(t, c, "a")
	kept, cancel := c.WhileKept(t.Context())
	defer cancel()
	begin := time.Now()
	select {
	case <-kept.Done():
	case <-time.After(lapse):
	}
	took := time.Since(begin)
	assert.Assert(t, took < renewEvery+renewTimeout+200*time.Millisecond, "replaced after %v", took)
	time.Sleep(lapse + lapse/4)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, missed.Load(), int32(1))
}

// An agent must not go on with an attempt whose entry has let it go, though the
// release itself never came. The next frames leave the attempt out.
func TestLostReleaseIsMadeGoodByTheStream(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent()}
	c, _ := connWithBeats(t, agent)
	at := reserve(t, c, "a")
	reserve(t, c, "b")
	time.Sleep(3 * renewEvery)
	c.Drop(at)
	time.Sleep(3 * renewEvery)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, agent.streams.Load(), int32(1))
}

// Entries are upgraded before agents. An agent that doesn't know the stream is
// renewed by calls, and keeps what it granted.
func TestAgentWithoutStreamIsRenewedByCalls(t *testing.T) {
	t.Parallel()
	agent := newCoreAgent()
	c, missed := connWithBeats(t, agent)
	reserve(t, c, "a")
	time.Sleep(lapse + lapse/2)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, missed.Load(), int32(0))
}

// A hint says what an agent last said, told again or not: an unchanged load is
// left out of the answers, and must neither look old nor keep what this entry
// has counted on top of it.
func TestUnchangedLoadIsNews(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent()}
	c, _ := connWithBeats(t, agent)
	reserve(t, c, "a")
	time.Sleep(2 * renewEvery)
	c.Expect(100)
	time.Sleep(2 * renewEvery)
	h := c.pool.Hint("agent-1")
	assert.Equal(t, h.Load.GetSlots(), uint32(4))
	assert.Equal(t, h.Pending, 0)
	assert.Equal(t, h.Incarnation, uint64(7))
	assert.Assert(t, time.Since(h.At) < 2*renewEvery)
}
