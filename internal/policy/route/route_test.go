package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
)

func selector(name string, order int, m object.Match, targets ...object.Target) Named {
	return Named{Name: name, Selector: object.Selector{Order: order, Match: m, Targets: targets}}
}

func TestPickLowestOrderThenName(t *testing.T) {
	s := []Named{
		selector("z", 1, object.Match{}, object.Target{Pool: "pz", Weight: 1}),
		selector("b", 0, object.Match{Models: []string{"m"}}, object.Target{Pool: "pb", Weight: 1}),
		selector("a", 0, object.Match{Models: []string{"m"}}, object.Target{Pool: "pa", Weight: 1}),
	}
	s[2].Priority = "batch"
	c, ok := Pick(s, Request{Model: "m", Priority: "interactive"}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, c, Choice{Selector: "a", Pool: "pa", Priority: "batch"})
	c, ok = Pick(s, Request{Model: "n", Priority: "interactive"}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, c, Choice{Selector: "z", Pool: "pz", Priority: "interactive"})
	_, ok = Pick(s[1:], Request{Model: "n"}, 0)
	assert.Assert(t, !ok)
}

func TestPickSharesByWeight(t *testing.T) {
	s := []Named{selector("s", 0, object.Match{},
		object.Target{Pool: "old", Weight: 9}, object.Target{Pool: "off"}, object.Target{Pool: "new", Weight: 1})}
	got := map[string]int{}
	for i := range 100 {
		c, ok := Pick(s, Request{}, (float64(i)+0.5)/100)
		assert.Assert(t, ok)
		got[c.Pool]++
	}
	assert.DeepEqual(t, got, map[string]int{"old": 90, "new": 10})
}

func TestPathPrefixMatchesWholeSegments(t *testing.T) {
	for _, c := range []struct {
		prefix, path string
		want         bool
	}{
		{"/book", "/book", true},
		{"/book", "/book/1", true},
		{"/book", "/bookmarks", false},
		{"/book/", "/book/1", true},
		{"/", "/x", true},
	} {
		assert.Equal(t, hasPathPrefix(c.prefix, c.path), c.want, "%s %s", c.prefix, c.path)
	}
}

func TestServersAndExplain(t *testing.T) {
	servers := map[string]object.Server{
		"s2": {Labels: map[string]string{"model": "m", "role": "decode"}},
		"s1": {Labels: map[string]string{"model": "m", "role": "decode", "group": "x"}},
		"s3": {Labels: map[string]string{"model": "m", "role": "prefill"}},
	}
	decode := map[string]string{"model": "m", "role": "decode"}
	assert.DeepEqual(t, Servers(servers, decode), []string{"s1", "s2"})
	assert.Equal(t, len(Servers(servers, nil)), 0)
	pools := map[string]object.Pool{"p": {Model: "m", Decode: decode}}
	s := []Named{
		selector("later", 5, object.Match{}, object.Target{Pool: "p", Weight: 1}),
		selector("other", 1, object.Match{Groups: []string{"g"}}, object.Target{Pool: "p", Weight: 1}),
		selector("first", 2, object.Match{}, object.Target{Pool: "p", Weight: 1}),
	}
	e := Explain(s, pools, servers, Request{Group: "h"}, 0)
	assert.Equal(t, e.Reason, Decides)
	assert.DeepEqual(t, e.Selectors, []SelectorReason{
		{Selector: "other", Order: 1, Reason: Mismatch, Field: FieldGroup, Got: "h"},
		{Selector: "first", Order: 2, Reason: Decides},
		{Selector: "later", Order: 5, Reason: Shadowed},
	})
	assert.Equal(t, len(e.Servers), 6)
	assert.Equal(t, e.Servers[0].Reason, NoLabels)
	assert.DeepEqual(t, e.Servers[5], ServerReason{
		Server: "s3", Role: "decode", Reason: Mismatch, Label: "role", Want: "decode", Got: "prefill",
	})
	s[2].Targets = nil
	assert.Equal(t, Explain(s, pools, servers, Request{}, 0).Reason, NoTarget)
	assert.Equal(t, Explain(s, nil, servers, Request{Group: "g"}, 0).Reason, NoPool)
}

// BenchmarkPick measures one decision with a selector for each organisation.
func BenchmarkPick(b *testing.B) {
	var s []Named
	for i := range 220 {
		m := object.Match{Organisations: []string{fmt.Sprintf("org-%d", i)}}
		s = append(s, selector(fmt.Sprintf("s%d", i), i, m, object.Target{Pool: "p", Weight: 1}))
	}
	b.ReportAllocs()
	for b.Loop() {
		Pick(s, Request{Model: "m", Organisation: "org-219"}, 0.5)
	}
}

// Servers runs once per configuration change, not per request.
func BenchmarkServers(b *testing.B) {
	servers := map[string]object.Server{}
	for i := range 1100 {
		servers[fmt.Sprintf("s%d", i)] = object.Server{Labels: map[string]string{"model": fmt.Sprintf("m%d", i%13), "role": "decode"}}
	}
	b.ReportAllocs()
	for b.Loop() {
		Servers(servers, map[string]string{"model": "m3", "role": "decode"})
	}
}
