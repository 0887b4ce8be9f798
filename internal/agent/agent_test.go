package agent

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
)

const endless = 1 << 30

// The entry loses its connection in the middle of a stream. It attaches over a
// new one from the token that it lacks and gets each token once; the engine
// runs the request once.
func TestDecodeReattaches(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	s := b.decode(t, ctx, "a")
	f.lines <- engine.Event{Imported: true}
	f.lines <- engine.Event{Attempt: engine.Attempt{Request: "other"}, Token: &engine.Token{Text: "crossed"}}
	f.tokens(0, 3)
	texts, _ := read(t, s, 2)
	cancel()
	f.tokens(3, 5)
	f.lines <- engine.Event{Finish: "stop"}

	s, err := b.dial(t).Decode(t.Context(), &pb.DecodeRequest{Attempt: attempt("a"), From: uint32(len(texts)), Attach: true})
	assert.NilError(t, err)
	more, last := read(t, s, endless)
	assert.DeepEqual(t, append(texts, more...), []string{"0", "1", "2", "3", "4"})
	assert.Equal(t, last.GetEnd().GetTokens(), uint32(5))
	assert.Equal(t, last.GetLoad().GetUsed(), uint32(0))
	assert.Equal(t, f.decodes[engine.Attempt{Request: "a", Number: 1}], 1)
}

// An entry dies in the middle of a stream, so its renewals stop. The agent
// retries the cancel until the engine confirms it, and frees the slot only
// then.
func TestDeadEntryIsFreed(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	stop := b.renew(t, "a")
	s := b.decode(t, t.Context(), "a")
	f.tokens(0, 1)
	_, _ = read(t, s, 1)
	f.with(func() { f.failCancels = 3 })
	stop()
	_, last := read(t, s, endless)
	assert.Equal(t, last.GetRefusal().GetReason(), pb.Reason_REASON_CANCELLED)
	assert.Equal(t, last.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	eventually(t, "slot free", func() bool { return b.agent.Load().GetUsed() == 0 })
	assert.Assert(t, !f.holds("a"))
	f.with(func() { assert.Equal(t, f.cancelled[engine.Attempt{Request: "a", Number: 1}], 4) })
}

// The previous agent was killed while the engine generated. Nothing is admitted
// until the engine has cancelled the attempts that have no grant.
func TestRestartedAgentCancelsLeftovers(t *testing.T) {
	f := newFakeEngine()
	f.running[engine.Attempt{Request: "old", Number: 1}] = "decode"
	f.failCancels = 2
	b := launch(t, Options{Engine: f})
	refusal := b.reserve(t, "a", pb.Phase_PHASE_DECODE)
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_SERVER_DOWN)
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	b.up(t)
	assert.Assert(t, !f.holds("old"))
}

func TestAuditCancelsOrphans(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	b.decode(t, t.Context(), "a")
	eventually(t, "started", func() bool { return f.holds("a") })
	f.with(func() { f.running[engine.Attempt{Request: "leak", Number: 1}] = "kv" })
	eventually(t, "orphan cancelled", func() bool { return !f.holds("leak") })
	assert.Assert(t, f.holds("a"))
}

// The engine crashes and restarts at once; the streams break one after the
// other. A request that ran alone is blamed, one that ran beside another isn't;
// both may have run.
func TestCrashBlame(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a", "b", "c")
	crash := func(streams ...pb.Agent_DecodeClient) (out []*pb.Refusal) {
		f.with(func() {
			f.load.Incarnation++
			clear(f.running)
		})
		for range streams {
			f.broken <- struct{}{}
		}
		for _, s := range streams {
			_, last := read(t, s, endless)
			assert.Equal(t, last.GetRefusal().GetReason(), pb.Reason_REASON_SERVER_LOST)
			assert.Equal(t, last.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
			out = append(out, last.GetRefusal())
		}
		return out
	}
	first, second := b.decode(t, t.Context(), "a"), b.decode(t, t.Context(), "b")
	eventually(t, "both run", func() bool { return f.holds("a") && f.holds("b") })
	for _, refusal := range crash(first, second) {
		assert.Assert(t, !refusal.GetCrashedAlone())
	}
	b.up(t)
	alone := b.decode(t, t.Context(), "c")
	eventually(t, "runs", func() bool { return f.holds("c") })
	assert.Assert(t, crash(alone)[0].GetCrashedAlone())
}

// One connection to a healthy engine breaks. The request is cancelled there,
// since it may still run, and isn't blamed.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	s := b.decode(t, t.Context(), "a")
	f.broken <- struct{}{}
	_, last := read(t, s, endless)
	assert.Equal(t, last.GetRefusal().GetReason(), pb.Reason_REASON_CONNECTION_LOST)
	assert.Assert(t, !last.GetRefusal().GetCrashedAlone())
	eventually(t, "cancelled", func() bool { return !f.holds("a") && b.agent.Load().GetUsed() == 0 })
}

