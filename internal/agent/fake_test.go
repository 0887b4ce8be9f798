package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/settings"
)

var errReset = errors.New("connection reset")

// fakeEngine runs decodes that the test advances token by token.
type fakeEngine struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	load      engine.Load
	loadErr   error
	running   map[engine.Attempt]string
	prefills  map[engine.Attempt]int
	decodes   map[engine.Attempt]int
	cancelled map[engine.Attempt]int
	// failCancels is how many cancels fail before one succeeds.
	failCancels int
	decodeErr   error
	orders      []engine.Order
	orderErrs   int
	// lines are the next lines of the decodes; each value on broken ends one
	// decode with errReset.
	lines  chan engine.Event
	broken chan struct{}
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		load: engine.Load{Incarnation: 1}, running: map[engine.Attempt]string{},
		prefills: map[engine.Attempt]int{}, decodes: map[engine.Attempt]int{}, cancelled: map[engine.Attempt]int{},
		lines: make(chan engine.Event, 100), broken: make(chan struct{}),
	}
}

func (f *fakeEngine) with(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeEngine) Prefill(_ context.Context, r engine.PrefillRequest) (engine.PrefillResult, error) {
	f.with(func() {
		f.prefills[r.Attempt]++
		f.running[r.Attempt] = "kv"
	})
	return engine.PrefillResult{KV: "kv-" + r.Attempt.Request, PromptTokens: 100, KVBytes: 10, ExpiresMs: 60_000}, nil
}

func (f *fakeEngine) Decode(ctx context.Context, r engine.DecodeRequest, emit func(engine.Event) error) error {
	var err error
	f.with(func() {
		f.decodes[r.Attempt]++
		if err = f.decodeErr; err == nil {
			f.running[r.Attempt] = "decode"
		}
	})
	for err == nil {
		select {
		case e := <-f.lines:
			if e.Attempt.Request == "" {
				e.Attempt = r.Attempt
			}
			if err = emit(e); err == nil && e.Finish != "" {
				f.with(func() { delete(f.running, r.Attempt) })
				return nil
			}
		case <-f.broken:
			return errReset
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (f *fakeEngine) Cancel(_ context.Context, a engine.Attempt) (err error) {
	f.with(func() {
		f.cancelled[a]++
		if f.failCancels > 0 {
			f.failCancels--
			err = errReset
			return
		}
		delete(f.running, a)
	})
	return err
}

func (f *fakeEngine) Running(context.Context) (out []engine.Running, _ error) {
	f.with(func() {
		for a, p := range f.running {
			out = append(out, engine.Running{Attempt: a, Phase: p})
		}
	})
	return out, nil
}

func (f *fakeEngine) Load(context.Context) (l engine.Load, err error) {
	f.with(func() { l, err = f.load, f.loadErr })
	return l, err
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

func (f *fakeEngine) Order(_ context.Context, o engine.Order) (err error) {
	f.with(func() {
		f.orders = append(f.orders, o)
		if f.orderErrs > 0 {
			f.orderErrs--
			err = errReset
		}
	})
	return err
}

func (f *fakeEngine) tokens(from, to int) {
	for i := from; i < to; i++ {
		f.lines <- engine.Event{Token: &engine.Token{Index: i, Text: fmt.Sprint(i)}}
	}
}

func (f *fakeEngine) holds(id string) (held bool) {
	f.with(func() { _, held = f.running[engine.Attempt{Request: id, Number: 1}] })
	return held
}

// harness is an agent on loopback with one client.
type harness struct {
	agent  *Agent
	client pb.AgentClient
	addr   string
	stop   context.CancelFunc
	done   chan error
}

func testSettings() settings.Agent {
	cfg := settings.DefaultAgent()
	cfg.Slots = 2
	cfg.LapseAfter = settings.Duration(600 * time.Millisecond)
	cfg.StopWithin = settings.Duration(5 * time.Second)
	return cfg
}

func launch(t *testing.T, o Options) *harness {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	o.Log, o.Board = log, board.New()
	if o.Settings.Slots == 0 {
		o.Settings = testSettings()
	}
	b := &harness{agent: New(o), addr: l.Addr().String(), done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go func() { b.done <- b.agent.Serve(ctx, l) }()
	b.client = b.dial(t)
	t.Cleanup(func() {
		cancel()
		b.agent.cancelAll()
		assert.NilError(t, <-b.done)
	})
	return b
}

func (b *harness) dial(t *testing.T) pb.AgentClient {
	t.Helper()
	conn, err := grpc.NewClient(b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return pb.NewAgentClient(conn)
}

func (b *harness) up(t *testing.T) *harness {
	t.Helper()
	eventually(t, "server up", func() bool { return !b.agent.Load().GetDown() })
	return b
}

// renew sends the renewals of a live entry until the test ends or stop is
// called.
func (b *harness) renew(t *testing.T, ids ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var list []*pb.Attempt
	for _, id := range ids {
		list = append(list, attempt(id))
	}
	go func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			_, _ = b.client.Renew(ctx, &pb.RenewRequest{Entry: "e1#1", Sequence: seq, Attempts: list})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return cancel
}

func attempt(id string) *pb.Attempt { return &pb.Attempt{Request: id, Number: 1, Entry: "e1#1"} }

func (b *harness) reserve(t *testing.T, id string, p pb.Phase) *pb.Refusal {
	t.Helper()
	r, err := b.client.Reserve(t.Context(), &pb.ReserveRequest{Attempt: attempt(id), Phase: p, IdleMs: 5000})
	assert.NilError(t, err)
	return r.GetRefusal()
}

// decode reserves and starts a decode.
func (b *harness) decode(t *testing.T, ctx context.Context, id string) pb.Agent_DecodeClient {
	t.Helper()
	assert.Assert(t, b.reserve(t, id, pb.Phase_PHASE_DECODE) == nil)
	s, err := b.client.Decode(ctx, &pb.DecodeRequest{Attempt: attempt(id), Kv: "kv", Source: "s"})
	assert.NilError(t, err)
	return s
}

// read collects the texts of a stream up to count tokens or its end.
func read(t *testing.T, s pb.Agent_DecodeClient, count int) (texts []string, last *pb.DecodeEvent) {
	t.Helper()
	for len(texts) < count {
		e, err := s.Recv()
		assert.NilError(t, err)
		for _, tok := range e.GetTokens() {
			texts = append(texts, tok.GetText())
		}
		last = e
		if e.GetEnd() != nil || e.GetRefusal() != nil {
			return texts, last
		}
	}
	return texts, last
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}
