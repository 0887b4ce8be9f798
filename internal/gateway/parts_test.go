package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
)

// prompt returns a generation whose prompt has shared parts, with content of its own.
func prompt(n int, parts ...string) *Request {
	r := generation("/stream/x")
	r.ID, r.Content = fmt.Sprint("r", n), fmt.Sprint("content ", n)
	r.Generation.Model, r.Generation.SharedParts = "m", parts
	return r
}

// losePrompts reports to g that servers were lost under three different prompts with the parts,
// while others ran.
func losePrompts(g *Gateway, ids ...string) {
	j := &job{r: prompt(0, ids...)}
	j.setSuspects()
	sound := &job{r: prompt(0, "ff")}
	sound.setSuspects()
	g.crashes.recordRun(sound, &attempt{})
	for i := range uint64(3) {
		lost := time.Now().Add(-time.Duration(10-i) * time.Second)
		g.RecordPeerLoss(blame.Loss{
			Request: 1000 + i, Server: 100 + i, ID: 1, Began: lost.Add(-time.Second / 2), Lost: lost, Model: j.model, Parts: j.parts,
		})
	}
}

// Guards against a request with a part that crashes servers which is sent on, as the part is
// convicted while the request is read: nothing is decoded, and nothing has run.
func TestPartIsAskedBetweenPrefillAndDecode(t *testing.T) {
	var g *Gateway
	f := &fakeBackend{}
	f.prefill = func(catalog.Server) (Prefilled, *verdict.Error) {
		losePrompts(g, "bad")
		return Prefilled{Result: "kv", Tokens: 10}, nil
	}
	g = newGateway(t, f)
	var told []uint64
	g.OnConviction(func(key uint64) { told = append(told, key) })
	_, err := g.Serve(t.Context(), prompt(1, "a1", "bad"))
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, len(f.sends()), 0)
	assert.Equal(t, len(f.prefills), 1)
	// The next one isn't read either.
	_, err = g.Serve(t.Context(), prompt(2, "a2", "bad"))
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.Equal(t, len(f.prefills), 1)
	assert.DeepEqual(t, told, []uint64{partName{Model: "m", ID: "bad"}.hash(), partName{Model: "m", ID: "bad"}.hash()})
	// Neither is the part refused under another model, nor are prompts without it.
	f.prefill = nil
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }
	other := prompt(3, "a1", "bad")
	other.Generation.Model = "m2"
	for _, r := range []*Request{other, prompt(4, "a1")} {
		reply, err := g.Serve(t.Context(), r)
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
}

// Guards against a resumption of a stream whose part has been convicted meanwhile.
func TestPartIsAskedBeforeAResumption(t *testing.T) {
	var g *Gateway
	f := &fakeBackend{}
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		losePrompts(g, "bad")
		return answer(io.MultiReader(text(eventsOf("1")), errReader{io.ErrUnexpectedEOF})), nil
	}
	g = newGateway(t, f)
	reply, err := g.Serve(t.Context(), prompt(1, "bad"))
	assert.Assert(t, err == nil, "%v", err)
	_, readErr := io.ReadAll(reply.Body)
	assert.Assert(t, readErr != nil)
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against losses held against parts that didn't crash the server: its connections were
// silent, it sent something wrong, or it had written for a while.
func TestOtherLossesBlameNoPart(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		wrote time.Duration
		want  int
	}{
		"closed":       {io.ErrUnexpectedEOF, 0, 1},
		"reset":        {syscall.ECONNRESET, time.Millisecond, 1},
		"silent":       {errors.New("i/o timeout"), 0, 0},
		"malformed":    {upstream.ErrMalformed, 0, 0},
		"wrote before": {io.ErrUnexpectedEOF, 2 * blame.ProvenTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, &fakeBackend{})
			j, err := g.plan(prompt(1, "a1"))
			assert.Assert(t, err == nil)
			a := &attempt{sentAt: time.Now().Add(-time.Second)}
			if c.wrote > 0 {
				a.wroteAt = time.Now().Add(-c.wrote)
			}
			g.recordLoss(j, testServers()[3], a, c.cause)
			assert.Equal(t, len(g.crashes.ledger.PartRecords()), c.want)
		})
	}
}

// The dump has the format that jayfordctl reads, and an operator can clear what it shows.
func TestPartsAreDumpedAndCleared(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	losePrompts(g, "bad")
	_, err := g.Serve(t.Context(), prompt(1, "bad"))
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.Assert(t, err.Message == "Servers crashed under different prompts with the parts bad.", err.Message)
	raw, dumpErr := g.opts.Board.Dump()
	assert.NilError(t, dumpErr)
	var dump struct {
		Parts []struct {
			Hash, ID, Model string
			Refused         []string
			Evidence        struct {
				Since, Last, Until time.Time
				Crashes, Requests  int
			}
		} `json:"parts"`
	}
	assert.NilError(t, json.Unmarshal(raw, &dump))
	assert.Equal(t, len(dump.Parts), 1)
	x := dump.Parts[0]
	assert.Equal(t, x.ID+" "+x.Model, "bad m")
	assert.DeepEqual(t, x.Refused, []string{"bad"})
	assert.Equal(t, x.Evidence.Crashes, 3)
	assert.Assert(t, x.Evidence.Since.Before(x.Evidence.Last) && x.Evidence.Until.After(time.Now()))
	_, clearErr := g.ClearPart(x.Hash, " ")
	assert.ErrorContains(t, clearErr, "reason")
	_, clearErr = g.ClearPart("no hash", "x")
	assert.ErrorContains(t, clearErr, "hash")
	cleared, clearErr := g.ClearPart(x.Hash, "the engine is fixed")
	assert.NilError(t, clearErr)
	assert.Assert(t, cleared)
	assert.Assert(t, !g.crashes.judge(1, []uint64{partName{Model: "m", ID: "bad"}.hash()}).Convicted)
}

// Guards against a refusal that is published with more parts than it needs, and not again once
// they are told apart: gateways that start would let the guilty one in.
func TestNarrowedRefusalIsPublishedAgain(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	var told []uint64
	g.OnConviction(func(key uint64) { told = append(told, key) })
	losePrompts(g, "bad", "a1")
	refuse := func() {
		_, err := g.Serve(t.Context(), prompt(1, "bad", "a1"))
		assert.Equal(t, err.Code, verdict.Crashes)
	}
	refuse()
	sound := &job{r: prompt(0, "a1")}
	sound.setSuspects()
	g.crashes.recordRun(sound, &attempt{})
	refuse()
	assert.Equal(t, len(told), 2)
	assert.Assert(t, told[0] != told[1])
	assert.Equal(t, told[1], g.Convictions(3)[0].ConvictionKey())
}

// Guards against a gateway that starts anew and learns a refusal only by crashes of its own: its
// peers' objects and full updates bring the same evidence.
func TestStartingGatewayRefusesTheSameParts(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	losePrompts(g, "bad")
	part := []uint64{partName{Model: "m", ID: "bad"}.hash()}
	assert.Assert(t, g.crashes.judge(1, part).Convicted)
	fresh := newGateway(t, &fakeBackend{})
	for _, x := range g.Convictions(24) {
		fresh.RecordPeerLoss(x)
	}
	assert.Assert(t, fresh.crashes.judge(1, part).Convicted)
	assert.Assert(t, fresh.crashes.judge(1000, nil).Convicted == false)
}