// The engine hangs: it accepts connections but doesn't answer. Its attempts end
// as "may have run". When it recovers and still runs them, they are cancelled
// before anything new is admitted.
func TestHungEngineIsCleanedWhenItRecovers(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	s := b.decode(t, t.Context(), "a")
	eventually(t, "runs", func() bool { return f.holds("a") })
	f.with(func() { f.loadErr, f.failCancels = errReset, 1 })
	_, last := read(t, s, endless)
	assert.Equal(t, last.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	f.with(func() { f.loadErr = nil })
	b.up(t)
	assert.Assert(t, !f.holds("a"))
}

func TestConvict(t *testing.T) {
	b := launch(t, Options{Engine: newFakeEngine()}).up(t)
	_, err := b.client.Convict(t.Context(), &pb.ConvictRequest{Fingerprints: []uint64{42}})
	assert.NilError(t, err)
	r, err := b.client.Reserve(t.Context(), &pb.ReserveRequest{
		Attempt: attempt("a"), Phase: pb.Phase_PHASE_DECODE, Fingerprint: 42,
	})
	assert.NilError(t, err)
	assert.Equal(t, r.GetRefusal().GetReason(), pb.Reason_REASON_CONVICTED)
	renewal, err := b.client.Renew(t.Context(), &pb.RenewRequest{Entry: "e1#1", Sequence: 1, Attempts: []*pb.Attempt{attempt("a")}})
	assert.NilError(t, err)
	assert.DeepEqual(t, renewal.GetConvicted(), []uint64{42})
	assert.Equal(t, len(renewal.GetUnknown()), 1)
}

// The engine refuses without having run anything. The request may go to another
// server, so the verdict must be "not run".
func TestEngineRefusals(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	cases := map[pb.Reason]error{
		pb.Reason_REASON_FULL: engine.ErrBusy, pb.Reason_REASON_KV_GONE: engine.ErrKVGone,
		pb.Reason_REASON_INVALID: engine.ErrInvalid, pb.Reason_REASON_SERVER_DOWN: engine.ErrUnreachable,
	}
	for want, err := range cases {
		f.with(func() { f.decodeErr = err })
		_, last := read(t, b.decode(t, t.Context(), want.String()), endless)
		assert.Equal(t, last.GetRefusal().GetReason(), want)
		assert.Equal(t, last.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	}
}

func TestReleasedPrefillIsDroppedAtEngine(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_PREFILL) == nil)
	for range 2 { // The second call finds the result of the first.
		r, err := b.client.Prefill(t.Context(), &pb.PrefillRequest{Attempt: attempt("a")})
		assert.NilError(t, err)
		assert.Equal(t, r.GetKv(), "kv-a")
	}
	assert.Equal(t, b.agent.Load().GetUsed(), uint32(0))
	assert.Assert(t, f.holds("a"))
	_, err := b.client.Release(t.Context(), &pb.ReleaseRequest{Attempt: attempt("a")})
	assert.NilError(t, err)
	eventually(t, "kv gone", func() bool { return !f.holds("a") })
}

// The agent stops while a stream runs. New work is refused as not run, the
// stream completes, then the agent ends.
func TestStopLetsStreamsFinish(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	s := b.decode(t, t.Context(), "a")
	f.tokens(0, 1)
	_, _ = read(t, s, 1)
	b.stop()
	eventually(t, "leaving", func() bool { return b.agent.Load().GetLeaving() })
	refusal := b.reserve(t, "b", pb.Phase_PHASE_DECODE)
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_LEAVING)
	f.tokens(1, 3)
	f.lines <- engine.Event{Finish: "length"}
	texts, last := read(t, s, endless)
	assert.DeepEqual(t, texts, []string{"1", "2"})
	assert.Equal(t, last.GetEnd().GetFinishReason(), "length")
	_, err := b.client.Release(t.Context(), &pb.ReleaseRequest{Attempt: attempt("a")})
	assert.NilError(t, err)
	err = <-b.done
	b.done <- err
	assert.NilError(t, err)
}

