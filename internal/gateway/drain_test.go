package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/stop"
	"jayford.example/jayford/internal/verdict"
)

// streamProtocol decodes each HTTP request whose path is that of a stream as a generation.
type streamProtocol struct{ bareProtocol }

func (streamProtocol) Decode(ctx *fasthttp.RequestCtx, _ []byte) (*Request, *verdict.Error) {
	path := string(ctx.Path())
	r := call(path)
	if strings.HasPrefix(path, "/stream") {
		r = generation(path)
	}
	r.ID = string(ctx.Request.Header.Peek("Id"))
	return r, nil
}

func (streamProtocol) Refuse(resp *fasthttp.Response, r *Request, e *verdict.Error) {
	bareProtocol{}.Refuse(resp, r, e)
	resp.Header.Set("Retry-After", e.RetryAfter.String())
	resp.Header.Set("Verdict", e.Verdict.String())
}

// stoppable is a gateway's server that a test stops.
type stoppable struct {
	t     *testing.T
	g     *Gateway
	addr  string
	logs  *logtest.Hook
	stop  context.CancelFunc
	ended chan error
}

// newStoppable runs the server of a gateway whose graceful stop takes within. A free port may be
// taken by another process before the server listens at it.
func newStoppable(t *testing.T, f *fakeBackend, within time.Duration, change func(*ServerOptions)) *stoppable {
	t.Helper()
	for range 3 {
		x := startStoppable(t, f, within, change)
		if x.listens() {
			return x
		}
	}
	t.Fatal("the server's addresses were in use three times")
	return nil
}

func startStoppable(t *testing.T, f *fakeBackend, within time.Duration, change func(*ServerOptions)) *stoppable {
	x := &stoppable{t: t, g: newGateway(t, f), addr: free(t), ended: make(chan error, 1)}
	x.logs = logtest.NewLocal(x.g.log.Logger)
	o := ServerOptions{
		Listen: x.addr, Ready: free(t), ReadyPath: "/ready", MaxHeaderBytes: 4096, MaxBodyBytes: 4096, MaxHeldBytes: 1 << 20,
		HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: time.Second,
		StopWithin: within, Protocol: streamProtocol{},
	}
	if change != nil {
		change(&o)
	}
	s := NewServer(x.g, o)
	ctx, stop := context.WithCancel(t.Context())
	x.stop = stop
	go func() { x.ended <- s.Run(ctx) }()
	return x
}

// listens waits until the server listens, or returns false if an address of it is in use.
func (x *stoppable) listens() bool {
	x.t.Helper()
	inUse := false
	x.eventually("the server doesn't listen", func() bool {
		select {
		case err := <-x.ended:
			assert.ErrorIs(x.t, err, syscall.EADDRINUSE)
			inUse = true
		default:
		}
		return inUse || x.logged("gateway: listening.") != nil
	})
	return !inUse
}

// eventually waits until a condition holds.
func (x *stoppable) eventually(problem string, holds func() bool) {
	x.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(x.t, time.Now().Before(end), problem)
	}
}

// logged returns the fields of the first log line with a message, nil if there is none.
func (x *stoppable) logged(message string) logrus.Fields {
	for _, e := range x.logs.AllEntries() {
		if e.Message == message {
			return e.Data
		}
	}
	return nil
}

// answered is how a request ended for its caller.
type answered struct {
	status     int
	retryAfter string
	verdict    string
	body       string
	err        error
	after      time.Duration
}

// send sends a request on a connection of its own and returns a channel with its end.
func (x *stoppable) send(id, path string) <-chan answered {
	out := make(chan answered, 1)
	began := time.Now()
	go func() {
		req, err := http.NewRequestWithContext(x.t.Context(), http.MethodPost, "http://"+x.addr+path, strings.NewReader("x"))
		if err != nil {
			out <- answered{err: err}
			return
		}
		req.Header.Set("Id", id)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			out <- answered{err: err, after: time.Since(began)}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		out <- answered{
			status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), verdict: resp.Header.Get("Verdict"),
			body: string(body), err: err, after: time.Since(began),
		}
	}()
	return out
}

