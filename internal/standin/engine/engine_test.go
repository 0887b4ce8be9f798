package engine_test

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
	standin "jayford.example/jayford/internal/standin/engine"
)

// fast is an engine at a small part of life's times.
func fast() standin.Options {
	return standin.Options{
		TokenTime:          time.Millisecond,
		TokenTimePerSlot:   time.Microsecond,
		PrefillPerThousand: 5 * time.Millisecond,
		KVTTL:              300 * time.Millisecond,
		LinkBytesPerSecond: 1_000_000_000,
		KVBytesPerToken:    1000,
		RestartAfter:       50 * time.Millisecond,
	}
}

// bench is a served stand-in and its client.
type bench struct {
	*engine.HTTP
	engine *standin.Engine
	addr   string
}

func serve(t *testing.T, o standin.Options) bench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := standin.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		assert.Check(t, g.Wait() == nil)
	})
	addr := ln.Addr().String()
	return bench{engine.NewHTTP(addr, engine.WithStreamIdle(300*time.Millisecond)), e, addr}
}

func attempt(request string) engine.Attempt { return engine.Attempt{Request: request, Number: 1} }

func (b bench) prefill(ctx context.Context, request, prompt string) (engine.PrefillResult, error) {
	return b.Prefill(ctx, engine.PrefillRequest{Attempt: attempt(request), Model: "model-a", Prompt: prompt})
}

// answer prefills and decodes on b and returns the tokens' text.
func (b bench) answer(ctx context.Context, request, prompt string, limit int) (string, error) {
	p, err := b.prefill(ctx, request, prompt)
	if err != nil {
		return "", err
	}
	return b.decode(ctx, request, prompt, p.KV, limit)
}

func (b bench) decode(ctx context.Context, request, prompt, kv string, limit int) (string, error) {
	var text strings.Builder
	r := engine.DecodeRequest{
		Attempt: attempt(request), Model: "model-a", Prompt: prompt,
		KV: kv, Source: b.addr, MaxTokens: limit,
	}
	err := b.Decode(ctx, r, func(ev engine.Event) error {
		if ev.Token != nil {
			text.WriteString(ev.Token.Text)
		}
		return nil
	})
	return text.String(), err
}

func want(prompt string, limit int) string {
	var text strings.Builder
	n, _ := standin.AnswerLength(prompt, limit)
	for i := range n {
		text.WriteString(standin.Answer("model-a", prompt, i))
	}
	return text.String()
}

func words(n int) string { return strings.Repeat("word ", n) }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func (b bench) holdsNothing() bool { return len(b.engine.Record().Held) == 0 }

func TestAnswerIsWholeAndMemoryIsFreed(t *testing.T) {
	b := serve(t, fast())
	got, err := b.answer(t.Context(), "r1", "a small prompt", 30)
	assert.NilError(t, err)
	assert.Equal(t, got, want("a small prompt", 30))
	got, err = b.answer(t.Context(), "r2", "ends early stop-after=4", 30)
	assert.NilError(t, err)
	assert.Equal(t, got, want("ends early stop-after=4", 4))
	assert.Assert(t, b.holdsNothing())
}

func TestResumeGoesOnBehindTheDeliveredTokens(t *testing.T) {
	b := serve(t, fast())
	p, err := b.prefill(t.Context(), "r1", "prompt")
	assert.NilError(t, err)
	var got []int
	r := engine.DecodeRequest{
		Attempt: attempt("r1"), Model: "model-a", Prompt: "prompt",
		KV: p.KV, Source: b.addr, MaxTokens: 8, Resume: 5,
	}
	assert.NilError(t, b.Decode(t.Context(), r, func(ev engine.Event) error {
		if ev.Token != nil {
			got = append(got, ev.Token.Index)
		}
		return nil
	}))
	assert.DeepEqual(t, got, []int{5, 6, 7})
}

