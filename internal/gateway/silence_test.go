package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/upstream"
	"jayford.example/jayford/internal/verdict"
)

// longSilence is longer than a stream may be silent until another server is sought, and than the
// search for one takes.
const longSilence = stallTimeout + time.Second

// scriptEnd is longer than any script: all goroutines of a simulated test must have ended with it.
const scriptEnd = time.Minute

// step is a part of a server's stream: events after a silence.
type step struct {
	silence time.Duration
	ids     []string
}

// scripted is an answer whose stream has the steps, and ends after the last one with end, nil for
// a complete stream.
func scripted(end error, steps ...step) *Answer {
	r, w := io.Pipe()
	go func() {
		for _, s := range steps {
			time.Sleep(s.silence)
			if _, err := io.WriteString(w, eventsOf(s.ids...)); err != nil {
				return
			}
		}
		_ = w.CloseWithError(end)
	}()
	return &Answer{Response: &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: r}, Verified: true}
}

// silentAfterTwo is silent between its second event and its third, and complete after the fourth.
func silentAfterTwo(silence time.Duration) *Answer {
	return scripted(nil, step{0, []string{"1", "2"}}, step{silence, []string{"3", "4"}})
}

// setMaxEventGap bounds the gaps between events, so that prompts of streams that go on are prefilled.
func setMaxEventGap(t *testing.T, g *Gateway) {
	t.Helper()
	c := testConfig()
	c.Version++
	for i := range c.Routes {
		c.Routes[i].MaxEventGap = 300 * time.Millisecond
	}
	assert.Assert(t, g.SetConfig(c))
}

// silentCase is a way in which no other server takes over the stream of a silent one. before is
// called at the start, during while the first server runs the request, second answers for any other.
type silentCase struct {
	before func(t *testing.T, f *fakeBackend, g *Gateway, sends *atomic.Int64)
	during func(f *fakeBackend, g *Gateway)
	second func() (*Answer, *verdict.Error)
}

func refuse() (*Answer, *verdict.Error) { return nil, full() }

// failPrefills has all prefills but the first one fail after a time.
func failPrefills(after time.Duration) silentCase {
	return silentCase{second: refuse, before: func(t *testing.T, f *fakeBackend, g *Gateway, sends *atomic.Int64) {
		setMaxEventGap(t, g)
		f.prefill = func(catalog.Server) (Prefilled, *verdict.Error) {
			if sends.Load() == 0 {
				return Prefilled{Result: "kv", Tokens: 10}, nil
			}
			time.Sleep(after)
			return Prefilled{}, lost()
		}
	}}
}

func listOnly(list []catalog.Server) silentCase {
	return silentCase{before: func(_ *testing.T, _ *fakeBackend, g *Gateway, _ *atomic.Int64) { g.SetServers(list) }}
}

var silentCases = map[string]silentCase{
	"others are full": {before: func(_ *testing.T, f *fakeBackend, _ *Gateway, sends *atomic.Int64) {
		f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
			if sends.Load() > 0 {
				return "", full()
			}
			return "hold", nil
		}
	}},
	"no other server": listOnly(testServers()[3:4]),
	"other version":   listOnly(serversOf("v1", "v2", "v3")),
	"no retry budget": {during: func(_ *fakeBackend, g *Gateway) {
		for g.budget.takeRetry(modelService) {
		}
	}},
	"second doesn't answer": {during: func(f *fakeBackend, _ *Gateway) { f.hangs.Store(true) }},
	"second is silent too":  {second: func() (*Answer, *verdict.Error) { return scripted(nil, step{20 * time.Second, nil}), nil }},
	"second breaks off":     {second: func() (*Answer, *verdict.Error) { return scripted(io.ErrUnexpectedEOF), nil }},
	"second ends unframed": {second: func() (*Answer, *verdict.Error) {
		a := scripted(nil)
		a.Unframed = true
		return a, nil
	}},
	"second refuses": {second: refuse},
	"prefill fails":  failPrefills(0),
	"prefill hangs":  failPrefills(prefillTimeout),
}

// Guards against a stream that is cut as its server is silent, though the server goes on and no
// other has the next event first.
func TestSilentServerKeepsItsStream(t *testing.T) {
	for name, c := range silentCases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c silentCase) run(t *testing.T) {
	defer time.Sleep(scriptEnd)
	f := &fakeBackend{}
	g := newGateway(t, f)
	var sends atomic.Int64
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		if sends.Add(1) > 1 {
			return c.second()
		}
		if c.during != nil {
			c.during(f, g)
		}
		return silentAfterTwo(longSilence), nil
	}
	if c.before != nil {
		c.before(t, f, g, &sends)
	}
	reply, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "%v", err)
	defer reply.discard()
	body, readErr := io.ReadAll(reply.Body)
	assert.NilError(t, readErr)
	assert.Equal(t, string(body), eventsOf("1", "2", "3", "4"))
	assert.NilError(t, reply.Body.Close())
	assert.Equal(t, g.InFlight(), int64(0))
	assert.Equal(t, len(g.loads.own()), 0, "load of runs that have ended")
}

