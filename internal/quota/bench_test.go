package quota

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
)

// BenchmarkTake takes a request's cost from a quota of which enough is held.
func BenchmarkTake(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := New(Options{
		Self: "g0", Board: board.New(), Log: logrus.NewEntry(log), OnUnknownSender: func() {},
		Members:           func() ([]Member, time.Duration) { return []Member{{ID: "g0"}}, boottime.Now() },
		PredecessorUptime: func() (time.Duration, bool) { return 0, true },
	})
	o := catalog.NewOrganisations()
	for i := range 220 {
		o.Add(catalog.Organisation{Name: fmt.Sprint("organisation-", i), Quota: catalog.Quota{PerSecond: 1e12, Burst: 1e12, InTokens: true}})
	}
	x.SetOrganisations(o)
	x.updateMembers(boottime.Now())
	_, _ = x.Take(b.Context(), "organisation-7", 1, 0, 0)
	time.Sleep(10 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.Take(b.Context(), "organisation-7", 4200, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
}
