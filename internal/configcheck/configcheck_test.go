package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/quota"
)

// plant is a fault that is put into a valid draft with a route, a service and, if
// withKeys is set, an organisation.
type plant struct {
	name     string
	code     Code
	severity Severity
	// withKeys: the draft needs an organisation.
	withKeys bool
	put      func(*Draft)
}

func route(d *Draft) *catalog.Route { return &d.Config.Routes[0] }

func toEngine(d *Draft) {
	d.Services[0].Engine = &catalog.Engine{Slots: 1, KVTokens: 1}
}

// plants has each kind of fault that a draft can show.
var plants = []plant{
	{"version", BadVersion, Error, false, func(d *Draft) { d.Config.Version = 0 }},
	{"route without a name", BadName, Error, false, func(d *Draft) { route(d).Name = "" }},
	{"service without a name", BadName, Error, false, func(d *Draft) { d.Services[0].Name = "" }},
	{"organisation without a name", BadName, Error, true, func(d *Draft) { d.Organisations[0].Name = "" }},
	{"repeated route", DuplicateName, Error, false, func(d *Draft) {
		r := *route(d)
		r.PathPrefix = "/other/"
		d.Config.Routes = append(d.Config.Routes, r)
	}},
	{"repeated service", DuplicateName, Error, false, func(d *Draft) { d.Services = append(d.Services, d.Services[0]) }},
	{"repeated organisation", DuplicateName, Error, true, func(d *Draft) { d.Organisations = append(d.Organisations, d.Organisations[0]) }},
	{"unknown service", UnknownService, Error, false, func(d *Draft) { route(d).Targets[0].Service = "nowhere" }},
	{"no service", UnknownService, Error, false, func(d *Draft) { route(d).Targets[0].Service = "" }},
	{"weights of 0", BadWeight, Error, false, func(d *Draft) { route(d).Targets = []catalog.Target{{Service: d.Services[0].Name}} }},
	{"negative weight", BadWeight, Error, false, func(d *Draft) { route(d).Targets[0].Weight = -1 }},
	{"endless weight", BadWeight, Error, false, func(d *Draft) {
		s := d.Services[0].Name
		route(d).Targets = []catalog.Target{{Service: s, Weight: 1e308}, {Service: s, Weight: 1e308}}
	}},
	{"one weight of 0", NoTraffic, Note, false, func(d *Draft) {
		route(d).Targets = append(route(d).Targets, catalog.Target{Service: d.Services[0].Name})
	}},
	{"no host", BadHost, Error, false, func(d *Draft) { route(d).Host = "" }},
	{"host with a port", BadHost, Error, false, func(d *Draft) { route(d).Host = "h:80" }},
	{"host with a pattern", BadHost, Error, false, func(d *Draft) { route(d).Host = "*.example" }},
	{"host with a scheme", BadHost, Error, false, func(d *Draft) { route(d).Host = "http://h" }},
	{"host with a final dot", BadHost, Error, false, func(d *Draft) { route(d).Host = "h.example." }},
	{"long host", BadHost, Error, false, func(d *Draft) { route(d).Host = strings.Repeat("a.", 127) + "aa" }},
	{"prefix without a slash", BadPrefix, Error, false, func(d *Draft) { route(d).PathPrefix = "a/" }},
	{"prefix with an open end", BadPrefix, Error, false, func(d *Draft) { route(d).PathPrefix = "/a" }},
	{"no prefix", BadPrefix, Error, false, func(d *Draft) { route(d).PathPrefix = "" }},
	{"prefix with a query", BadPrefix, Error, false, func(d *Draft) { route(d).PathPrefix = "/a?b/" }},
	{"no timeout", BadTime, Error, false, func(d *Draft) { route(d).Timeout = 0 }},
	{"negative objective", BadTime, Error, false, func(d *Draft) { route(d).LatencyObjective = -1 }},
	{"negative gap", BadTime, Error, false, func(d *Draft) { route(d).MaxEventGap = -1 }},
	{"negative idle timeout", BadTime, Error, false, func(d *Draft) { d.Config.Limits.IdleTimeout = -1 }},
	{"no objective at engines", NoObjective, Error, false, func(d *Draft) {
		toEngine(d)
		route(d).LatencyObjective = 0
	}},
	{"connections", BadSize, Error, false, func(d *Draft) { d.Services[0].MaxConnections = -1 }},
	{"slots", BadSize, Error, false, func(d *Draft) {
		toEngine(d)
		d.Services[0].Engine.Slots = 0
	}},
	{"memory", BadSize, Error, false, func(d *Draft) {
		toEngine(d)
		d.Services[0].Engine.KVTokens = 0
	}},
	{"negative header limit", BadSize, Error, false, func(d *Draft) { d.Config.Limits.HeaderBytes = -1 }},
	{"negative body limit", BadSize, Error, false, func(d *Draft) { d.Config.Limits.BodyBytes = -1 }},
	{"header limit", AboveGateway, Warning, false, func(d *Draft) { d.Config.Limits.HeaderBytes = testBounds.HeaderBytes + 1 }},
	{"body limit", AboveGateway, Warning, false, func(d *Draft) { d.Config.Limits.BodyBytes = testBounds.BodyBytes + 1 }},
	{"health path", BadHealthPath, Error, false, func(d *Draft) { d.Services[0].HealthPath = "health" }},
	{"hidden route", HiddenRoute, Warning, false, func(d *Draft) {
		r := *route(d)
		r.Name, r.Host = "hidden", strings.ToUpper(r.Host)
		d.Config.Routes = append(d.Config.Routes, r)
	}},
	{"unused service", UnusedService, Warning, false, func(d *Draft) { d.Services = append(d.Services, catalog.Service{Name: "unused"}) }},
	{"late objective", LateObjective, Warning, false, func(d *Draft) { route(d).LatencyObjective = route(d).Timeout + 1 }},
	{"attempts of requests that run once", AttemptsUnused, Warning, false, func(d *Draft) {
		route(d).Kind, route(d).MaxAttempts = catalog.NonIdempotent, 2
	}},
	{"attempts of streams that run once", AttemptsUnused, Warning, false, func(d *Draft) {
		route(d).Kind, route(d).Resume, route(d).MaxAttempts = catalog.Streaming, false, 2
	}},
	{"resumption without streams", ResumeUnused, Warning, false, func(d *Draft) { route(d).Kind, route(d).Resume = catalog.Idempotent, true }},
	{"shared key", SharedKey, Error, true, func(d *Draft) {
		o := DeclaredOrganisation{Organisation: catalog.Organisation{Name: "thief"}, Keys: d.Organisations[0].Keys[:1]}
		d.Organisations = append(d.Organisations, o)
	}},
	{"repeated key", RepeatedKey, Note, true, func(d *Draft) {
		o := &d.Organisations[0]
		o.Keys = append(o.Keys, o.Keys[0])
	}},
	{"organisation without a key", NoKey, Warning, true, func(d *Draft) { d.Organisations[0].Keys = nil }},
	{"no organisation", NoKey, Warning, true, func(d *Draft) { d.Organisations = []DeclaredOrganisation{} }},
	{"keys without a use", KeysUnused, Warning, true, func(d *Draft) {
		for i := range d.Config.Routes {
			d.Config.Routes[i].Open = true
		}
	}},
	{"negative quota", BadQuota, Error, true, func(d *Draft) { d.Organisations[0].Quota.Burst = -1 }},
	{"burst below a request", QuotaTooLow, Warning, true, func(d *Draft) {
		d.Organisations[0].Quota = catalog.Quota{PerSecond: 10, Burst: 0.5}
	}},
	{"burst below a plain request", QuotaTooLow, Warning, true, func(d *Draft) {
		d.Organisations[0].Quota = catalog.Quota{PerSecond: 1000, Burst: 100, InTokens: true, PlainCost: 101}
	}},
	{"rate below a plain request", QuotaTooLow, Warning, true, func(d *Draft) {
		d.Organisations[0].Quota = catalog.Quota{PerSecond: 1e-3, Burst: 1000, InTokens: true, PlainCost: 200}
	}},
	{"burst without a rate", BurstUnused, Warning, true, func(d *Draft) { d.Organisations[0].Quota = catalog.Quota{Burst: 10} }},
}

