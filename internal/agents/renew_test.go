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

// streamAgent is a coreAgent that implements RenewStream.
type streamAgent struct {
	*coreAgent
	streams atomic.Int32
	// answers is the number of frames that each stream answers before it ends; 0
	// for no limit.
	answers int
	// silent is the number of streams, from the first, that answer no frame.
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
		if err := r.HandleFrame(f); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		var wanted []grant.Attempt
		for _, at := range r.Listed() {
			wanted = append(wanted, grant.Attempt(at))
		}
		a.withCore(func(now time.Duration) { a.core.Renew(now, r.Entry(), f.GetSequence(), wanted) })
		if err := s.Send(r.Ack(7, &pb.Load{Slots: 4})); err != nil {
			return err
		}
	}
	return nil
}

// connOfRunningPool returns a connection of a running pool, and the count of its
// failed renewals.
func connOfRunningPool(t *testing.T, s pb.AgentServer) (*Conn, *atomic.Int32) {
	var missed atomic.Int32
	p := newPool(t)
	p.OnRenewal = func(_ string, err error) {
		if err != nil {
			missed.Add(1)
		}
	}
	run(t, p)
	c, err := p.Conn("agent-1", serve(t, s))
	assert.NilError(t, err)
	return c, &missed
}

// The agent closes the renewal stream repeatedly, as it does when it restarts.
// Each time the renewal must open a new stream and list all attempts again. No
// renewal may be reported as failed, since the agent responds.
func TestEndedStreamIsReopened(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent(), answers: 2}
	c, missed := connOfRunningPool(t, agent)
	reserve(t, c, "a")
	reserve(t, c, "b")
	time.Sleep(leaseDuration + leaseDuration/2)
	assert.Equal(t, agent.live(), 2)
	assert.Assert(t, agent.streams.Load() > 1, "%d streams", agent.streams.Load())
	assert.Equal(t, missed.Load(), int32(0))
}

// The connection stops responding. After one renewal without a reply within
// renewTimeout it must be replaced, and the stream on the new connection must
// renew the attempt before its lease expires.
func TestSilentStreamIsReplacedInTime(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent(), silent: 1}
	c, missed := connOfRunningPool(t, agent)
	reserve(t, c, "a")
	kept, cancel := c.ConnectionContext(t.Context())
	defer cancel()
	begin := time.Now()
	select {
	case <-kept.Done():
	case <-time.After(leaseDuration):
	}
	took := time.Since(begin)
	assert.Assert(t, took < renewInterval+renewTimeout+200*time.Millisecond, "replaced after %v", took)
	time.Sleep(leaseDuration + leaseDuration/4)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, missed.Load(), int32(1))
}

// A release is lost. The agent must free the attempt all the same, because the
// next frames no longer list it.
func TestStreamFreesAttemptAfterLostRelease(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent()}
	c, _ := connOfRunningPool(t, agent)
	at := reserve(t, c, "a")
	reserve(t, c, "b")
	time.Sleep(3 * renewInterval)
	c.StopRenewing(at)
	time.Sleep(3 * renewInterval)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, agent.streams.Load(), int32(1))
}

// Entries are upgraded before agents. Grants at an agent without RenewStream must
// be renewed by unary calls.
func TestAgentWithoutStreamIsRenewedByCalls(t *testing.T) {
	t.Parallel()
	agent := newCoreAgent()
	c, missed := connOfRunningPool(t, agent)
	reserve(t, c, "a")
	time.Sleep(leaseDuration + leaseDuration/2)
	assert.Equal(t, agent.live(), 1)
	assert.Equal(t, missed.Load(), int32(0))
}

// An agent omits an unchanged load from its replies. Such a reply must refresh the
// hint's time and reset the pending counts all the same.
func TestUnchangedLoadRefreshesHint(t *testing.T) {
	t.Parallel()
	agent := &streamAgent{coreAgent: newCoreAgent()}
	c, _ := connOfRunningPool(t, agent)
	reserve(t, c, "a")
	time.Sleep(2 * renewInterval)
	c.AddPending(100)
	time.Sleep(2 * renewInterval)
	h := c.pool.Hint("agent-1")
	assert.Equal(t, h.Load.GetSlots(), uint32(4))
	assert.Equal(t, h.Pending, 0)
	assert.Equal(t, h.Incarnation, uint64(7))
	assert.Assert(t, time.Since(h.At) < 2*renewInterval)
}

// Guards against an agent ending a grant by a renewal that was written before the
// attempt: the attempt names the first renewal that lists it.
func TestAttemptNamesTheFirstRenewalThatListsIt(t *testing.T) {
	p := newPool(t)
	c, err := p.Conn("agent-1", "127.0.0.1:1")
	assert.NilError(t, err)
	s := renewal.NewSender(p.Entry)
	before := c.frame(s)
	at := &pb.Attempt{Request: "r", Number: 1, Entry: p.Entry}
	c.StartRenewing(at)
	assert.Assert(t, at.ListedFrom > before.Sequence)
	first := c.frame(s)
	assert.Assert(t, first.Sequence >= at.ListedFrom)
	assert.Equal(t, len(first.Added), 1)
}