func TestCacheSparesThePrefixAndPublishesIt(t *testing.T) {
	o := fast()
	o.EventDelay = 30 * time.Millisecond
	o.CacheTokens = 4 * engine.CacheBlock
	b := serve(t, o)
	prompt := words(600)
	first, err := b.prefill(t.Context(), "r1", prompt)
	assert.NilError(t, err)
	assert.Equal(t, first.CachedTokens, 0)
	second, err := b.prefill(t.Context(), "r2", prompt+"and a tail")
	assert.NilError(t, err)
	assert.Equal(t, second.CachedTokens, 512)
	var got engine.CacheEvents
	eventually(t, "cache events", func() bool {
		got, err = b.CacheEvents(t.Context(), 0)
		return err == nil && len(got.Events) == 2
	})
	assert.Equal(t, got.Events[1].Prefix, engine.PrefixHash(prompt, 512))
	_, err = b.prefill(t.Context(), "r3", "other "+prompt+prompt)
	assert.NilError(t, err)
	third, err := b.prefill(t.Context(), "r4", prompt)
	assert.NilError(t, err)
	assert.Equal(t, third.CachedTokens, 0, "the other prompt evicted it")
}

func TestShortPrefillPassesALongOne(t *testing.T) {
	o := fast()
	o.PrefillPerThousand = 20 * time.Millisecond
	b := serve(t, o)
	var g errgroup.Group
	var long, short time.Time
	g.Go(func() error {
		_, err := b.prefill(t.Context(), "long", words(20_000))
		long = time.Now()
		return err
	})
	eventually(t, "long runs", func() bool { return !b.holdsNothing() })
	g.Go(func() error {
		_, err := b.prefill(t.Context(), "short", "few words")
		short = time.Now()
		return err
	})
	assert.NilError(t, g.Wait())
	assert.Assert(t, short.Before(long))
}

func TestFullEngineRefusesAndDuplicateIsToldApart(t *testing.T) {
	o := fast()
	o.DecodeSlots = 1
	o.TokenTime = 20 * time.Millisecond
	b := serve(t, o)
	one, err := b.prefill(t.Context(), "r1", "one")
	assert.NilError(t, err)
	two, err := b.prefill(t.Context(), "r2", "two")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		_, err := b.decode(t.Context(), "r1", "one", one.KV, 20)
		return err
	})
	eventually(t, "slot taken", func() bool {
		l, err := b.Load(t.Context())
		return err == nil && l.Used == 1
	})
	_, err = b.decode(t.Context(), "r2", "two", two.KV, 5)
	assert.ErrorIs(t, err, engine.ErrBusy)
	_, err = b.decode(t.Context(), "r1", "one", one.KV, 5)
	assert.ErrorIs(t, err, engine.ErrDuplicate)
	assert.NilError(t, g.Wait())
}

// The prefill's result expires before the decode engine pulls it: the decode
// must fail as "kv gone", without a token, and hold nothing.
func TestExpiredKVIsGone(t *testing.T) {
	o := fast()
	o.KVTTL = 20 * time.Millisecond
	b := serve(t, o)
	p, err := b.prefill(t.Context(), "r1", "prompt")
	assert.NilError(t, err)
	eventually(t, "expiry", b.holdsNothing)
	got, err := b.decode(t.Context(), "r1", "prompt", p.KV, 5)
	assert.ErrorIs(t, err, engine.ErrKVGone)
	assert.Equal(t, got, "")
	assert.Assert(t, b.holdsNothing())
}

func TestTransfersShareTheLink(t *testing.T) {
	o := fast()
	o.LinkBytesPerSecond = 1_000_000 // 100 tokens take 0.1 s
	o.KVTTL = 5 * time.Second
	b := serve(t, o)
	start := time.Now()
	var g errgroup.Group
	for _, r := range []string{"r1", "r2", "r3"} {
		p, err := b.prefill(t.Context(), r, words(100))
		assert.NilError(t, err)
		g.Go(func() error {
			_, err := b.decode(t.Context(), r, words(100), p.KV, 1)
			return err
		})
	}
	assert.NilError(t, g.Wait())
	assert.Assert(t, time.Since(start) > 280*time.Millisecond)
}

