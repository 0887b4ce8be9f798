package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/verdict"
)

// serversOf returns the servers of testServers, with the decode engines d1, d2 and d3 at the
// given software versions.
func serversOf(versions ...string) []catalog.Server {
	out := testServers()
	for i := range out {
		if out[i].Stage == catalog.Decode {
			out[i].Software, versions = versions[0], versions[1:]
		}
	}
	return out
}

// twoEvents answers with the first two events of a stream, or with those behind the last
// event that the call names, and breaks off if cut is set.
func twoEvents(c Call, cut bool) *Answer {
	first := eventNumber(c.LastEventID) + 1
	body := text(fmt.Sprintf("id: %d\ndata: x\n\nid: %d\ndata: x\n\n", first, first+1))
	if cut {
		body = io.MultiReader(body, errReader{io.ErrUnexpectedEOF})
	}
	return answer(body)
}

// Guards against a stream that goes on, within one answer, at a server of another software
// version than the one that began it.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	long := strings.Repeat("v", 10*maxLoggedSoftware)
	for name, c := range map[string]struct {
		versions []string
		goesOn   bool
	}{
		"another server of the version": {[]string{"v1", "v2", "v1"}, true},
		"none":                          {[]string{"v1", "v2", "v2"}, false},
		"versions that nobody says":     {[]string{"", "", ""}, false},
		"long ones that differ at last": {[]string{long + "1", long + "2", long + "2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) {
				return twoEvents(x, len(f.sends()) == 1), nil
			}
			g := newGateway(t, f)
			// The stream begins at d1: the others are full.
			g.SetServers(serversOf(c.versions...))
			f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) {
				if len(f.sends()) == 0 && s.ID != "d1" {
					return "", full()
				}
				return "hold", nil
			}
			reply, err := g.Serve(t.Context(), generation("/stream/x"))
			assert.Assert(t, err == nil, "%v", err)
			_, readErr := io.ReadAll(reply.Body)
			reply.discard()
			assert.Equal(t, readErr == nil, c.goesOn)
			resumedAt := []string{}
			for _, x := range f.sends()[1:] {
				resumedAt = append(resumedAt, x.server)
			}
			want := []string{}
			if c.goesOn {
				want = append(want, "d3")
			}
			assert.DeepEqual(t, resumedAt, want)
		})
	}
}

// Guards against a caller's own attempt that goes on with its stream at another software
// version, behind one break and behind two.
func TestCallerResumesItsStreamAtItsVersion(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	g := newGateway(t, f)
	g.SetServers(serversOf("v1", "v2", "v2"))
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) {
		if len(f.sends()) == 0 && s.ID != "d1" {
			return "", full()
		}
		return "hold", nil
	}
	serve := func(r *Request) *verdict.Error {
		reply, err := g.Serve(t.Context(), r)
		if err == nil {
			_, readErr := io.ReadAll(reply.Body)
			assert.NilError(t, readErr)
			reply.discard()
		}
		return err
	}
	r := generation("/stream/x")
	assert.Assert(t, serve(r) == nil)
	for n, resumes := range []string{"r1", "r1", "a1", "r1", "a2"} {
		r := generation("/stream/x")
		r.ID = fmt.Sprint("a", n)
		r.Generation.LastEventID, r.Generation.FirstAttemptID = fmt.Sprint(2*(n+1)), resumes
		err := serve(r)
		assert.Assert(t, err == nil, "%v", err)
	}
	for _, x := range f.sends() {
		assert.Equal(t, x.server, "d1")
	}
}

