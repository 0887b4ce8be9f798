package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

// numbered returns the n-th request of a caller: the same content, each under its own id.
func numbered(path string, n int) *Request {
	r := call(path)
	r.ID = fmt.Sprint("r", n)
	return r
}

// restarted returns the servers of testServers in another incarnation.
func restarted(incarnation int64) []catalog.Server {
	out := testServers()
	for i := range out {
		out[i].Incarnation = incarnation
	}
	return out
}

// Guards against a plain call that crashes one server after the other, as its retries
// come with another id, at another gateway, to servers that are back at their addresses.
func TestCrashingCallIsRefusedByAllGateways(t *testing.T) {
	for _, path := range []string{"/again/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			crash := func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, lost() }
			f1, f2 := &fakeBackend{send: crash}, &fakeBackend{send: crash}
			g1, g2 := newGateway(t, f1), newGateway(t, f2)
			g1.Join(crashForwarder{g2})
			g2.Join(crashForwarder{g1})
			var last *verdict.Error
			for n := range 8 {
				for i, g := range []*Gateway{g1, g2} {
					g.SetServers(restarted(int64(2*n + i + 1)))
					_, last = g.Serve(t.Context(), numbered(path, 2*n+i))
				}
			}
			assert.Equal(t, last.Code, verdict.Crashes)
			assert.Equal(t, last.Verdict, verdict.NotRun)
			assert.Equal(t, len(f1.sends())+len(f2.sends()), 3)
		})
	}
}

// crashingServer simulates a server that ends while it runs a request with a path, takes
// all its requests down, and is back at once as another incarnation.
type crashingServer struct {
	path string

	mu sync.Mutex
	// All below is guarded by mu. down closes when the current incarnation ends.
	incarnation int64
	down        chan struct{}
	restart     func(incarnation int64)
}

const (
	// servingTime is how long a request runs, crashTime how long until the server ends.
	servingTime = 30 * time.Millisecond
	crashTime   = 10 * time.Millisecond
)

func (c *crashingServer) send(s catalog.Server, x Call) (*Answer, *verdict.Error) {
	c.mu.Lock()
	down, current := c.down, c.incarnation
	c.mu.Unlock()
	if s.Incarnation != current {
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "another incarnation")
	}
	if x.Request.Path != c.path {
		select {
		case <-time.After(servingTime):
			return answer(text("served")), nil
		case <-down:
			return nil, lost()
		}
	}
	time.Sleep(crashTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation == current {
		close(down)
		c.incarnation++
		c.down = make(chan struct{})
		c.restart(c.incarnation)
	}
	return nil, lost()
}

// Guards against the refusal of requests that ran on the same servers as one that crashes
// them: sixty callers at two gateways, all on the one server of the service.
func TestManyBesideACrashingCallAreServed(t *testing.T) {
	server := &crashingServer{path: "/again/bad", down: make(chan struct{}), incarnation: 1}
	f := &fakeBackend{send: server.send}
	g1, g2 := newGateway(t, f), newGateway(t, f)
	g1.Join(crashForwarder{g2})
	g2.Join(crashForwarder{g1})
	gateways := []*Gateway{g1, g2}
	server.restart = func(incarnation int64) {
		for _, g := range gateways {
			g.SetServers([]catalog.Server{{ID: "p1", Service: plainService, Address: "10.0.0.1:1", Incarnation: incarnation}})
		}
	}
	server.restart(1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var refused, served atomic.Int64
	for caller := range 60 {
		group.Go(func() {
			// A caller retries until its request is served.
			for n, done := 0, 0; ctx.Err() == nil; n++ {
				reply, err := gateways[(caller+n)%2].Serve(ctx, numbered(fmt.Sprintf("/again/%d/%d", caller, done), n))
				switch {
				case err == nil:
					reply.discard()
					served.Add(1)
					done++
				case err.Code == verdict.Crashes:
					refused.Add(1)
					done++
				default:
					wait.Sleep(ctx, err.RetryAfter)
				}
			}
		})
	}
	code := verdict.Code("")
	for n := 0; code != verdict.Crashes && n < 100; n++ {
		_, err := gateways[n%2].Serve(ctx, numbered(server.path, n))
		code = err.Code
		wait.Sleep(ctx, max(servingTime/2, err.RetryAfter))
	}
	before := served.Load()
	time.Sleep(10 * servingTime)
	cancel()
	group.Wait()
	assert.Equal(t, code, verdict.Crashes)
	assert.Equal(t, refused.Load(), int64(0))
	assert.Assert(t, served.Load()-before >= 60)
	assert.Assert(t, server.incarnation <= 7, "%d servers ended", server.incarnation-1)
}

// Guards against a request that is sent on between its own tries, once the gateways know
// together that it crashes servers.
func TestRefusalHoldsBetweenTries(t *testing.T) {
	for _, r := range []*Request{call("/again/x"), generation("/stream/")} {
		t.Run(r.Path, func(t *testing.T) {
			var g *Gateway
			f := &fakeBackend{}
			f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
				// Meanwhile a peer reports two other servers.
				now := time.Now()
				fp := r.fingerprint("")
				g.RecordPeerLoss(blame.Loss{Request: fp, Server: 1, Began: now.Add(-time.Second), Lost: now.Add(-time.Second)})
				g.RecordPeerLoss(blame.Loss{Request: fp, Server: 2, Began: now.Add(-time.Second), Lost: now.Add(-500 * time.Millisecond)})
				return nil, lost()
			}
			g = newGateway(t, f)
			_, err := g.Serve(t.Context(), r)
			assert.Equal(t, err.Verdict, verdict.MayHaveRun)
			assert.Equal(t, len(f.sends()), 1)
			_, err = g.Serve(t.Context(), r)
			assert.Equal(t, err.Code, verdict.Crashes)
			assert.Equal(t, err.Verdict, verdict.NotRun)
		})
	}
}