func withCode(list []Finding, c Code) []Finding {
	var out []Finding
	for _, f := range list {
		if f.Code == c {
			out = append(out, f)
		}
	}
	return out
}

// Guards against findings on valid configurations, which would teach operators to ignore
// the check.
func TestValidDraftsHaveNoFindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDraft(t)
		if found := Check(d, testBounds); len(found) > 0 {
			t.Fatalf("%v", found)
		}
		if found := Compare(withVersion(d, d.Config.Version), withVersion(d, d.Config.Version-1)); len(found) > 0 {
			t.Fatalf("%v", found)
		}
	})
}

func withVersion(d Draft, v uint64) Draft {
	c := *d.Config
	c.Version = v
	d.Config = &c
	return d
}

// Guards against a kind of fault that isn't found in some configuration.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range plants {
		t.Run(strings.ReplaceAll(p.name, " ", "-"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				d := drawDraft(t)
				if p.withKeys && d.Organisations == nil {
					drawOrganisations(t, &d)
				}
				p.put(&d)
				complete(&d)
				found := withCode(Check(d, testBounds), p.code)
				if len(found) == 0 {
					t.Fatalf("not found in %+v", d)
				}
				for _, f := range found {
					if f.Severity != p.severity || f.File != "new" || f.Line == 0 || f.Text == "" {
						t.Fatalf("%+v", f)
					}
				}
			})
		})
	}
}

