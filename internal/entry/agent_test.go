package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/transport"
	"jayford.example/jayford/internal/verdict"
)

// fakeAgent is an agent beside a plain service or a prefill engine.
type fakeAgent struct {
	pb.UnimplementedAgentServer
	incarnation uint64
	leaving     bool
	// calls counts the calls.
	calls atomic.Int32
	// full is how many calls, from the first, are refused for lack of a slot.
	full atomic.Int32
	// crashes is how many calls, from the first, the server is lost under.
	crashes atomic.Int32
	// paused is the rest of the pause for which calls are refused, 0 for none.
	paused time.Duration
	// takes is how long a call takes.
	takes time.Duration
	// silent is how many renewal streams, from the first, aren't answered.
	silent atomic.Int32
	// prefillEnd is set by the first prefill, under prefill.
	prefill    sync.Once
	prefillEnd time.Time
	// ended counts calls that ended before they were answered.
	ended atomic.Int32
}

func (a *fakeAgent) Call(ctx context.Context, r *pb.CallRequest) (*pb.CallReply, error) {
	a.calls.Add(1)
	reply := &pb.CallReply{Incarnation: a.incarnation, Load: &pb.Load{Slots: 4, Leaving: a.leaving}}
	switch {
	case a.leaving:
		reply.Refusal = &pb.Refusal{Reason: pb.Reason_REASON_LEAVING, Verdict: pb.Verdict_VERDICT_NOT_RUN}
		return reply, nil
	case r.GetIncarnation() != 0 && r.GetIncarnation() != a.incarnation:
		reply.Refusal = &pb.Refusal{Reason: pb.Reason_REASON_INCARNATION, Verdict: pb.Verdict_VERDICT_NOT_RUN}
		return reply, nil
	case a.full.Add(-1) >= 0:
		reply.Refusal = &pb.Refusal{Reason: pb.Reason_REASON_FULL, Verdict: pb.Verdict_VERDICT_NOT_RUN}
		return reply, nil
	case a.paused > 0:
		reply.Refusal = &pb.Refusal{
			Reason: pb.Reason_REASON_PAUSED, Verdict: pb.Verdict_VERDICT_NOT_RUN, RetryAfterMs: uint64(a.paused.Milliseconds()),
		}
		return reply, nil
	case a.crashes.Add(-1) >= 0:
		reply.Refusal = &pb.Refusal{Reason: pb.Reason_REASON_SERVER_LOST, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN, CrashedAlone: true}
		return reply, nil
	}
	select {
	case <-time.After(a.takes):
		reply.Status = http.StatusOK
		return reply, nil
	case <-ctx.Done():
		a.ended.Add(1)
		return nil, ctx.Err()
	}
}