// Guards against a conviction that its gateway keeps to itself.
func TestConvictionIsTold(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	var told []uint64
	g.OnConviction(func(fp uint64) { told = append(told, fp) })
	fp := call("/once/x").fingerprint("")
	for i := range uint64(3) {
		lost := time.Now().Add(-time.Duration(10-i) * time.Second)
		g.RecordPeerLoss(blame.Loss{Request: fp, Server: i, Began: lost, Lost: lost})
	}
	_, err := g.Serve(t.Context(), call("/once/x"))
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.DeepEqual(t, told, []uint64{fp})
	assert.Equal(t, len(g.Convictions(8)), 3)
}

// Guards against a prompt that crashes one prefill engine after the other.
func TestCrashingPrefillIsRefused(t *testing.T) {
	f := &fakeBackend{prefill: func(catalog.Server) (Prefilled, *verdict.Error) { return Prefilled{}, lost() }}
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, full() }
	g := newGateway(t, f)
	var last *verdict.Error
	for n := range 8 {
		g.SetServers(restarted(int64(n + 1)))
		_, last = g.Serve(t.Context(), generation("/stream/"))
	}
	assert.Equal(t, last.Code, verdict.Crashes)
	assert.Equal(t, len(f.prefills), 3)
}

// Guards against the refusal of a request whose answers got lost on the way, three times
// at servers that go on serving others.
func TestLostAnswersConvictNobody(t *testing.T) {
	f := &fakeBackend{connectedAt: time.Now().Add(-time.Hour)}
	f.send = func(_ catalog.Server, c Call) (*Answer, *verdict.Error) {
		if c.Request.Path == "/once/unlucky" {
			return nil, lost()
		}
		return answer(text("served")), nil
	}
	g := newGateway(t, f)
	for n := range 12 {
		_, err := g.Serve(t.Context(), numbered("/once/unlucky", n))
		assert.Equal(t, err.Code, verdict.ServerLost, "attempt %d", n)
		for i := range 3 {
			// Each server answers somebody.
			g.SetServers(testServers()[i : i+1])
			reply, err := g.Serve(t.Context(), numbered("/once/other", 100*n+i))
			assert.Assert(t, err == nil, "%v", err)
			reply.discard()
		}
		g.SetServers(testServers())
	}
}

// Guards against a success that isn't noticed because its reader knows the length of the
// answer and doesn't read on until its end.
func TestSuccessClearsACall(t *testing.T) {
	for _, size := range []int{10, 2 * retryBufferBytes} {
		f := &fakeBackend{}
		f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
			a := answer(bytes.NewReader(make([]byte, size)))
			a.Length = int64(size)
			return a, nil
		}
		g := newGateway(t, f)
		fp := call("/once/x").fingerprint("")
		lose := func(server uint64) {
			lost := time.Now().Add(time.Duration(server)*time.Second - time.Minute)
			g.RecordPeerLoss(blame.Loss{Request: fp, Server: server, Began: lost, Lost: lost})
		}
		lose(1)
		lose(2)
		reply, err := g.Serve(t.Context(), call("/once/x"))
		assert.Assert(t, err == nil, "%v", err)
		n, copyErr := io.CopyN(io.Discard, reply.Body, int64(size))
		assert.NilError(t, copyErr)
		assert.Equal(t, n, int64(size))
		reply.discard()
		lose(3)
		assert.Assert(t, !g.crashes.judge(fp, nil).Convicted, "%d bytes", size)
	}
}

