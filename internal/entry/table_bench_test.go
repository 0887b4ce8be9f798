package entry

import (
	"fmt"
	"testing"

	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/settings"
)

const (
	benchModels        = 13
	benchOrganisations = 220
)

func benchSnapshot(servers int) *config.Snapshot {
	s := &config.Snapshot{
		Servers: make(map[string]object.Server), Pools: make(map[string]object.Pool),
		Organisations: make(map[string]object.Organisation),
	}
	label := func(model int, role string) map[string]string {
		return map[string]string{object.LabelModel: fmt.Sprint("model-", model), object.LabelRole: role}
	}
	for i := range servers {
		role := object.RoleDecode
		if i/benchModels%3 == 0 {
			role = object.RolePrefill
		}
		id := fmt.Sprintf("server-%04d", i)
		s.Servers[id] = object.Server{Labels: label(i%benchModels, role)}
		s.Instances = append(s.Instances, platform.Instance{ID: id, Address: "127.0.0.1:9", Role: "agent", State: platform.Live})
	}
	for m := range benchModels {
		s.Pools[fmt.Sprint("model-", m)] = object.Pool{
			Model: fmt.Sprint("model-", m), Prefill: label(m, object.RolePrefill), Decode: label(m, object.RoleDecode),
		}
	}
	for i := range benchOrganisations {
		s.Organisations[fmt.Sprint("organisation-", i)] = object.Organisation{Share: 1}
	}
	return s
}

// BenchmarkTable measures building the routing table, which happens at each
// change of the configuration.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{50, 200, 600, 1100} {
		s := benchSnapshot(n)
		agents := make(map[string]platform.Instance, n)
		for _, in := range s.Instances {
			agents[in.ID] = in
		}
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newTable(s, agents, 0, ranking{"entry-001", place.DefaultSubset})
			}
		})
	}
}

// BenchmarkUsable measures reducing a pool to the entry's subset, which happens at
// each placement decision.
func BenchmarkUsable(b *testing.B) {
	e := &Entry{settings: settings.DefaultEntry()}
	e.settings.ID = "entry-001"
	for _, n := range []int{16, 57, 200, 600, 1100} {
		var all []target
		for i := range n {
			all = append(all, target{id: fmt.Sprintf("server-%04d", i)})
		}
		b.Run(fmt.Sprintf("pool=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				e.usable(all, nil)
			}
		})
	}
}
