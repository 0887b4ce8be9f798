package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
)

// fleetSize is the number of servers of all services that the gateway is designed for.
const (
	fleetSize   = 1100
	fleetZones  = 11
	fleetModels = 13
)

// fleetGateway returns a gateway with fleetSize servers: half of them run one model,
// and a fifth of each model's are prefill engines.
func fleetGateway(b *testing.B) *Gateway {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{ID: "g1", Backend: &fakeBackend{}, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 1e10}, Log: log})
	c := testConfig()
	var list []catalog.Server
	for i := range fleetSize {
		s := catalog.Server{
			ID: fmt.Sprintf("i-%012d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			AvailabilityZone: fmt.Sprint("az", i%fleetZones), Service: modelService, Stage: catalog.Decode,
		}
		if i%5 == 0 {
			s.Stage = catalog.Prefill
		}
		if i%2 == 0 {
			s.Service = fmt.Sprint("model-", i%fleetModels)
		}
		list = append(list, s)
	}
	g.SetConfig(c)
	g.SetServers(list)
	g.view.complete.Store(true)
	return g
}

// BenchmarkChooseDecode ranks the decode servers of the largest model, as each round
// of reservation attempts does.
func BenchmarkChooseDecode(b *testing.B) {
	g := fleetGateway(b)
	j := &job{avoid: map[string]bool{}}
	b.ReportAllocs()
	for b.Loop() {
		list := g.best(j, g.view.list().usable(modelService, catalog.Decode), reserveAttempts, g.byTokens)
		if len(list) != reserveAttempts {
			b.Fatal(len(list))
		}
	}
}

// BenchmarkCandidacy measures the check that the lease makes at each tick.
func BenchmarkCandidacy(b *testing.B) {
	g := fleetGateway(b)
	s := &stages{g: g, opts: StageOptions{Share: 0.2}, lastOrders: map[string]sentOrder{}, announced: map[string]announcedOrder{}}
	b.ReportAllocs()
	for b.Loop() {
		if n := len(s.dueChanges(time.Now(), 1, false)); n != 0 {
			b.Fatal(n)
		}
	}
}