// Guards against a large answer that breaks off behind the part that was buffered: its
// server is lost too.
func TestLossWithinALargeAnswerCounts(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(io.MultiReader(bytes.NewReader(make([]byte, retryBufferBytes)), errReader{io.ErrUnexpectedEOF})), nil
	}
	g := newGateway(t, f)
	for n := range 3 {
		g.SetServers(restarted(int64(n + 1)))
		reply, err := g.Serve(t.Context(), numbered("/once/x", n))
		assert.Assert(t, err == nil, "%v", err)
		_, readErr := io.ReadAll(reply.Body)
		assert.ErrorIs(t, readErr, io.ErrUnexpectedEOF)
		reply.discard()
	}
	_, err := g.Serve(t.Context(), numbered("/once/x", 3))
	assert.Equal(t, err.Code, verdict.Crashes)
}

// Guards against a crashing request that is let in again because the servers that were
// started at the crashed ones' addresses answer what is sent to those.
func TestSuccessorsAnswersAbsolveNobody(t *testing.T) {
	f := &fakeBackend{connectedAt: time.Now()}
	f.send = func(_ catalog.Server, c Call) (*Answer, *verdict.Error) {
		if c.Request.Path == "/stream/crashing" {
			return nil, lost()
		}
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "Another server has the address.")
	}
	g := newGateway(t, f)
	var err *verdict.Error
	for n := 0; n < 8 && (err == nil || err.Code != verdict.Crashes); n++ {
		r := generation("/stream/crashing")
		r.ID = fmt.Sprint("r", n)
		_, err = g.Serve(t.Context(), r)
	}
	assert.Equal(t, err.Code, verdict.Crashes)
	_, err = g.Serve(t.Context(), generation("/stream/other"))
	assert.Equal(t, err.Code, verdict.Leaving)
	for _, s := range testServers() {
		g.probeOne(t.Context(), s)
	}
	_, err = g.Serve(t.Context(), generation("/stream/crashing"))
	assert.Equal(t, err.Code, verdict.Crashes)
}

// Guards against a conviction that doesn't hold at a gateway which knows of another request
// that was lost with the same servers.
func TestConvictionHoldsAtAllGateways(t *testing.T) {
	served := func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("served")), nil }
	g1, g2 := newGateway(t, &fakeBackend{send: served}), newGateway(t, &fakeBackend{send: served})
	g1.Join(crashForwarder{g2})
	g2.Join(crashForwarder{g1})
	for server := range uint64(3) {
		at := time.Now().Add(time.Duration(server)*time.Second - 2*time.Second)
		x := blame.Loss{Request: call("/once/beside").fingerprint(""), Server: server, Began: at.Add(-time.Millisecond), Lost: at}
		// The report of the other request doesn't reach g1.
		g2.RecordPeerLoss(x)
		x.Request = call("/once/crashing").fingerprint("")
		g1.RecordPeerLoss(x)
		g2.RecordPeerLoss(x)
	}
	for _, g := range []*Gateway{g1, g2} {
		_, err := g.Serve(t.Context(), call("/once/crashing"))
		assert.Assert(t, err != nil)
		assert.Equal(t, err.Code, verdict.Crashes)
	}
}

// Guards against a request that is convicted only as it comes again: a gateway that starts in
// between wouldn't know, and each gateway would write its object.
func TestCrashesConvictBeforeTheRequestComesAgain(t *testing.T) {
	crash := func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, lost() }
	g1, g2 := newGateway(t, &fakeBackend{send: crash}), newGateway(t, &fakeBackend{send: crash})
	g1.Join(crashForwarder{g2})
	g2.Join(crashForwarder{g1})
	published := make(chan string, 16)
	g1.OnConviction(func(uint64) { published <- "g1" })
	g2.OnConviction(func(uint64) { published <- "g2" })
	for n := range 3 {
		g1.SetServers(restarted(int64(n + 1)))
		_, err := g1.Serve(t.Context(), numbered("/once/x", n))
		assert.Equal(t, err.Code, verdict.ServerLost)
	}
	select {
	case by := <-published:
		assert.Equal(t, by, "g1")
	case <-time.After(5 * time.Second):
		t.Fatal("not convicted")
	}
	// One of g1's judgements publishes as soon as another one has convicted, which tells g2.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(g2.Convictions(8)) < 3 {
			return poll.Continue("g2 doesn't know")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	time.Sleep(2 * blame.DefaultSettleTime)
	for len(published) > 0 {
		assert.Equal(t, <-published, "g1")
	}
}