// endless is a stream whose first events come at once, and which then goes on without any until
// the test ends.
func endless(t *testing.T, ids ...string) io.Reader {
	r, w := io.Pipe()
	t.Cleanup(func() { _ = w.Close() })
	return io.MultiReader(text(eventsOf(ids...)), r)
}

// Guards against a stop that aborts requests of which nothing but their number is known.
func TestAbortedRequestsAreLogged(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(endless(t, "1", "2")), nil }}
	x := newStoppable(t, f, 100*time.Millisecond, func(o *ServerOptions) {
		o.EarliestSent = func(handled time.Time) time.Time { return handled.Add(-70 * time.Millisecond) }
	})
	x.send("long", "/stream-once/x")
	x.eventually("the stream doesn't run", func() bool { return len(f.sends()) == 1 && x.logged("gateway: decode answered.") != nil })
	time.Sleep(20 * time.Millisecond)
	x.stop()
	assert.NilError(t, <-x.ended)
	assert.Equal(t, x.logged("gateway: draining, no longer ready.")["lateByUpTo"], 70.0)
	assert.Equal(t, x.logged("gateway: drained.")["end"], "timed out")
	line := x.logged("gateway: request aborted by the stop.")
	assert.Assert(t, line != nil, "the aborted request isn't logged")
	assert.Equal(t, line["request"], "long")
	assert.Equal(t, line["activity"], "running")
	assert.Equal(t, line["server"], x.g.keyOf(t, f.sends()[0].server))
	assert.Equal(t, line["events"], 2)
	assert.Assert(t, line["age"].(float64) > 100, "%v", line)
	assert.Assert(t, line["sinceStop"].(float64) < 0, "%v", line)
	assert.Assert(t, line["sinceEvent"].(float64) > 100, "%v", line)
}

// Guards against a drain whose log doesn't tell that it ended by itself.
func TestQuietDrainIsLogged(t *testing.T) {
	x := newStoppable(t, &fakeBackend{}, 5*time.Second, nil)
	x.stop()
	assert.NilError(t, <-x.ended)
	assert.Equal(t, x.logged("gateway: drained.")["end"], "quiet")
	assert.Assert(t, x.logged("gateway: request aborted by the stop.") == nil)
}

// largeBody takes a request's planning some milliseconds.
const largeBody = 32 << 20

// Guards against a stopping gateway that finds nothing in progress and exits, while it is about to
// accept a request.
func TestRequestAcceptedAsAGatewayClosesIsCounted(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("fine")), nil }}
	accepted, uncounted := 0, 0
	for n := range 30 {
		g := newGateway(t, f)
		r := call("/once/x")
		r.Body = make([]byte, largeBody)
		before := len(f.sends())
		done := make(chan *Reply)
		go func() {
			reply, _ := g.Serve(t.Context(), r)
			done <- reply
		}()
		time.Sleep(time.Duration(n) * time.Millisecond)
		g.Close()
		isQuiet := g.InFlight() == 0 && len(f.sends()) == before
		reply := <-done
		if reply == nil {
			continue
		}
		accepted++
		if isQuiet {
			uncounted++
		}
		assert.NilError(t, reply.Body.Close())
	}
	t.Logf("%d accepted", accepted)
	assert.Equal(t, uncounted, 0, "accepted after the gateway found nothing in progress")
}