// Prefill runs one prefill, to which further calls attach.
func (a *fakeAgent) Prefill(ctx context.Context, r *pb.PrefillRequest) (*pb.PrefillReply, error) {
	if r.GetReserve() != nil && r.GetReserve().GetIncarnation() != a.incarnation {
		refusal := &pb.Refusal{Reason: pb.Reason_REASON_INCARNATION, Verdict: pb.Verdict_VERDICT_NOT_RUN}
		return &pb.PrefillReply{Refusal: refusal, Incarnation: a.incarnation}, nil
	}
	a.prefill.Do(func() { a.prefillEnd = time.Now().Add(a.takes) })
	select {
	case <-time.After(time.Until(a.prefillEnd)):
		return &pb.PrefillReply{Granted: true, PromptTokens: 1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *fakeAgent) RenewStream(s grpc.BidiStreamingServer[pb.RenewFrame, pb.RenewAck]) error {
	if a.silent.Add(-1) >= 0 {
		<-s.Context().Done()
		return s.Context().Err()
	}
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
		if err := s.Send(&pb.RenewAck{Load: &pb.Load{Slots: 4, Leaving: a.leaving}}); err != nil {
			return err
		}
	}
}

// serve starts the agent's server on l and returns it.
func (a *fakeAgent) serve(t *testing.T, l net.Listener) *grpc.Server {
	server := grpc.NewServer(transport.ServerOptions()...)
	pb.RegisterAgentServer(server, a)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return server
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// reserveAddress returns a loopback address that refuses connections and that no other
// listener can get, and a function that listens there.
func reserveAddress(t *testing.T) (address string, open func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	f := os.NewFile(uintptr(fd), "reserved")
	t.Cleanup(func() { _ = f.Close() })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	in4, ok := bound.(*syscall.SockaddrInet4)
	assert.Assert(t, ok)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(in4.Port)), func() net.Listener {
		assert.NilError(t, syscall.Listen(fd, syscall.SOMAXCONN))
		l, err := net.FileListener(f)
		assert.NilError(t, err)
		return l
	}
}

// serviceEntry returns an entry and the targets of a plain service whose agents listen
// at the addresses.
func serviceEntry(addresses map[string]string) (*Entry, poolTargets) {
	e, _ := newTestEntry(0)
	var p poolTargets
	var list []platform.Instance
	for id, address := range addresses {
		p.service = append(p.service, target{id: id, address: address})
		list = append(list, platform.Instance{ID: id, Role: "agent", Address: address, State: platform.Live})
	}
	e.members.update(time.Now(), list)
	return e, p
}

// post runs one non-idempotent call.
func post(ctx context.Context, e *Entry, p poolTargets) (*pb.CallReply, *verdict.Error) {
	r := &request{id: e.nextID(), organisation: "o", method: http.MethodPost, uri: "/book", deadline: time.Now().Add(10 * time.Second)}
	return newServiceCall(e, r, destination{targets: p}).run(ctx)
}

// Guards against refusing a call while an agent has just restarted and the other one is
// leaving: the restarted one refused the first call for its old incarnation, and was
// then ranked behind the leaving one.
func TestRestartedAgentServesWhileTheOtherLeaves(t *testing.T) {
	t.Parallel()
	for range 20 {
		restarted, leaving := &fakeAgent{incarnation: 2}, &fakeAgent{incarnation: 1, leaving: true}
		l, m := listen(t), listen(t)
		restarted.serve(t, l)
		leaving.serve(t, m)
		e, p := serviceEntry(map[string]string{"restarted": l.Addr().String(), "leaving": m.Addr().String()})
		conn, err := e.agents.Conn("restarted", l.Addr().String())
		assert.NilError(t, err)
		conn.UpdateHint(nil, 1)
		e.members.markLeaving("restarted")
		_, failed := post(t.Context(), e, p)
		assert.Assert(t, failed == nil, "%v", failed)
	}
}

// Guards against giving up a call whose tries were all refused before they ran.
func TestRefusalsDoNotUseUpACallsTries(t *testing.T) {
	t.Parallel()
	a, l := &fakeAgent{}, listen(t)
	a.full.Store(maxTries + 1)
	a.serve(t, l)
	e, p := serviceEntry(map[string]string{"server": l.Addr().String()})
	_, failed := post(t.Context(), e, p)
	assert.Assert(t, failed == nil, "%v", failed)
}

// Guards against failing a prefill at an agent that has restarted.
func TestPrefillIsSentAgainToARestartedAgent(t *testing.T) {
	t.Parallel()
	l := listen(t)
	(&fakeAgent{incarnation: 2}).serve(t, l)
	e, p := serviceEntry(map[string]string{"server": l.Addr().String()})
	conn, err := e.agents.Conn("server", l.Addr().String())
	assert.NilError(t, err)
	conn.UpdateHint(nil, 1)
	g := generationOf(settings.PlacementPolicy)
	g.e, g.log = e, e.log
	_, _, failed := g.prefillWithReservation(t.Context(), p.service[0])
	assert.Assert(t, failed == nil, "%v", failed)
}

// Guards against a dead server that stays trusted: a request there wasn't answered, and
// none followed.
func TestEntryProbesAServerThatDidNotAnswer(t *testing.T) {
	t.Parallel()
	e, _ := serviceEntry(map[string]string{"server": "127.0.0.1:9"})
	e.members.observe("server", doubt.Timeout)
	for begin := time.Now(); len(e.members.dueProbes()) == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(begin) < time.Second, "no probe")
	}
}

// Guards against a refusal without a time to come back, while all agents are leaving.
func TestCallRefusedByAllHasRetryAfter(t *testing.T) {
	t.Parallel()
	l, m := listen(t), listen(t)
	(&fakeAgent{leaving: true}).serve(t, l)
	(&fakeAgent{leaving: true}).serve(t, m)
	e, p := serviceEntry(map[string]string{"a": l.Addr().String(), "b": m.Addr().String()})
	_, failed := post(t.Context(), e, p)
	assert.Assert(t, failed != nil)
	assert.Equal(t, failed.Verdict, verdict.NotRun)
	assert.Assert(t, failed.RetryAfter > 0, "%+v", failed)
}

// slowListener delays each connection, as an agent does that has hardly any processor
// time.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return c, err
}