// Guards against an error to a caller whose server is silent before its first event, and would
// have answered.
func TestServerThatIsSilentBeforeItsFirstEventAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(scriptEnd)
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
			return scripted(nil, step{longSilence, []string{"1", "2"}}), nil
		}}
		g := newGateway(t, f)
		g.SetServers(testServers()[3:4])
		reply, err := g.Serve(t.Context(), generation("/stream/x"))
		assert.Assert(t, err == nil, "%v", err)
		defer reply.discard()
		body, readErr := io.ReadAll(reply.Body)
		assert.NilError(t, readErr)
		assert.Equal(t, string(body), eventsOf("1", "2"))
	})
}

// Guards against a stop that takes a stream whose server is silent for one that no server runs, and
// gives up on it.
func TestStopKeepsAStreamWhoseServerIsSilent(t *testing.T) {
	const within, late = 3500 * time.Millisecond, time.Second
	for _, prefills := range []bool{false, true} {
		f := &fakeBackend{}
		var sent atomic.Bool
		f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
			if sent.Swap(true) {
				return nil, full()
			}
			return silentAfterTwo(2800 * time.Millisecond), nil
		}
		f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
			if sent.Load() && !prefills {
				return "", full()
			}
			return "hold", nil
		}
		f.prefill = func(catalog.Server) (Prefilled, *verdict.Error) {
			if sent.Load() {
				time.Sleep(prefillTimeout)
			}
			return Prefilled{Result: "kv", Tokens: 10}, nil
		}
		// The waiting are given up on 2.5 s after the signal is handled.
		x := newStoppable(t, f, within, func(o *ServerOptions) {
			o.EarliestSent = func(handled time.Time) time.Time { return handled.Add(-late) }
		})
		request := x.send("silent", "/stream/x")
		x.eventually("the stream doesn't run", func() bool { return sent.Load() })
		x.stop()
		a := x.endOf(request)
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, eventsOf("1", "2", "3", "4"))
		assert.Equal(t, x.logged("gateway: drained.")["end"], "complete")
	}
}

// closable records when the body of an answer is closed.
type closable struct {
	io.ReadCloser
	closed *atomic.Bool
}

func (c closable) Close() error {
	c.closed.Store(true)
	return c.ReadCloser.Close()
}

func closableAnswer(a *Answer, closed *atomic.Bool) *Answer {
	a.Body = closable{a.Body, closed}
	return a
}

// Guards against a stream of two runs, and against a run that goes on at a server whose stream
// another one has taken over.
func TestFirstToGoOnHasTheStream(t *testing.T) {
	for name, c := range map[string]struct {
		// first and second are how long the servers are silent.
		first, second time.Duration
		want          string
	}{
		"second": {longSilence, 100 * time.Millisecond, "second"},
		"first":  {stallTimeout + 200*time.Millisecond, time.Second, "first"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(scriptEnd)
				var ended [2]atomic.Bool
				f := &fakeBackend{}
				f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) {
					if x.LastEventID == "" {
						return closableAnswer(silentAfterTwo(c.first), &ended[0]), nil
					}
					return closableAnswer(scripted(nil, step{c.second, []string{"3", "4", "5"}}), &ended[1]), nil
				}
				g := newGateway(t, f)
				reply, err := g.Serve(t.Context(), generation("/stream/x"))
				assert.Assert(t, err == nil, "%v", err)
				defer reply.discard()
				buf := make([]byte, 1024)
				var got []byte
				for len(got) < len(eventsOf("1", "2", "3")) {
					n, err := reply.Body.Read(buf)
					assert.NilError(t, err)
					got = append(got, buf[:n]...)
				}
				assert.Equal(t, len(f.sends()), 2)
				assert.Equal(t, f.sends()[1].call.LastEventID, "2")
				assert.Equal(t, ended[0].Load(), c.want == "second")
				assert.Equal(t, ended[1].Load(), c.want == "first")
				assert.Equal(t, len(g.loads.own()), 1, "load of the run that was ended")
				rest, readErr := io.ReadAll(reply.Body)
				assert.NilError(t, readErr)
				want := eventsOf("1", "2", "3", "4")
				if c.want == "second" {
					want = eventsOf("1", "2", "3", "4", "5")
				}
				assert.Equal(t, string(got)+string(rest), want)
			})
		})
	}
}

// Guards against a retry that is taken from the budget for a second server that wasn't asked, and
// against a second run, a reservation or a prefill's result that is of no use any more.
func TestServerThatGoesOnEndsTheSearch(t *testing.T) {
	for _, prefills := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(scriptEnd)
			f := &fakeBackend{}
			f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
				return silentAfterTwo(stallTimeout + 500*time.Millisecond), nil
			}
			f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
				if len(f.sends()) > 0 && !prefills {
					return "", full()
				}
				return "hold", nil
			}
			f.prefill = func(catalog.Server) (Prefilled, *verdict.Error) {
				if len(f.sends()) > 0 {
					time.Sleep(time.Second)
				}
				return Prefilled{Result: "kv", Tokens: 10}, nil
			}
			g := newGateway(t, f)
			setMaxEventGap(t, g)
			reply, err := g.Serve(t.Context(), generation("/stream/x"))
			assert.Assert(t, err == nil, "%v", err)
			defer reply.discard()
			body, readErr := io.ReadAll(reply.Body)
			assert.NilError(t, readErr)
			assert.Equal(t, string(body), eventsOf("1", "2", "3", "4"))
			assert.Equal(t, len(f.sends()), 1)
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			if prefills {
				assert.Equal(t, len(f.prefills), 2)
				assert.DeepEqual(t, f.discarded, []string{"kv"})
				assert.DeepEqual(t, f.released, []string{"hold"})
				return
			}
			assert.Equal(t, g.budget.window.Usage(modelService).Retries, 0.0)
		})
	}
}

