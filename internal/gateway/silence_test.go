package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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

// Guards against a stream that is cut as its server is silent, though the server goes on and no
// other has the next event first.
func TestSilentServerKeepsItsStream(t *testing.T) {
	second := map[string]func() (*Answer, *verdict.Error){
		"others are full":       nil,
		"no other server":       nil,
		"other version":         nil,
		"no retry budget":       nil,
		"second is silent too":  func() (*Answer, *verdict.Error) { return scripted(nil, step{time.Second * 20, nil}), nil },
		"second breaks off":     func() (*Answer, *verdict.Error) { return scripted(io.ErrUnexpectedEOF), nil },
		"second doesn't answer": nil,
		"second refuses":        func() (*Answer, *verdict.Error) { return nil, full() },
	}
	for name, answerOfSecond := range second {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(scriptEnd)
				f := &fakeBackend{}
				g := newGateway(t, f)
				var sends atomic.Int64
				f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
					if sends.Add(1) > 1 {
						return answerOfSecond()
					}
					switch name {
					case "no retry budget":
						for g.budget.takeRetry(modelService) {
						}
					case "second doesn't answer":
						f.hangs.Store(true)
					}
					return silentAfterTwo(longSilence), nil
				}
				switch name {
				case "others are full":
					f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
						if sends.Load() > 0 {
							return "", full()
						}
						return "hold", nil
					}
				case "no other server":
					g.SetServers(testServers()[3:4])
				case "other version":
					g.SetServers(serversOf("v1", "v2", "v3"))
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
			})
		})
	}
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
