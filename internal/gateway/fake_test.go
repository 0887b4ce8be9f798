package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
)

// fakeBackend answers with the functions set by a test and records the calls.
type fakeBackend struct {
	send    func(s catalog.Server, c Call) (*Answer, *verdict.Error)
	prefill func(s catalog.Server) (Prefilled, *verdict.Error)
	reserve func(s catalog.Server, tokens int) (string, *verdict.Error)
	report  Report
	// signal reports signals of a server to the gateway.
	signal func(catalog.Server, Signals)
	// connectedAt is when the connections were established that carry the answers.
	connectedAt time.Time
	// unresponsive servers don't answer reservation requests.
	unresponsive map[string]bool
	// hangs: requests that are sent get no answer.
	hangs atomic.Bool

	mu sync.Mutex
	// All below is guarded by mu.
	sent     []sending
	prefills []string
	// prefillCalls has the call of each prefill.
	prefillCalls []Call
	released     []string
	discarded    []string
	orders       []StageOrder
	probes       []string
	// organisations has the organisation of each reservation and prefill.
	organisations []string
}

type sending struct {
	server string
	call   Call
}

func (f *fakeBackend) Send(ctx context.Context, s catalog.Server, c Call) (*Answer, *verdict.Error) {
	f.mu.Lock()
	f.sent = append(f.sent, sending{s.ID, c})
	f.mu.Unlock()
	if f.hangs.Load() {
		<-ctx.Done()
		return nil, lost()
	}
	began := time.Now()
	a, err := f.send(s, c)
	f.answered(s, began, err)
	return a, err
}

// answered reports the signals in an answer; err is how the exchange failed, nil if it
// didn't.
func (f *fakeBackend) answered(s catalog.Server, began time.Time, err *verdict.Error) {
	if f.signal != nil && (err == nil || err.Code == verdict.Overloaded) {
		f.signal(s, Signals{Exchange: &Exchange{Name: "fake", SentAt: began, ConnectedAt: f.connectedAt}})
	}
}

func (f *fakeBackend) Prefill(_ context.Context, s catalog.Server, c Call) (Prefilled, *verdict.Error) {
	f.mu.Lock()
	f.organisations = append(f.organisations, c.Organisation)
	f.prefills = append(f.prefills, s.ID)
	f.prefillCalls = append(f.prefillCalls, c)
	f.mu.Unlock()
	if f.prefill != nil {
		return f.prefill(s)
	}
	return Prefilled{Result: "kv-" + s.ID, Tokens: 10}, nil
}

func (f *fakeBackend) Reserve(ctx context.Context, s catalog.Server, r Reservation) (string, *verdict.Error) {
	f.mu.Lock()
	f.organisations = append(f.organisations, r.Organisation)
	f.mu.Unlock()
	if f.unresponsive[s.ID] {
		<-ctx.Done()
		return "", verdict.New(verdict.NotRun, verdict.Unreachable, "no answer")
	}
	began := time.Now()
	hold, err := "hold-"+s.ID, (*verdict.Error)(nil)
	if f.reserve != nil {
		hold, err = f.reserve(s, r.Tokens)
	}
	f.answered(s, began, err)
	return hold, err
}

func (f *fakeBackend) Release(_ context.Context, _ catalog.Server, hold string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, hold)
	return nil
}

func (f *fakeBackend) Discard(_ context.Context, _ catalog.Server, result string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded = append(f.discarded, result)
	return nil
}

func (f *fakeBackend) Report(context.Context, catalog.Server) (Report, error) { return f.report, nil }

func (f *fakeBackend) Order(_ context.Context, _ catalog.Server, o StageOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return nil
}

func (f *fakeBackend) Probe(_ context.Context, s catalog.Server, _ string) error {
	f.mu.Lock()
	f.probes = append(f.probes, s.ID)
	f.mu.Unlock()
	f.answered(s, time.Now(), nil)
	return nil
}

func (f *fakeBackend) OnSignals(signal func(catalog.Server, Signals)) { f.signal = signal }

func (f *fakeBackend) CloseConnections(catalog.Server) {}

func (f *fakeBackend) sends() []sending {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sending(nil), f.sent...)
}

// answer returns an answer with a valid proof of identity.
func answer(body io.Reader) *Answer {
	return &Answer{
		Response: &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)},
		Verified: true,
	}
}

func text(s string) io.Reader { return bytes.NewReader([]byte(s)) }

const (
	plainService = "plain"
	modelService = "model"
)

func testConfig() *catalog.Config {
	route := func(path string, k catalog.Kind, service string, resume bool) catalog.Route {
		return catalog.Route{
			Name: path, Host: "h", PathPrefix: path, Kind: k, Timeout: 3 * time.Second, LatencyObjective: 900 * time.Millisecond,
			MaxAttempts: 2, Resume: resume, Targets: []catalog.Target{{Service: service, Weight: 1}},
		}
	}
	return &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			route("/once/", catalog.NonIdempotent, plainService, false),
			route("/again/", catalog.Idempotent, plainService, false),
			route("/stream/", catalog.Streaming, modelService, true),
			route("/stream-once/", catalog.Streaming, modelService, false),
		},
		Services: map[string]catalog.Service{
			plainService: {Name: plainService},
			modelService: {Name: modelService, Engine: &catalog.Engine{
				Slots: 8, KVTokens: 10000, ReservationTTL: time.Second, SwitchTime: 100 * time.Millisecond,
			}},
		},
	}
}

func testServers() []catalog.Server {
	var out []catalog.Server
	for _, id := range []string{"p1", "p2", "p3"} {
		out = append(out, catalog.Server{ID: id, Service: plainService, Address: "10.0.0.1:" + id, AvailabilityZone: "a", Software: "v1"})
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		out = append(out, catalog.Server{ID: id, Service: modelService, Address: "10.0.0.2:" + id, AvailabilityZone: "a", Stage: catalog.Decode, Software: "v1"})
	}
	return append(out, catalog.Server{ID: "f1", Service: modelService, Address: "10.0.0.3:1", AvailabilityZone: "a", Stage: catalog.Prefill, Software: "v1"})
}

func newGateway(t *testing.T, f *fakeBackend) *Gateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{ID: "g1", Backend: f, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Log: log})
	settleBudget(g)
	g.SetConfig(testConfig())
	g.SetServers(testServers())
	g.view.complete.Store(true)
	g.SetSoftwareDigests(nil, false)
	return g
}

// settleBudget gives the gateway, which is alone, the budget of one that started long ago.
func settleBudget(g *Gateway) {
	g.budget = newBudget(g.opts.Budget, time.Now().Add(-time.Hour), board.New(), g.log)
	g.SetPeers([]string{g.opts.ID})
}

func call(path string) *Request {
	return &Request{
		ID: "r1", Method: http.MethodPost, URI: path, Path: path, Host: "h", HostName: "h",
		Arrived: time.Now(), CallerTimeout: 3 * time.Second,
	}
}

func generation(path string) *Request {
	r := call(path)
	r.Generation = &Generation{Prompt: 100, MaxOutput: 200, Hint: 50}
	return r
}

func lost() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ServerLost, "broke off")
}

func full() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "full")
}

// usable counts the servers that accept new work.
func usable(g *Gateway) int {
	n := 0
	for _, list := range g.view.list().pools {
		n += len(list)
	}
	return n
}