// Guards against a kind of finding that no test plants.
func TestEachCodeIsPlanted(t *testing.T) {
	elsewhere := map[Code]bool{Malformed: true, ServiceUnused: true, VersionNotHigher: true, Difference: true, Incomplete: true}
	planted := map[Code]bool{}
	for _, p := range plants {
		planted[p.code] = true
	}
	for _, c := range codes {
		assert.Equal(t, planted[c], !elsewhere[c], c)
	}
}

var codes = []Code{
	Malformed, BadName, DuplicateName, BadVersion, UnknownService, BadWeight, BadHost, BadPrefix, BadTime, NoObjective, BadSize,
	BadHealthPath, BadQuota, HiddenRoute, UnusedService, NoTraffic, SharedKey, RepeatedKey, NoKey, KeysUnused, LateObjective,
	QuotaTooLow, BurstUnused, AttemptsUnused, ResumeUnused, ServiceUnused, AboveGateway, VersionNotHigher, Difference, Incomplete,
}

func TestFindingsNameWhatHides(t *testing.T) {
	d := newDraft()
	r := d.Config.Routes[0]
	r.Name = "later"
	d.Config.Routes = append(d.Config.Routes, r)
	d.Organisations[1].Keys = append(d.Organisations[1].Keys, digest("k2"))
	complete(&d)
	var texts []string
	for _, f := range Check(d, testBounds) {
		texts = append(texts, f.String())
	}
	line := func(part Part, i int, f Field) int { return d.Places.Line(Place{Part: part, Index: i, Field: f}) }
	assert.DeepEqual(t, texts, []string{
		fmt.Sprintf(`new:%d: warning: route "later" never matches: route "plain" on line %d has the same host and prefix`,
			line(Route, 2, Prefix), line(Route, 0, Entry)),
		fmt.Sprintf(`new:%d: error: organisation "two": organisation "one" holds the key on line %d too, so nobody may use it`,
			line(Organisation, 1, Keys), line(Organisation, 0, Keys)),
	})
}

// Guards against follow-up findings on values that couldn't be decoded.
func TestFaultyFieldsHaveNoFurtherFindings(t *testing.T) {
	d := newDraft()
	d.Config.Routes[0] = catalog.Route{Name: "plain", Kind: catalog.NonIdempotent, MaxAttempts: 2, Targets: []catalog.Target{{}}}
	d.Organisations[0].Quota = catalog.Quota{PerSecond: 1}
	places := testPlaces{faulty: map[Place]bool{}}
	for _, f := range []Field{Host, Prefix, Kind, Timeout, Targets} {
		places.faulty[Place{Part: Route, Field: f}] = true
		places.faulty[Place{Part: Route, Field: f, Item: AllItems}] = true
	}
	places.faulty[Place{Part: Organisation, Field: Burst}] = true
	d.Places = places
	complete(&d)
	assert.DeepEqual(t, Check(d, testBounds), []Finding(nil))
}

// Guards against unusable keys that count as one key which several organisations hold.
func TestUnusableKeysAreNotShared(t *testing.T) {
	d := newDraft()
	for i := range d.Organisations {
		d.Organisations[i].Keys = append(d.Organisations[i].Keys, catalog.KeyDigest{}, catalog.KeyDigest{})
	}
	assert.DeepEqual(t, Check(d, testBounds), []Finding(nil))
}

// A body limit below the header limit isn't a contradiction: they bound different parts of
// a request.
func TestBodyLimitBelowHeaderLimit(t *testing.T) {
	d := newDraft()
	d.Config.Limits.BodyBytes = 10
	assert.DeepEqual(t, Check(d, testBounds), []Finding(nil))
}

// Guards against a gateway whose tokens live longer or shorter than the check assumes.
func TestTokenLifeIsThatOfTheQuota(t *testing.T) {
	const rate = 1.0
	a := quota.NewAccount(quota.Limit{PerSecond: rate, Burst: 1e9}, 0)
	now := time.Duration(0)
	for ; now < 10*24*time.Hour; now += time.Minute {
		a.Create(now, 1)
	}
	held, want := a.Balance(now), rate*maxTokenLife.Seconds()
	assert.Assert(t, held <= want && held > 0.9*want, "%v of %v", held, want)
}
