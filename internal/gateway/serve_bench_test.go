package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/quota"
	"jayford.example/jayford/internal/verdict"
)

// BenchmarkServe serves a plain call, without organisations and with keys and quotas.
func BenchmarkServe(b *testing.B) {
	f := &benchBackend{fakeBackend: &fakeBackend{}}
	for _, x := range []struct {
		name   string
		config *catalog.Config
	}{{"open", testConfig()}, {"keyed", configWithKeys(10, secretKey)}} {
		b.Run(x.name, func(b *testing.B) {
			g := benchGateway(f)
			g.SetConfig(x.config)
			g.SetServers(testServers())
			g.view.complete.Store(true)
			b.ReportAllocs()
			for b.Loop() {
				g.view.confirm(boottime.Now())
				reply, err := g.Serve(b.Context(), withKey(call("/again/x"), secretKey))
				if err != nil {
					b.Fatal(err)
				}
				_ = reply.Body.Close()
			}
		})
	}
}

func benchGateway(f Backend) *Gateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.WarnLevel)
	g := New(Options{ID: "g1", Backend: f, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, KeyExpiry: 5 * time.Second, Log: log})
	g.LimitOrganisations(benchQuotas{})
	return g
}

// benchBackend answers each call at once and records nothing.
type benchBackend struct{ *fakeBackend }

func (*benchBackend) Send(_ context.Context, _ catalog.Server, _ Call) (*Answer, *verdict.Error) {
	return answer(text("x")), nil
}

// benchQuotas grants each request at once.
type benchQuotas struct{}

func (benchQuotas) SetOrganisations(*catalog.Organisations) {}

func (benchQuotas) Take(context.Context, string, float64, int, time.Duration) (quota.Receipt, *verdict.Error) {
	return quota.Receipt{}, nil
}

func (benchQuotas) Return(quota.Receipt) {}
