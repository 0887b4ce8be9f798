package slopes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/policy/route"
)

var sizes = []int{16, 50, 200, 600, fullServers}

func candidates(n int) []place.Candidate {
	out := make([]place.Candidate, n)
	for i := range out {
		out[i] = place.Candidate{
			ID: serverName(i), AvailabilityZone: zoneName(i), Slots: 20, Used: i % 20, QueuedTokens: int64(i % 7 * 1000),
			PrefillPerThousand: 100 * time.Millisecond, TokenTime: 45 * time.Millisecond, Age: time.Duration(i%10) * time.Second,
		}
	}
	return out
}

// BenchmarkPlace measures one placement decision over the subset of a pool, which
// is what entries use, and over the whole pool.
func BenchmarkPlace(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 2))
	r := place.Request{PromptTokens: 1000, MaxTokens: 239, AvailabilityZone: zoneName(0), Interactive: true}
	for _, n := range sizes {
		subset, all := candidates(place.DefaultSubset), candidates(n)
		b.Run(fmt.Sprintf("subset/pool=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				place.Prefill(subset, r, place.Options{Pool: n}, rnd)
			}
		})
		b.Run(fmt.Sprintf("whole/pool=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				place.Prefill(all, r, place.Options{Pool: n}, rnd)
			}
		})
	}
}

// BenchmarkSubset measures the choice of an entry's subset of a pool.
func BenchmarkSubset(b *testing.B) {
	for _, n := range sizes {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = serverName(i)
		}
		b.Run(fmt.Sprintf("pool=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				place.Subset("entry-001", ids, place.DefaultSubset)
			}
		})
	}
}

// BenchmarkAdmit measures a push and a pop as a function of the number of
// organisations with queued requests.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 20, 60, fullOrganisations} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			q := admit.New(admit.Options{}, rand.New(rand.NewPCG(1, 2)))
			now := time.Unix(1e9, 0)
			item := func(i int) admit.Item {
				return admit.Item{
					ID: fmt.Sprint(i), Organisation: fmt.Sprintf("organisation-%03d", i%n), Interactive: i%3 > 0, Cost: 339,
				}
			}
			for i := range fullOrganisations {
				_ = q.Push(now, item(i))
			}
			b.ReportAllocs()
			for i := fullOrganisations; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				_ = q.Push(now, item(i))
				q.Pop(now)
			}
		})
	}
}

// BenchmarkReserve measures a reservation and its release at an agent as a function
// of the number of live grants, each of a different entry.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{1, 10, 20, 84, fullEntries} {
		b.Run(fmt.Sprintf("grants=%d", n), func(b *testing.B) {
			c := grant.New(grant.Config{
				Incarnation: 7, Slots: n + 1, PrefillQueue: 16, Queue: 64, LapseAfter: time.Hour, MaxWait: 30 * time.Second,
				MaxIdle: time.Hour, DedupRetention: time.Minute, MaxDedupRecords: 1 << 16, MaxConvicted: 64,
			})
			c.ServerUp(0)
			reserve := func(i int) grant.Request {
				return grant.Request{
					Key:   grant.Key{Request: requestName(i%fullEntries, i), Number: 1, Phase: pb.Phase_PHASE_DECODE},
					Entry: entryName(i % fullEntries), Idle: time.Hour, PromptTokens: 1000,
				}
			}
			for i := range n {
				if o, _ := c.Reserve(0, reserve(i)); o != grant.Granted {
					b.Fatal("not granted")
				}
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for i := n; b.Loop(); i++ {
				now += time.Microsecond
				r := reserve(i)
				_, _ = c.Reserve(now, r)
				c.Release(now, r.Key, r.Entry)
				c.Ready()
			}
		})
	}
}

// BenchmarkRoute measures the choice of a pool as a function of the number of
// selectors.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{fullModels, 50, fullOrganisations, 1000} {
		var all []route.Named
		for i := range n {
			all = append(all, route.Named{Name: fmt.Sprintf("selector-%04d", i), Selector: object.Selector{
				Order: i, Match: object.Match{Models: []string{modelName(i)}}, Targets: []object.Target{{Pool: "pool", Weight: 1}},
			}})
		}
		b.Run(fmt.Sprintf("selectors=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route.Pick(all, route.Request{Model: modelName(n - 1)}, 0.5)
			}
		})
	}
}
