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

// The client of a decode disconnects. The engine continues and holds the slot until
// a cancel, unless CancelOnDisconnect is set.
func TestClosedConnectionFreesOnlyWhereSaid(t *testing.T) {
	for _, frees := range []bool{false, true} {
		o := fastOptions()
		o.CancelOnDisconnect = frees
		b := serve(t, o)
		ctx, disconnect := context.WithCancel(t.Context())
		p, err := b.prefill(ctx, "r1", "prompt")
		assert.NilError(t, err)
		r := b.decodeRequest("r1", "prompt", p.KV, 1_000_000)
		err = b.Decode(ctx, r, func(ev engine.Event) error {
			if ev.Token != nil {
				disconnect()
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

// A prompt with the crash marker crashes the engine while another request decodes.
// Both calls fail with ErrLost, new connections are refused (so that the client can
// tell that nothing ran), and the engine restarts as a new incarnation that holds no
// memory.
func TestCrashTakesAllAndComesBack(t *testing.T) {
	o := fastOptions()
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

// The open connections are blackholed: the client of the stream receives neither a
// token nor a close. Its idle timeout must end the call, and a new call must work.
func TestSilentConnectionEndsByTheBound(t *testing.T) {
	b := serve(t, fastOptions())
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

func (b testEngine) control(t *testing.T, c standin.Control) {
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

// A token of a stream is dropped, reordered, duplicated, or mixed in from another
// attempt. The client gets the correct answer or an error, never a wrong answer that
// looks complete.
func TestTokenFaultsNeverMakeAWrongAnswer(t *testing.T) {
	b := serve(t, fastOptions())
	cases := []struct {
		fault    string
		complete bool
	}{
		{standin.FaultDrop, false},
		{standin.FaultLate, false},
		{standin.FaultDuplicate, true},
		{standin.FaultCross, true},
	}
	for _, c := range cases {
		b.control(t, standin.Control{TokenFault: c.fault, TokenFaults: 1})
		got, err := b.answer(t.Context(), c.fault, "prompt", 10)
		if c.complete {
			assert.NilError(t, err, c.fault)
			assert.Equal(t, got, wantAnswer("prompt", 10), c.fault)
			continue
		}
		assert.ErrorIs(t, err, engine.ErrLost, c.fault)
		assert.NilError(t, b.Cancel(t.Context(), attempt(c.fault)))
	}
	// The only token is dropped: without the token count in the last line this
	// would look like an empty answer.
	b.control(t, standin.Control{TokenFault: standin.FaultDrop, TokenFaults: 1})
	_, err := b.answer(t.Context(), "last", "prompt", 1)
	assert.ErrorIs(t, err, engine.ErrLost)
}

// The source of a KV transfer stalls. The decode must fail with ErrTransfer and free
// its slot.
func TestStalledTransferEnds(t *testing.T) {
	o := fastOptions()
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

// An order with an old fencing token arrives after a newer one. An engine that checks
// fencing tokens refuses it; an engine that doesn't applies it, and relies on the
// agent to check them.
func TestOldFenceIsRefusedOnlyWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		o := fastOptions()
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

// The engine stalls for a while. Calls during the stall are answered after it and
// none is lost.
func TestStallDelaysButLosesNothing(t *testing.T) {
	b := serve(t, fastOptions())
	b.control(t, standin.Control{StallMs: 100})
	start := time.Now()
	got, err := b.answer(t.Context(), "r1", "prompt", 3)
	assert.NilError(t, err)
	assert.Equal(t, got, wantAnswer("prompt", 3))
	assert.Assert(t, time.Since(start) > 90*time.Millisecond)
}

// Lost cache events must be visible to the reader as gaps in the sequence numbers.
func TestLostCacheEventsLeaveGaps(t *testing.T) {
	o := fastOptions()
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

// exitEnv makes the test binary serve an engine that exits on a crash, at the
// address in the variable.
const exitEnv = "JAYFORD_TEST_EXIT"

// The engine runs in a separate process, and a prompt with the crash marker exits
// it. The call fails with ErrLost, and later calls with ErrUnreachable.
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
