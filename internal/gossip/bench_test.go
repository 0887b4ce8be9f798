package gossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// bookedEngines is how many engines a gateway has booked at 5 requests a second of 3.5 s each.
const bookedEngines = 18

func bookings() map[string]Load {
	out := map[string]Load{}
	for i := range bookedEngines {
		out[fmt.Sprintf("i-%012d#0", i)] = load(6000+i, 1)
	}
	return out
}

// load returns a load that doesn't change over time.
func load(tokens int, revision uint64) Load {
	l := Load{Revision: revision}
	for i := range l.Need {
		l.Need[i] = float64(tokens)
	}
	return l
}

// BenchmarkBuildUpdate builds the update for one change, and reports its size.
func BenchmarkBuildUpdate(b *testing.B) {
	e := New(Options{})
	own := bookings()
	e.buildUpdate(own, true)
	size := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		own["i-000000000000#0"] = load(i%9000, uint64(i+2))
		n := e.buildUpdate(own, false)
		size = proto.Size(n)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkHandleDatagram encodes and applies one change of a peer.
func BenchmarkHandleDatagram(b *testing.B) {
	e := New(Options{})
	from := New(Options{})
	for i := range maxNearPeers + maxFarPeers {
		e.known[fmt.Sprint("10.0.0.", i, ":1")] = time.Time{}
	}
	own := bookings()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		own["i-000000000000#0"] = load(i%9000, uint64(i+2))
		text, err := proto.Marshal(from.buildUpdate(own, false))
		if err != nil {
			b.Fatal(err)
		}
		e.handleDatagram("10.0.0.1:1", text)
	}
}