// Guards against refusing a call while the connection to an agent that has just come
// back is slow to open and the other agent is leaving.
func TestSlowConnectionToAReturnedAgentIsAwaited(t *testing.T) {
	t.Parallel()
	returned, leaving := &fakeAgent{}, &fakeAgent{leaving: true}
	m := listen(t)
	address, open := reserveAddress(t)
	leaving.serve(t, m)
	e, p := serviceEntry(map[string]string{"returned": address, "leaving": m.Addr().String()})
	_, failed := post(t.Context(), e, p)
	assert.Assert(t, failed != nil)
	returned.serve(t, slowListener{open(), 150 * time.Millisecond})
	leaving.calls.Store(0)
	_, failed = post(t.Context(), e, p)
	assert.Assert(t, failed == nil, "%v", failed)
	assert.Assert(t, leaving.calls.Load() <= 1, "the leaving agent was asked %d times", leaving.calls.Load())
}

// Guards against cutting running calls that can't be repeated when their connection is
// replaced because a renewal went unanswered for a moment.
func TestReplacedConnectionDoesNotCutARunningCall(t *testing.T) {
	t.Parallel()
	a := &fakeAgent{takes: 1500 * time.Millisecond}
	e, p := a.replacingConnection(t)
	_, failed := post(t.Context(), e, p)
	assert.Assert(t, failed == nil, "%v", failed)
	assert.Equal(t, a.ended.Load(), int32(0))
}

// Guards against ending generations that can't be repeated when the connection to their
// prefill agent is replaced while the agent goes on.
func TestPrefillIsAttachedToOverANewConnection(t *testing.T) {
	t.Parallel()
	a := &fakeAgent{takes: 1500 * time.Millisecond}
	e, p := a.replacingConnection(t)
	g := generationOf(settings.PlacementPolicy)
	g.e, g.log, g.exclude = e, e.log, make(map[string]bool)
	gr, failed := g.newGrant(p.service[0], pb.Phase_PHASE_PREFILL)
	assert.Assert(t, failed == nil, "%v", failed)
	_, failed = g.prefill(t.Context(), gr, nil)
	assert.Assert(t, failed == nil, "%v", failed)
}

// replacingConnection serves an agent and returns an entry that knows it as "server"
// and replaces its connection 0.8 s later, as a renewal isn't answered.
func (a *fakeAgent) replacingConnection(t *testing.T) (*Entry, poolTargets) {
	a.silent.Store(1)
	l := listen(t)
	a.serve(t, l)
	e, p := serviceEntry(map[string]string{"server": l.Addr().String()})
	conn, err := e.agents.Conn("server", l.Addr().String())
	assert.NilError(t, err)
	go func() {
		time.Sleep(200 * time.Millisecond)
		_ = conn.Probe(context.WithoutCancel(t.Context()))
	}()
	return e, p
}

// Guards against a server that is never used again: the last reply from its agent said
// that it is leaving or down, and no request went there that could learn otherwise.
func TestServerThatReportedToBeOutIsUsedAgain(t *testing.T) {
	t.Parallel()
	for name, report := range map[string]*pb.Load{"leaving": {Leaving: true}, "down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, l := &fakeAgent{}, listen(t)
			a.serve(t, l)
			e, p := serviceEntry(map[string]string{"server": l.Addr().String()})
			go func() { _ = e.watchMembers(t.Context()) }()
			conn, err := e.agents.Conn("server", l.Addr().String())
			assert.NilError(t, err)
			conn.UpdateHint(report, 1)
			assert.Assert(t, e.candidates(p.service)[0].LastResort)
			const within = doubt.DefaultLeavingProbeInterval + time.Second
			for begin := time.Now(); e.candidates(p.service)[0].LastResort; time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, time.Since(begin) < within, "still ranked last")
			}
		})
	}
}

// Guards against a dead server that counts as healthy until a request is sent there.
func TestAgentThatEndedItsConnectionIsProbed(t *testing.T) {
	t.Parallel()
	l := listen(t)
	server := (&fakeAgent{}).serve(t, l)
	e, p := serviceEntry(map[string]string{"server": l.Addr().String()})
	go func() { _ = e.watchMembers(t.Context()) }()
	_, failed := post(t.Context(), e, p)
	assert.Assert(t, failed == nil, "%v", failed)
	server.Stop()
	for begin := time.Now(); !e.members.unavailable("server"); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(begin) < time.Second, "still trusted")
	}
}

// Guards against requests to a server whose drain takes longer than a refusal counts.
func TestAnswerOfALeavingAgentProlongsItsLeave(t *testing.T) {
	t.Parallel()
	e, _ := serviceEntry(map[string]string{"server": "127.0.0.1:9"})
	conn, err := e.agents.Conn("server", "127.0.0.1:9")
	assert.NilError(t, err)
	conn.UpdateHint(&pb.Load{Leaving: true}, 1)
	e.members.set.MarkLeaving("server", time.Now().Add(-doubt.DefaultLeavingTimeout))
	assert.Assert(t, !e.members.unavailable("server"))
	e.recordAnswer("server")
	assert.Assert(t, e.members.unavailable("server"))
}