// A cancel comes while a prefill is queued, while its result is held, and while
// a decode streams. Each time the memory is free when the cancel has returned, a
// second cancel changes nothing, and the waiting call ends as cancelled.
func TestCancelFreesInEachPhase(t *testing.T) {
	o := fast()
	o.KVTTL = time.Minute
	b := serve(t, o)
	ctx := t.Context()
	holds := func() bool {
		return slices.ContainsFunc(b.engine.Record().Held, func(h standin.Held) bool {
			return h.Attempt == attempt("r1")
		})
	}
	during := func(run func() error) {
		var g errgroup.Group
		g.Go(run)
		eventually(t, "attempt runs", holds)
		assert.NilError(t, b.Cancel(ctx, attempt("r1")))
		assert.Assert(t, !holds())
		assert.NilError(t, b.Cancel(ctx, attempt("r1")))
		assert.ErrorIs(t, g.Wait(), engine.ErrCancelled)
	}
	during(func() error {
		_, err := b.prefill(ctx, "r1", words(50_000))
		return err
	})
	_, err := b.prefill(ctx, "r1", "held")
	assert.NilError(t, err)
	assert.Assert(t, holds())
	assert.NilError(t, b.Cancel(ctx, attempt("r1")))
	assert.Assert(t, !holds())
	p, err := b.prefill(ctx, "r2", "decoded")
	assert.NilError(t, err)
	during(func() error {
		_, err := b.decode(ctx, "r1", "decoded", p.KV, 100_000)
		return err
	})
}

// The caller of a decode goes and its connection closes. The engine runs on and
// holds the slot until a cancel, unless it is one that frees on close.
func TestClosedConnectionFreesOnlyWhereSaid(t *testing.T) {
	for _, frees := range []bool{false, true} {
		o := fast()
		o.FreeOnClose = frees
		b := serve(t, o)
		ctx, leave := context.WithCancel(t.Context())
		p, err := b.prefill(ctx, "r1", "prompt")
		assert.NilError(t, err)
		time.AfterFunc(30*time.Millisecond, leave)
		_, err = b.decode(ctx, "r1", "prompt", p.KV, 1_000_000)
		assert.ErrorIs(t, err, context.Canceled)
		if frees {
			eventually(t, "slot freed", b.holdsNothing)
			continue
		}
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(b.engine.Record().Held), 1)
		assert.NilError(t, b.Cancel(t.Context(), attempt("r1")))
		assert.Assert(t, b.holdsNothing())
	}
}

// A marked prompt crashes the engine while a neighbour decodes. Both callers see
// a lost engine, new connections are refused ("nothing ran"), and the engine
// comes back empty as another incarnation, with its account kept.
func TestCrashTakesAllAndComesBack(t *testing.T) {
	o := fast()
	o.CrashMarker = "poison"
	o.RestartAfter = 200 * time.Millisecond
	b := serve(t, o)
	before, err := b.Load(t.Context())
	assert.NilError(t, err)
	p, err := b.prefill(t.Context(), "neighbour", "fine")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		_, err := b.decode(t.Context(), "neighbour", "fine", p.KV, 100_000)
		return err
	})
	eventually(t, "neighbour runs", func() bool { return b.engine.Record().Held[0].Phase == engine.PhaseDecode })
	_, err = b.prefill(t.Context(), "bad", "some poison")
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.ErrorIs(t, g.Wait(), engine.ErrLost)
	_, err = b.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrUnreachable)
	eventually(t, "restart", func() bool {
		l, err := b.Load(t.Context())
		return err == nil && l.Incarnation > before.Incarnation
	})
	assert.Assert(t, b.holdsNothing())
}

// Connections that are open go silent: the stream's reader hears neither a token
// nor a close. It must give up after its bound, and a new call must work.
func TestSilentConnectionEndsByTheBound(t *testing.T) {
	b := serve(t, fast())
	p, err := b.prefill(t.Context(), "r1", "prompt")
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { b.control(t, standin.Control{SilenceConnections: true}) })
	_, err = b.decode(t.Context(), "r1", "prompt", p.KV, 100_000)
	assert.ErrorIs(t, err, engine.ErrLost)
	running, err := b.Running(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, running[0].Phase, engine.PhaseDecode)
}