// Guards against a stop that ends while a request runs that was accepted just before all were
// refused.
func TestStopWaitsForARequestAcceptedAsItCloses(t *testing.T) {
	const rest = 700 * time.Millisecond
	r, w := io.Pipe()
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(io.MultiReader(text(eventsOf("1")), r)), nil
	}}
	g := newGateway(t, f)
	s := NewServer(g, ServerOptions{StopWithin: 5 * time.Second, Protocol: bareProtocol{}})
	reply, refused := g.Serve(t.Context(), generation("/stream-once/x"))
	assert.Assert(t, refused == nil)
	began := time.Now()
	time.AfterFunc(rest, func() {
		_ = w.Close()
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
	})
	assert.Equal(t, s.finish(stop.Stop{Sent: began, Handled: began, Within: 5 * time.Second}), "complete")
	took := time.Since(began)
	assert.Assert(t, took >= rest, "closed after %s", took)
	assert.Assert(t, took < 3*time.Second, "closed after %s", took)
}

// reserveFull refuses all reservations.
func reserveFull(catalog.Server, int) (string, *verdict.Error) { return "", full() }

// endOf returns how a request had ended for its caller when the server's stop was over.
func (x *stoppable) endOf(request <-chan answered) answered {
	x.t.Helper()
	assert.NilError(x.t, <-x.ended)
	select {
	case a := <-request:
		return a
	default:
		x.t.Fatal("the process would exit without an answer to the request")
		return answered{}
	}
}

// Guards against a stop that ends without an answer to a request that waits for a reservation.
func TestWaitingRequestIsAnsweredAtTheEndOfAStop(t *testing.T) {
	f := &fakeBackend{reserve: reserveFull}
	x := newStoppable(t, f, time.Second, nil)
	x.stop()
	time.Sleep(200 * time.Millisecond)
	a := x.endOf(x.send("waits", "/stream/x"))
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.verdict, "not-run")
	assert.Equal(t, a.retryAfter, stoppingRetryAfter.String())
	assert.Equal(t, len(f.sends()), 0)
	assert.Equal(t, x.g.InFlight(), int64(0))
}

// Guards against a stop that tells the caller of a request that waits for another attempt that it
// hasn't run, though a server may have run it.
func TestWaitingRequestThatMayHaveRunIsAnsweredSo(t *testing.T) {
	f := &fakeBackend{}
	broke := make(chan struct{})
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		close(broke)
		return nil, lost()
	}
	f.reserve = func(s catalog.Server, tokens int) (string, *verdict.Error) {
		select {
		case <-broke:
			return reserveFull(s, tokens)
		default:
			return "hold", nil
		}
	}
	x := newStoppable(t, f, time.Second, nil)
	x.stop()
	time.Sleep(200 * time.Millisecond)
	a := x.endOf(x.send("waits", "/stream/x"))
	assert.NilError(t, a.err)
	assert.Equal(t, a.verdict, "may-have-run")
	assert.Equal(t, a.retryAfter, "0s")
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against a stop that ends requests which servers run when those are answered that wait.
func TestRunningRequestHasTheWholeStop(t *testing.T) {
	const within, late, rest = time.Second, 600 * time.Millisecond, 750 * time.Millisecond
	r, w := io.Pipe()
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(io.MultiReader(text(eventsOf("1")), r)), nil
	}}
	x := newStoppable(t, f, within, func(o *ServerOptions) {
		o.EarliestSent = func(handled time.Time) time.Time { return handled.Add(-late) }
	})
	request := x.send("runs", "/stream-once/x")
	x.eventually("the stream doesn't run", func() bool { return len(f.sends()) == 1 })
	x.stop()
	time.AfterFunc(rest, func() {
		_, _ = io.WriteString(w, eventsOf("2"))
		_ = w.Close()
	})
	a := x.endOf(request)
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, eventsOf("1", "2"))
	assert.Equal(t, x.logged("gateway: drained.")["end"], "complete")
}

// Guards against a request that is sent to a server after the stop has ended its wait.
func TestRequestGivenUpOnIsNotSent(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("fine")), nil }}
	g := newGateway(t, f)
	f.prefill = func(catalog.Server) (Prefilled, *verdict.Error) {
		g.inFlight.giveUpWaiting()
		return Prefilled{Result: "kv", Tokens: 10}, nil
	}
	_, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, err.RetryAfter, stoppingRetryAfter)
	assert.Equal(t, len(f.sends()), 0)
}
