package configcheck

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
)

// testBounds are those of the gateways in the tests.
var testBounds = Bounds{HeaderBytes: 32 << 10, BodyBytes: 4 << 20}

// testPlaces gives each entry lines of its own.
type testPlaces struct{ faulty map[Place]bool }

func (p testPlaces) Line(x Place) int {
	return 1 + int(x.Part)*10_000 + x.Index*100 + int(x.Field)
}

func (p testPlaces) Faulty(x Place) bool { return p.faulty[x] }

// complete sets what a gateway makes of the declared services and organisations.
func complete(d *Draft) {
	d.Config.Services = map[string]catalog.Service{}
	for _, s := range d.Services {
		d.Config.Services[s.Name] = s
	}
	d.Config.Organisations = nil
	if d.Organisations == nil {
		return
	}
	d.Config.Organisations = catalog.NewOrganisations()
	for _, o := range d.Organisations {
		d.Config.Organisations.Add(o.Organisation)
	}
}

func digest(key string) catalog.KeyDigest {
	d, ok := catalog.DigestKey(key)
	if !ok {
		panic("invalid key " + key)
	}
	return d
}

// newDraft returns a small valid draft: a plain route and a streaming one to engines, and
// two organisations.
func newDraft() Draft {
	d := Draft{
		File:   "new",
		Places: testPlaces{faulty: map[Place]bool{}},
		Config: &catalog.Config{Version: 7, Limits: catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20}, Routes: []catalog.Route{
			{
				Name: "plain", Host: "h.example", PathPrefix: "/plain/", Kind: catalog.Idempotent, Timeout: time.Second, MaxAttempts: 2,
				Targets: []catalog.Target{{Service: "plain", Weight: 1}},
			},
			{
				Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: catalog.Streaming, Timeout: 14 * time.Second, LatencyObjective: time.Second,
				MaxEventGap: 300 * time.Millisecond, MaxAttempts: 2, Resume: true,
				Targets: []catalog.Target{{Service: "model", Weight: 90}, {Service: "model-b", Weight: 10}},
			},
		}},
		Services: []catalog.Service{
			{Name: "plain", HealthPath: "/health"},
			{Name: "model", Engine: &catalog.Engine{Slots: 64, KVTokens: 46387}},
			{Name: "model-b", Engine: &catalog.Engine{Slots: 64, KVTokens: 46387}},
		},
		Organisations: []DeclaredOrganisation{
			{
				Organisation: catalog.Organisation{Name: "one", Quota: catalog.Quota{PerSecond: 47000, Burst: 47000, InTokens: true, PlainCost: 200}},
				Keys:         []catalog.KeyDigest{digest("k1"), digest("k2")},
			},
			{Organisation: catalog.Organisation{Name: "two"}, Keys: []catalog.KeyDigest{digest("k3")}},
		},
	}
	complete(&d)
	return d
}

// drawDraft draws a valid draft.
func drawDraft(t *rapid.T) Draft {
	d := Draft{File: "new", Config: &catalog.Config{}, Places: testPlaces{faulty: map[Place]bool{}}}
	d.Config.Version = rapid.Uint64Min(1).Draw(t, "version")
	d.Config.Limits = catalog.Limits{
		HeaderBytes: rapid.IntRange(0, testBounds.HeaderBytes).Draw(t, "header"),
		BodyBytes:   rapid.IntRange(0, testBounds.BodyBytes).Draw(t, "body"),
		IdleTimeout: time.Duration(rapid.IntRange(0, 60).Draw(t, "idle")) * time.Second,
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		d.Services = append(d.Services, drawService(t, i))
	}
	// The first routes lead to one service each, so that all are used.
	routes := rapid.IntRange(len(d.Services), 8).Draw(t, "routes")
	for i := range routes {
		d.Config.Routes = append(d.Config.Routes, drawRoute(t, i, d.Services))
	}
	if rapid.Bool().Draw(t, "keys") {
		drawOrganisations(t, &d)
	}
	complete(&d)
	return d
}

func drawService(t *rapid.T, i int) catalog.Service {
	s := catalog.Service{
		Name: fmt.Sprint("service-", i), MaxConnections: rapid.IntRange(0, 400).Draw(t, "connections"),
		HealthPath: rapid.SampledFrom([]string{"", "/health"}).Draw(t, "health"),
	}
	if rapid.Bool().Draw(t, "engine") {
		s.Engine = &catalog.Engine{Slots: rapid.IntRange(1, 128).Draw(t, "slots"), KVTokens: rapid.IntRange(1, 100_000).Draw(t, "memory")}
	}
	return s
}

func drawRoute(t *rapid.T, i int, services []catalog.Service) catalog.Route {
	timeout := rapid.IntRange(1, 60_000).Draw(t, "timeout")
	r := catalog.Route{
		Name: fmt.Sprint("route-", i), PathPrefix: rapid.SampledFrom([]string{"/", "/v1/"}).Draw(t, "prefix") + fmt.Sprintf("r%d/", i),
		Host:             rapid.SampledFrom([]string{"h.example", "H.Example", "a-b.c", "10.0.0.1", "::1", "localhost"}).Draw(t, "host"),
		Kind:             rapid.SampledFrom([]catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming}).Draw(t, "kind"),
		Timeout:          time.Duration(timeout) * time.Millisecond,
		LatencyObjective: time.Duration(rapid.IntRange(1, timeout).Draw(t, "objective")) * time.Millisecond,
		MaxEventGap:      time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond,
		Priority:         rapid.IntRange(0, 9).Draw(t, "priority"),
		MaxAttempts:      1,
		// The first one needs a key, as otherwise organisations have no effect.
		Open: i > 0 && rapid.Bool().Draw(t, "open"),
	}
	if r.Kind == catalog.Streaming {
		r.Resume = rapid.Bool().Draw(t, "resume")
	}
	if r.Repeatable() {
		r.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "attempts")
	}
	r.Targets = []catalog.Target{{Service: services[i%len(services)].Name, Weight: rapid.Float64Range(0.001, 100).Draw(t, "weight")}}
	if rapid.Bool().Draw(t, "split") {
		r.Targets = append(r.Targets, catalog.Target{Service: services[0].Name, Weight: rapid.Float64Range(0.001, 100).Draw(t, "weight")})
	}
	return r
}

func drawOrganisations(t *rapid.T, d *Draft) {
	for i := range rapid.IntRange(1, 4).Draw(t, "organisations") {
		o := DeclaredOrganisation{Organisation: catalog.Organisation{Name: fmt.Sprint("organisation-", i)}}
		if rapid.Bool().Draw(t, "limited") {
			cost := rapid.Float64Range(1, 1000).Draw(t, "cost")
			o.Quota = catalog.Quota{
				PerSecond: rapid.Float64Range(1, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(cost, 1e6).Draw(t, "burst"),
				InTokens: rapid.Bool().Draw(t, "tokens"), PlainCost: cost,
			}
		}
		for n := range rapid.IntRange(1, 3).Draw(t, "held") {
			o.Keys = append(o.Keys, digest(fmt.Sprintf("key-%d-%d", i, n)))
		}
		d.Organisations = append(d.Organisations, o)
	}
}