// Guards against a stream that goes on at a version that was guessed: nobody knows which one
// began it, and two have served.
func TestUnknownStreamIsRefusedBesideTwoVersions(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"no attempt named":   func(r *Request) { r.Generation.FirstAttemptID = "" },
		"unknown attempt":    func(r *Request) { r.Generation.FirstAttemptID = "other" },
		"of another content": func(r *Request) { r.Body = []byte("other") },
		"of another prompt":  func(r *Request) { r.Content = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
			g := newGateway(t, f)
			g.SetServers(serversOf("v1", "v2", "v2"))
			reply, err := g.Serve(t.Context(), generation("/stream/x"))
			assert.Assert(t, err == nil, "%v", err)
			reply.discard()
			r := generation("/stream/x")
			r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = "r2", "2", "r1"
			change(r)
			_, err = g.Serve(t.Context(), r)
			assert.Assert(t, err != nil)
			assert.Equal(t, err.Verdict, verdict.NotRun)
			assert.Assert(t, err.RetryAfter > 0)
			assert.Equal(t, len(f.sends()), 1)
		})
	}
}

// sharedOrigins is what another gateway knows.
type sharedOrigins struct {
	Origins
	other Origins
}

func (s sharedOrigins) Ask(_ context.Context, stream uint64) (origin.Record, error) {
	if r, ok := s.other.Local(stream); ok {
		return r, nil
	}
	return origin.Record{}, origin.ErrUnknown
}

// Guards against a stream that can't go on, or goes on at another version, because its caller
// came to another gateway than the one that began it.
func TestCallerResumesItsStreamAtAnotherGateway(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	first, second := newGateway(t, f), newGateway(t, f)
	second.ShareOrigins(sharedOrigins{second.origins, first.origins})
	first.SetServers(serversOf("v2", "v2", "v2"))
	reply, err := first.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	second.SetServers(serversOf("v1", "v1", "v2"))
	for n := range 10 {
		r := generation("/stream/x")
		r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = fmt.Sprint("a", n), "2", "r1"
		reply, err = second.Serve(t.Context(), r)
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	for _, x := range f.sends()[1:] {
		assert.Equal(t, x.server, "d3")
	}

	// Without a server of the version the stream is refused, as not run.
	second.SetServers(serversOf("v1", "v1", "v1"))
	r := generation("/stream/x")
	r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = "r3", "2", "r1"
	_, err = second.Serve(t.Context(), r)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, err.RetryAfter, noServerRetryAfter)
}

// Guards against a guess by a gateway that has just started: one version is listed, but others
// may have served before. What other gateways have seen settles it.
func TestStartedGatewayDoesNotGuessVersions(t *testing.T) {
	digest := func(servers []catalog.Server) uint64 {
		g := newGateway(t, &fakeBackend{})
		g.software = newSoftwareVersions(board.New())
		g.SetSoftwareDigests(nil, false)
		g.SetServers(servers)
		return g.SoftwareDigest()
	}
	same, both, other := digest(serversOf("v1", "v1", "v1")), digest(serversOf("v1", "v1", "v2")), digest(serversOf("v2", "v2", "v2"))
	for name, c := range map[string]struct {
		gateways bool
		earlier  []uint64
		goesOn   bool
	}{
		"no gateway ran before":    {false, nil, true},
		"one version served":       {true, []uint64{same, same}, true},
		"two versions served":      {true, []uint64{same, both}, false},
		"another version served":   {true, []uint64{other}, false},
		"no gateway says anything": {true, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
			g := newGateway(t, f)
			g.software = newSoftwareVersions(board.New())
			assert.Equal(t, g.SoftwareDigest(), uint64(0), "it vouches for what it doesn't know")
			g.SetSoftwareDigests(c.earlier, c.gateways)
			g.SetServers(serversOf("v1", "v1", "v1"))
			r := generation("/stream/x")
			r.Generation.LastEventID, r.Generation.FirstAttemptID = "2", "r0"
			reply, err := g.Serve(t.Context(), r)
			assert.Equal(t, err == nil, c.goesOn)
			if err == nil {
				reply.discard()
			}
		})
	}
}