func (b bench) control(t *testing.T, c standin.Control) {
	t.Helper()
	body, err := json.Marshal(c)
	assert.NilError(t, err)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + b.addr + standin.PathControl)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	assert.Check(t, fasthttp.DoTimeout(req, resp, 5*time.Second) == nil)
	assert.Check(t, resp.StatusCode() == fasthttp.StatusOK)
}

// A stream drops, delays, doubles or mixes in a token. The caller gets the whole
// answer or an error, never a wrong answer passed off as whole.
func TestTokenFaultsNeverMakeAWrongAnswer(t *testing.T) {
	b := serve(t, fast())
	cases := []struct {
		fault string
		whole bool
	}{
		{standin.FaultDrop, false},
		{standin.FaultLate, false},
		{standin.FaultDuplicate, true},
		{standin.FaultCross, true},
	}
	for _, c := range cases {
		b.control(t, standin.Control{TokenFault: c.fault, TokenFaults: 1})
		got, err := b.answer(t.Context(), c.fault, "prompt", 10)
		if c.whole {
			assert.NilError(t, err, c.fault)
			assert.Equal(t, got, want("prompt", 10), c.fault)
			continue
		}
		assert.ErrorIs(t, err, engine.ErrLost, c.fault)
		assert.NilError(t, b.Cancel(t.Context(), attempt(c.fault)))
	}
	// The only token is lost: without the count in the last line this would
	// look like an empty answer.
	b.control(t, standin.Control{TokenFault: standin.FaultDrop, TokenFaults: 1})
	_, err := b.answer(t.Context(), "last", "prompt", 1)
	assert.ErrorIs(t, err, engine.ErrLost)
}

// The transfer's source stands still. The decode must fail as a transfer, with
// no token made, and give its slot back.
func TestStalledTransferEnds(t *testing.T) {
	o := fast()
	o.TransferTimeout = 50 * time.Millisecond
	o.KVTTL = 5 * time.Second
	b := serve(t, o)
	p, err := b.prefill(t.Context(), "r1", "prompt")
	assert.NilError(t, err)
	b.control(t, standin.Control{StallLinkMs: 200})
	_, err = b.decode(t.Context(), "r1", "prompt", p.KV, 3)
	assert.ErrorIs(t, err, engine.ErrTransfer)
	l, err := b.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, l.Used, 0)
}

// An order with an old fencing number comes after a newer one. An engine that
// checks refuses it; one that doesn't obeys, which is what the agent is for.
func TestOldFenceIsRefusedOnlyWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		o := fast()
		o.ChecksFence = checks
		b := serve(t, o)
		newer := engine.Order{Fence: 7, Kind: "load-model", Value: "new", Operation: "a"}
		assert.NilError(t, b.Order(t.Context(), newer))
		err := b.Order(t.Context(), engine.Order{Fence: 6, Kind: "load-model", Value: "old", Operation: "b"})
		assert.NilError(t, b.Order(t.Context(), newer), "a repeat changes nothing")
		l, loadErr := b.Load(t.Context())
		assert.NilError(t, loadErr)
		if checks {
			assert.ErrorIs(t, err, engine.ErrFenced)
			assert.Equal(t, l.Model, "new")
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, l.Model, "old")
	}
}

// The engine stands still for a while. Calls of that time are answered after
// it, none is lost, and the account stays open.
func TestStallDelaysButLosesNothing(t *testing.T) {
	b := serve(t, fast())
	b.control(t, standin.Control{StallMs: 100})
	start := time.Now()
	got, err := b.answer(t.Context(), "r1", "prompt", 3)
	assert.NilError(t, err)
	assert.Equal(t, got, want("prompt", 3))
	assert.Assert(t, time.Since(start) > 90*time.Millisecond)
}
