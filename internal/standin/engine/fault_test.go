package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
	standin "jayford.example/jayford/internal/standin/engine"
)

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
		r := b.decodeRequest("r1", "prompt", p.KV, 1_000_000)
		err = b.Decode(ctx, r, func(ev engine.Event) error {
			if ev.Token != nil {
				leave()
			}
			return nil
		})
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
	o.RestartAfter = time.Second
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
	silenced := false
	r := b.decodeRequest("r1", "prompt", p.KV, 100_000)
	c := engine.NewHTTP(b.addr, engine.WithStreamIdle(300*time.Millisecond))
	start := time.Now()
	err = c.Decode(t.Context(), r, func(ev engine.Event) error {
		if ev.Token != nil && !silenced {
			silenced = true
			b.control(t, standin.Control{SilenceConnections: true})
		}
		return nil
	})
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.Assert(t, silenced && time.Since(start) < 5*time.Second)
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

// Cache events are lost. The reader must be able to see it: the sequences of
// those that come have gaps.
func TestLostCacheEventsLeaveGaps(t *testing.T) {
	o := fast()
	o.EventLoss = 0.5
	b := serve(t, o)
	_, err := b.prefill(t.Context(), "r1", words(40*engine.CacheBlock))
	assert.NilError(t, err)
	got, err := b.CacheEvents(t.Context(), 0)
	assert.NilError(t, err)
	n := len(got.Events)
	assert.Assert(t, n > 0 && n < 40)
	assert.Assert(t, got.Events[n-1].Sequence > uint64(n))
	rest, err := b.CacheEvents(t.Context(), got.Events[0].Sequence)
	assert.NilError(t, err)
	assert.Equal(t, len(rest.Events), n-1)
}

// exitEnv makes the test binary serve an engine that really exits.
const exitEnv = "JAYFORD_TEST_EXIT"

// The engine is a process of its own and a marked prompt ends it. The caller
// sees a lost engine, then refused connections.
func TestExitOnCrash(t *testing.T) {
	if addr := os.Getenv(exitEnv); addr != "" {
		ln, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, standin.New(standin.Options{ExitOnCrash: true, CrashMarker: "poison"}).Serve(t.Context(), ln))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestExitOnCrash$")
	cmd.Env = append(os.Environ(), exitEnv+"="+addr)
	assert.NilError(t, cmd.Start())
	c := engine.NewHTTP(addr)
	eventually(t, "process serves", func() bool {
		_, err := c.Load(t.Context())
		return err == nil
	})
	_, err = c.Prefill(t.Context(), engine.PrefillRequest{Attempt: attempt("r1"), Model: "model-a", Prompt: "poison"})
	assert.ErrorIs(t, err, engine.ErrLost)
	var exit *exec.ExitError
	assert.Assert(t, errors.As(cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), 137)
	_, err = c.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrUnreachable)
}