// Guards against events of a server that started again under its id with other software, after
// it was chosen to go on with a stream by its caller's own attempt.
func TestServerWithOtherSoftwareForACaller(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) {
		g.SetServers(serversOf("v2", "v2", "v2"))
		return twoEvents(x, false), nil
	}
	g.SetServers(serversOf("v1", "v1", "v1"))
	r := generation("/stream/x")
	r.Generation.LastEventID = "2"
	_, err := g.Serve(t.Context(), r)
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, err, errOtherSoftware)
	assert.Equal(t, err.Verdict, verdict.MayHaveRun)
}

// Guards against events of a server that started again under its id with other software, after
// it was chosen to go on with a stream within its answer.
func TestServerWithOtherSoftwareAtTheLastMoment(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) {
		if len(f.sends()) == 1 {
			return twoEvents(x, true), nil
		}
		g.SetServers(serversOf("v2", "v2", "v2"))
		return twoEvents(x, false), nil
	}
	g.SetServers(serversOf("v1", "v1", "v1"))
	reply, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "%v", err)
	body, readErr := io.ReadAll(reply.Body)
	assert.ErrorIs(t, readErr, errOtherSoftware)
	assert.Equal(t, string(body), "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	reply.discard()
}

// Guards against a guess by a gateway whose list the platform doesn't confirm: it lists one
// version, while another one has come that its peers know of, also where these have lost the
// platform since. A stream whose version is known goes on.
func TestGatewayWithAnOldListDoesNotGuessVersions(t *testing.T) {
	for name, since := range map[string]time.Time{
		"a peer reaches the platform": time.Now().Add(-time.Minute),
		"nobody reaches the platform": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
			g := newGateway(t, f)
			g.SetServers(serversOf("v1", "v1", "v1"))
			g.Join(peerContact{reportedAt: time.Now(), since: since})
			r := generation("/stream/x")
			r.Generation.LastEventID, r.Generation.FirstAttemptID = "2", "r0"
			_, err := g.Serve(t.Context(), r)
			assert.Assert(t, err != nil, "the stream goes on")
			assert.Equal(t, err.Verdict, verdict.NotRun)
			assert.Equal(t, len(f.sends()), 0)

			g.origins.Tell(origin.Record{
				Stream: origin.Hash("r0"), Content: r.fingerprint(""), Service: origin.Hash(modelService), Software: origin.Hash("v1"),
			}, time.Minute)
			reply, err := g.Serve(t.Context(), r)
			assert.Assert(t, err == nil, "%v", err)
			reply.discard()
		})
	}
}

// Guards against a guess where another gateway knows which version began the stream.
func TestPeersAreAskedBeforeAVersionIsTakenForTheOnlyOne(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	first, second := newGateway(t, f), newGateway(t, f)
	second.ShareOrigins(sharedOrigins{second.origins, first.origins})
	first.SetServers(serversOf("v2", "v2", "v2"))
	reply, err := first.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	r := generation("/stream/x")
	r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = "r2", "2", "r1"
	_, err = second.Serve(t.Context(), r)
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against a stream that goes on at whatever version serves, as its route leads to
// another service by now.
func TestStreamKeepsItsVersionWhereItsRouteMoved(t *testing.T) {
	const otherService = "other-model"
	for software, goesOn := range map[string]bool{"v1": true, "v2": false} {
		t.Run(software, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
			g := newGateway(t, f)
			reply, err := g.Serve(t.Context(), generation("/stream/x"))
			assert.Assert(t, err == nil, "%v", err)
			reply.discard()
			c := testConfig()
			c.Version++
			other := c.Services[modelService]
			other.Name = otherService
			c.Services[otherService] = other
			for i := range c.Routes {
				c.Routes[i].Targets = []catalog.Target{{Service: otherService, Weight: 1}}
			}
			g.SetConfig(c)
			list := serversOf("v1", "v1", "v1")
			g.SetServers(append(list, catalog.Server{ID: "o1", Service: otherService, Address: "10.0.0.4:1", Stage: catalog.Decode, Software: software}))
			r := generation("/stream/x")
			r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = "r2", "2", "r1"
			reply, err = g.Serve(t.Context(), r)
			assert.Equal(t, err == nil, goesOn)
			if err == nil {
				reply.discard()
			}
		})
	}
}

