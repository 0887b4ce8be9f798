package gossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// running is how many engines a gateway has booked at 5 requests a second of 3.5 s.
const running = 18

func bookings() map[string]Load {
	out := map[string]Load{}
	for i := range running {
		out[fmt.Sprintf("i-%012d#0", i)] = load(6000+i, 1)
	}
	return out
}

// load is a load that stays as it is.
func load(tokens int, revision uint64) Load {
	l := Load{Revision: revision}
	for i := range l.Need {
		l.Need[i] = float64(tokens)
	}
	return l
}

// BenchmarkNews makes what one change sends, and reports its size.
func BenchmarkNews(b *testing.B) {
	e := New(Options{})
	own := bookings()
	e.news(own, true)
	size := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		own["i-000000000000#0"] = load(i%9000, uint64(i+2))
		n := e.news(own, false)
		size = proto.Size(n)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkTake reads one change of one of a gateway's peers.
func BenchmarkTake(b *testing.B) {
	e := New(Options{})
	from := New(Options{})
	for i := range maxNear + maxFar {
		e.known[fmt.Sprint("10.0.0.", i, ":1")] = time.Time{}
	}
	own := bookings()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		own["i-000000000000#0"] = load(i%9000, uint64(i+2))
		text, err := proto.Marshal(from.news(own, false))
		if err != nil {
			b.Fatal(err)
		}
		e.take("10.0.0.1:1", text)
	}
}
