package blame

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkServerLostUnderMany measures the loss of a server under forty requests, each of
// which has been lost twice before with the others, and the judgement on each.
func BenchmarkServerLostUnderMany(b *testing.B) {
	const requests = 40
	l := NewLedger(LedgerOptions{})
	now, server := start, uint64(0)
	for b.Loop() {
		now, server = now.Add(time.Minute), server+1
		for fp := range uint64(requests) {
			lose(l, now, server, server/3*requests+fp)
		}
		for fp := range uint64(requests) {
			l.Judge(server/3*requests+fp, now.Add(time.Second))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*requests), "ns/request")
}

// BenchmarkFullLedger measures the memory of a ledger that is full of requests with three
// losses each.
func BenchmarkFullLedger(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLedger(LedgerOptions{})
		for fp := range uint64(DefaultLimit) {
			for n := range uint64(3) {
				lose(l, start.Add(time.Duration(n)*time.Second), fp%8+8*n, fp)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "bytes/request")
		b.ReportMetric(float64(l.Len()), "requests")
	}
}