// waitingOrigins answers no question before its caller leaves.
type waitingOrigins struct {
	Origins
	asked chan struct{}
}

func (w waitingOrigins) Ask(ctx context.Context, _ uint64) (origin.Record, error) {
	close(w.asked)
	<-ctx.Done()
	return origin.Record{}, origin.ErrNoAnswer
}

// Guards against a graceful stop that ends while a caller waits for the version of its stream:
// its connection would be cut without an answer.
func TestStopWaitsForStreamsThatAreLookedUp(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	g := newGateway(t, f)
	w := waitingOrigins{g.origins, make(chan struct{})}
	g.ShareOrigins(w)
	ctx, cancel := context.WithCancel(t.Context())
	r := generation("/stream/x")
	r.Generation.LastEventID, r.Generation.FirstAttemptID = "2", "r0"
	served := make(chan struct{})
	go func() {
		defer close(served)
		reply, err := g.Serve(ctx, r)
		if err == nil {
			reply.discard()
		}
	}()
	<-w.asked
	assert.Equal(t, g.InFlight(), int64(1))
	cancel()
	<-served
	assert.Equal(t, g.InFlight(), int64(0))
}

// Guards against a resumption that passes no check, as its service has no engines and its
// servers are chosen like those of calls.
func TestResumptionAtAPlainServiceKeepsItsVersion(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	g := newGateway(t, f)
	list := testServers()
	list[1].Software, list[2].Software = "v2", "v2"
	g.SetServers(list)
	for n := range 10 {
		r := generation("/again/x")
		g.origins.Tell(origin.Record{
			Stream: origin.Hash("r0"), Content: r.fingerprint(""), Service: origin.Hash(plainService), Software: origin.Hash("v1"),
		}, time.Minute)
		r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = fmt.Sprint("a", n), "2", "r0"
		reply, err := g.Serve(t.Context(), r)
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	for _, x := range f.sends() {
		assert.Equal(t, x.server, "p1")
	}
}

// The format is read by jayfordctl versions, whose test has the same text.
func TestFormatOfTheDumpOfVersions(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	g.SetServers([]catalog.Server{
		{ID: "a", Service: "lm", Address: "10.0.0.1:1", Software: "v1"}, {ID: "b", Service: "lm", Address: "10.0.0.1:2", Software: "v1"},
	})
	g.software.history = origin.NewHistory()
	g.software.update(g.view.list(), time.Now())
	for range 3 {
		g.software.count("lm", byCaller, resumed)
	}
	out, err := json.Marshal(g.software.dump())
	assert.NilError(t, err)
	assert.Equal(t, string(out), `{"Versions":[{"Service":"lm","Software":"v1","Servers":2}],"Streams":{"lm":{"caller resumed":3}}}`)
}

// Guards against metrics of versions that no server has had for long: an entry that another
// writer changes again and again would add series without end.
func TestForgottenVersionsHaveNoMetrics(t *testing.T) {
	v := newSoftwareVersions(board.New())
	series := func() int {
		n := 0
		for _, name := range metrics.ListMetricNames() {
			if strings.Contains(name, `software_servers{service="changing"`) {
				n++
			}
		}
		return n
	}
	now, step := time.Now(), 10*time.Second
	const remembered = int(origin.HistoryTTL / (10 * time.Second))
	for i := range 3 * remembered {
		v.set(newListing([]catalog.Server{{ID: "a", Service: "changing", Software: fmt.Sprint("v", i)}}), now.Add(time.Duration(i)*step))
		assert.Assert(t, series() <= remembered+2, "%d after %d changes", series(), i)
	}
	v.set(newListing(nil), now.Add(time.Hour))
	assert.Assert(t, series() == 1, "%d", series())
	v.set(newListing(nil), now.Add(2*time.Hour))
	assert.Equal(t, series(), 0)
	assert.Equal(t, len(v.names), 0)
}
