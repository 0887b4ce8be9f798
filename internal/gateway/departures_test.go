package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
)

// Guards against sending again to a server that said it is leaving, once its entry is
// written anew or returns after an outage of the platform.
func TestLeavingOutlastsTheEntry(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	all := usable(g)
	leaving := testServers()[0]
	f.signal(leaving, Signals{Leaving: true})
	f.signal(leaving, Signals{Leaving: true})
	assert.Equal(t, usable(g), all-1)
	g.SetServers(testServers())
	assert.Equal(t, usable(g), all-1)
	g.SetServers(testServers()[1:])
	g.SetServers(testServers())
	assert.Equal(t, usable(g), all-1)
	assert.Equal(t, len(g.view.list().all), all)

	g.SetServers(restarted(1))
	assert.Equal(t, usable(g), all, "another incarnation isn't leaving")
}

// Guards against a record of departures that grows for ever.
func TestDeparturesAreForgotten(t *testing.T) {
	d, now := newDepartures(), time.Now()
	list := []catalog.Server{{ID: "a"}}
	assert.Assert(t, d.record(serverKey(list[0]), now))
	assert.Assert(t, !d.record(serverKey(list[0]), now))
	for range 3 {
		now = now.Add(departureTTL)
		assert.Assert(t, d.apply(list, now)[0].Leaving)
	}
	d.apply(nil, now.Add(departureTTL+1))
	assert.Equal(t, len(d.seen), 0)
}

// Guards against a refusal that sends callers away for longer or shorter than it takes, when
// the last server of a service says that it is leaving.
func TestLastServerLeaving(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	for _, s := range testServers() {
		f.signal(s, Signals{Leaving: true})
	}
	for _, r := range []*Request{call("/again/x"), call("/once/x")} {
		_, err := g.Serve(t.Context(), r)
		assert.Equal(t, err.RetryAfter, noServerRetryAfter)
	}
	assert.Equal(t, len(f.sends()), 0)
}
