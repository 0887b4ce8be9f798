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

// newFullParts returns a ledger that is full of suspected parts with maxLosses losses each, of
// requests with eight parts.
func newFullParts() *Ledger {
	const parts = 8
	l := NewLedger(LedgerOptions{})
	n := uint64(0)
	for group := range uint64(DefaultLimit / 2 / parts) {
		var list []uint64
		for i := range uint64(parts) {
			list = append(list, group*parts+i)
		}
		for range maxLosses {
			n++
			losePart(l, start.Add(time.Duration(n)*time.Millisecond), n%100, n, list...)
		}
	}
	return l
}

// BenchmarkFullParts measures the memory of a ledger that is full of parts.
func BenchmarkFullParts(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newFullParts()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		b.ReportMetric(float64(len(l.parts.records)), "parts")
	}
}

// BenchmarkLossAmongFullParts measures a loss under a request with three parts beside a full
// ledger, and its judgement.
func BenchmarkLossAmongFullParts(b *testing.B) {
	l := newFullParts()
	now, n := start.Add(time.Minute), uint64(1<<20)
	for b.Loop() {
		now, n = now.Add(time.Second), n+1
		losePart(l, now, n, n, 1<<30, 1<<30+n, 1<<30+2*n)
		l.JudgeParts([]uint64{1 << 30, 1<<30 + n}, now.Add(time.Second))
	}
}

// BenchmarkLossUnderParts measures the same in an incident: one guilty part, twenty first parts
// that are proven in between.
func BenchmarkLossUnderParts(b *testing.B) {
	l := NewLedger(LedgerOptions{})
	now, n := start, uint64(0)
	for b.Loop() {
		now, n = now.Add(100*time.Millisecond), n+1
		losePart(l, now, n%50, n, n%20, 1000)
		losePart(l, now, n%50, 1<<40+n, (n+7)%20)
		prove(l, now.Add(time.Millisecond), (n+3)%20)
		l.JudgeParts([]uint64{n % 20, 1000}, now.Add(time.Second/20))
	}
}
