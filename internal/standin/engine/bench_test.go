package engine_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
	standin "jayford.example/jayford/internal/standin/engine"
)

// fastOptions returns the options of an engine that is much faster than the default.
func fastOptions() standin.Options {
	return standin.Options{
		TokenTime:          time.Millisecond,
		TokenTimePerSlot:   time.Microsecond,
		PrefillPerThousand: 5 * time.Millisecond,
		KVTTL:              5 * time.Second,
		LinkBytesPerSecond: 1_000_000_000,
		KVBytesPerToken:    1000,
		RestartAfter:       50 * time.Millisecond,
	}
}

// testEngine is a running stand-in and its client.
type testEngine struct {
	*engine.HTTP
	engine *standin.Engine
	addr   string
}

func serve(t *testing.T, o standin.Options) testEngine {
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
	return testEngine{engine.NewHTTP(addr), e, addr}
}

func attempt(request string) engine.Attempt { return engine.Attempt{Request: request, Number: 1} }

func (b testEngine) prefill(ctx context.Context, request, prompt string) (engine.PrefillResult, error) {
	return b.Prefill(ctx, engine.PrefillRequest{Attempt: attempt(request), Model: "model-a", Prompt: prompt})
}

// answer runs prefill and decode on b and returns the text of the answer.
func (b testEngine) answer(ctx context.Context, request, prompt string, limit int) (string, error) {
	p, err := b.prefill(ctx, request, prompt)
	if err != nil {
		return "", err
	}
	return b.decode(ctx, request, prompt, p.KV, limit)
}

func (b testEngine) decodeRequest(request, prompt, kv string, limit int) engine.DecodeRequest {
	return engine.DecodeRequest{
		Attempt: attempt(request), Model: "model-a", Prompt: prompt,
		KV: kv, Source: b.addr, MaxTokens: limit,
	}
}

func (b testEngine) decode(ctx context.Context, request, prompt, kv string, limit int) (string, error) {
	var text strings.Builder
	err := b.Decode(ctx, b.decodeRequest(request, prompt, kv, limit), func(ev engine.Event) error {
		if ev.Token != nil {
			text.WriteString(ev.Token.Text)
		}
		return nil
	})
	return text.String(), err
}

func wantAnswer(prompt string, limit int) string {
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

func (b testEngine) holdsNothing() bool { return len(b.engine.Record().Held) == 0 }
