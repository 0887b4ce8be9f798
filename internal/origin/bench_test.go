package origin

import (
	"runtime"
	"testing"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// BenchmarkTold measures the receipt of a record.
func BenchmarkTold(b *testing.B) {
	e := NewExchange(Options{Gateways: func() []string { return nil }, Send: func(string, *pb.OriginMessage) {}})
	n := uint64(0)
	for b.Loop() {
		n++
		e.Handle("10.0.0.1:1", &pb.OriginMessage{Told: encode(Record{Stream: n, Content: n, Service: 1, Software: 2}, time.Second)})
	}
}

// BenchmarkTellIn370 measures the choice of a record's holders among 370 gateways.
func BenchmarkTellIn370(b *testing.B) {
	e := newFleet(370).gateways["10.0.0.0:1"]
	e.opts.Send = func(string, *pb.OriginMessage) {}
	n := uint64(0)
	for b.Loop() {
		n++
		e.Tell(Record{Stream: n}, time.Second)
	}
}

// BenchmarkFullTable measures the memory of a full table.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := NewTable(DefaultLimit)
		for n := range uint64(DefaultLimit) {
			t.Put(Record{Stream: n + 1, Content: n, Service: 1, Software: 2}, time.Hour, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.Len()), "bytes/record")
	}
}