// A deposed controller sends an order to a restarted agent, which has lost the
// highest fencing token. It is refused, whether or not the lease can be read.
// An order without an answer is retried before the next one is sent.
func TestOrders(t *testing.T) {
	f := newFakeEngine()
	leaseErr := errors.New("platform down")
	b := launch(t, Options{Engine: f, ReadFence: func(context.Context, string) (uint64, error) { return 7, leaseErr }}).up(t)
	order := func(fence uint64) *pb.Refusal {
		r, err := b.client.Order(t.Context(), &pb.OrderRequest{Scope: "m", Fence: fence, Kind: "set-role", Operation: "o"})
		assert.NilError(t, err)
		return r.GetRefusal()
	}
	assert.Equal(t, order(8).GetReason(), pb.Reason_REASON_FENCED)
	leaseErr = nil
	assert.Equal(t, order(6).GetReason(), pb.Reason_REASON_FENCED)
	f.with(func() { f.orderErrs = 2 })
	assert.Assert(t, order(8) == nil)
	f.with(func() { assert.Equal(t, len(f.orders), 3) })
}

func TestDumpAndCancelledReserve(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	for _, id := range []string{"a", "b"} {
		assert.Assert(t, b.reserve(t, id, pb.Phase_PHASE_DECODE) == nil)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.client.Reserve(ctx, &pb.ReserveRequest{Attempt: attempt("c"), Phase: pb.Phase_PHASE_DECODE, WaitMs: 5000})
	assert.Assert(t, err != nil)
	eventually(t, "queue empty", func() bool { return b.agent.Load().GetQueued() == 0 })
	assert.Equal(t, len(b.agent.view().(state).Grants), 2)
}

func TestPacer(t *testing.T) {
	p := newPacer(1000)
	assert.Equal(t, p.reserve("z1", 500, 0, time.Second), time.Duration(0))
	assert.Equal(t, p.reserve("z1", 600, 0, time.Second), 500*time.Millisecond)
	assert.Equal(t, p.reserve("z1", 1, 0, time.Second), time.Duration(-1))
	assert.Equal(t, p.reserve("z2", 1, 0, time.Second), time.Duration(0))
	assert.Equal(t, p.reserve("z1", 1, 2*time.Second, time.Second), time.Duration(0))
	assert.Equal(t, newPacer(0).reserve("z1", 1<<40, 0, 0), time.Duration(0))
}

// The connection goes silent during a transfer between two engines. No token is
// due yet and the engine lists the attempt as running, so only a timeout can
// detect it. The request must be retried elsewhere while the caller can still
// use the answer.
func TestSilentTransferTimesOut(t *testing.T) {
	t.Parallel()
	f := newFakeEngine()
	b := launch(t, Options{Engine: f, Settings: testSettings()}).up(t)
	b.renew(t, "a")
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_DECODE) == nil)
	began := time.Now()
	s, err := b.client.Decode(t.Context(), &pb.DecodeRequest{Attempt: attempt("a"), Kv: "kv", KvBytes: 10_000, SourceZone: "z"})
	assert.NilError(t, err)
	var last *pb.DecodeEvent
	for last.GetRefusal() == nil {
		b.renew(t, "a")
		last, err = s.Recv()
		assert.NilError(t, err)
	}
	assert.Equal(t, last.GetRefusal().GetReason(), pb.Reason_REASON_TRANSFER)
	assert.Assert(t, time.Since(began) < 4*time.Second, "given up after %s", time.Since(began))
}

// The link from a zone is reserved for longer than the result of a prefill
// lives. The next import would find it expired, so it isn't sent and is
// reported as not run.
func TestFullLinkRefusesTransfer(t *testing.T) {
	f := newFakeEngine()
	cfg := testSettings()
	cfg.LinkBytesPerSecond = 1000
	b := launch(t, Options{Engine: f, Settings: cfg}).up(t)
	b.renew(t, "a", "b")
	var last *pb.DecodeEvent
	for _, id := range []string{"a", "b"} {
		assert.Assert(t, b.reserve(t, id, pb.Phase_PHASE_DECODE) == nil)
		s, err := b.client.Decode(t.Context(), &pb.DecodeRequest{Attempt: attempt(id), Kv: "kv", KvBytes: 10_000, SourceZone: "z"})
		assert.NilError(t, err)
		if id == "a" {
			eventually(t, "runs", func() bool { return f.holds("a") })
			continue
		}
		_, last = read(t, s, endless)
	}
	assert.Equal(t, last.GetRefusal().GetReason(), pb.Reason_REASON_TRANSFER)
	assert.Equal(t, last.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	f.with(func() { assert.Equal(t, len(f.decodes), 1) })
	eventually(t, "slot free", func() bool { return b.agent.Load().GetUsed() == 1 })
}