// Guards against many silent streams that ask full engines in turn as long as the silence lasts.
func TestSilentStreamsAskFullEnginesRarely(t *testing.T) {
	const streams = 100
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(scriptEnd)
		f := &fakeBackend{}
		var sent, asked atomic.Int64
		f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
			sent.Add(1)
			return silentAfterTwo(longSilence), nil
		}
		f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
			if sent.Load() < streams {
				return "hold", nil
			}
			asked.Add(1)
			time.Sleep(2 * time.Millisecond)
			return "", full()
		}
		g := newGateway(t, f)
		var all sync.WaitGroup
		for n := range streams {
			r := generation("/stream/x")
			r.ID, r.Generation.Prompt, r.Generation.MaxOutput, r.Generation.Hint = fmt.Sprint("s", n), 1, 1, 1
			all.Go(func() {
				reply, err := g.Serve(t.Context(), r)
				assert.Check(t, err == nil, "%v", err)
				if err == nil {
					_, _ = io.Copy(io.Discard, reply.Body)
					reply.discard()
				}
			})
		}
		all.Wait()
		// Together they ask each engine once in an interval.
		rounds := int64((longSilence-stallTimeout)/reserveInterval) + 1
		t.Logf("%d calls", asked.Load())
		assert.Assert(t, asked.Load() > 0)
		assert.Assert(t, asked.Load() <= 3*rounds, "%d calls", asked.Load())
	})
}

// Guards against a server that is held against its stream, though it went on by itself.
func TestServerThatGoesOnIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(scriptEnd)
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return silentAfterTwo(longSilence), nil }}
		g := newGateway(t, f)
		g.SetServers(testServers()[3:4])
		reply, err := g.Serve(t.Context(), generation("/stream/x"))
		assert.Assert(t, err == nil, "%v", err)
		defer reply.discard()
		_, readErr := io.ReadAll(reply.Body)
		assert.NilError(t, readErr)
		assert.Assert(t, g.crashes.ledger.Empty(time.Now()))
		assert.Assert(t, !g.view.suspects(g.view.list().usable(modelService, catalog.Decode), time.Now())[0])
	})
}

// Guards against pieces of two runs that overlap, events that are missing, and streams that are
// cut though a server that was asked goes on, in drawn orders of silences and breaks.
func TestDrawnSilencesKeepStreamsWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const events = 6
		scripts := make([][]time.Duration, 3)
		breaks := make([]int, len(scripts))
		for n := range scripts {
			for range events {
				ms := rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 6000)).Draw(r, "silence")
				scripts[n] = append(scripts[n], time.Duration(ms)*time.Millisecond)
			}
			breaks[n] = rapid.IntRange(0, 2*events).Draw(r, "breaks")
		}
		othersFull := rapid.Bool().Draw(r, "others are full")
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(5 * scriptEnd)
			f := &fakeBackend{}
			var sends atomic.Int64
			broke := false
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) {
				n := int(sends.Add(1)) - 1
				from := eventNumber(x.LastEventID)
				var steps []step
				end := error(nil)
				for i, silence := range scripts[n][from:] {
					if i >= breaks[n] {
						end, broke = io.ErrUnexpectedEOF, true
						break
					}
					steps = append(steps, step{silence, []string{strconv.Itoa(from + i + 1)}})
				}
				return scripted(end, steps...), nil
			}
			f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
				if othersFull && sends.Load() > 0 {
					return "", full()
				}
				return "hold", nil
			}
			g := newGateway(t, f)
			c := testConfig()
			c.Version++
			for i := range c.Routes {
				c.Routes[i].Timeout, c.Routes[i].MaxAttempts = time.Minute, len(scripts)
			}
			assert.Assert(t, g.SetConfig(c))
			request := generation("/stream/x")
			request.CallerTimeout = time.Minute
			reply, err := g.Serve(t.Context(), request)
			if err != nil {
				assert.Assert(t, broke, "%v", err)
				return
			}
			body, readErr := io.ReadAll(reply.Body)
			reply.discard()
			whole := eventsOf("1", "2", "3", "4", "5", "6")
			if readErr == nil {
				assert.Equal(t, string(body), whole)
			} else {
				assert.Assert(t, broke, "cut though no server broke off: %v", readErr)
				assert.Assert(t, strings.HasPrefix(whole, string(body)))
			}
			assert.Equal(t, len(g.loads.own()), 0)
			assert.Equal(t, g.InFlight(), int64(0))
		})
	})
}
