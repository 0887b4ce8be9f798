// Package speed estimates how fast each engine reads prompts and writes output, from what all
// gateways measure.
//
// The load pattern: engines of one service differ in speed by a factor of up to three, and each
// is slowed for some hundred milliseconds now and then. One gateway measures an engine only
// about a dozen times a minute, so that its own samples can't tell the one from the other.
//
// It guarantees:
//   - A gateway reports the median of its recent samples, so that a spell of slowness changes
//     nothing as long as fewer than half of them fall into it.
//   - A peer's report weighs at most as much as MaxWeight samples, and nothing once it is a
//     minute old. Values out of range are dropped and counted.
//   - An engine that has started anew has another key, and so nothing is known of it.
//
// It isn't safe for concurrent use.
package speed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind is what an engine does at a speed.
type Kind int

// Kinds of work.
const (
	Prefill Kind = iota
	Output
	kinds
)

const (
	// MaxWeight is the number of recent samples that a gateway keeps of an engine.
	MaxWeight = 15
	// maxAge is the age at which samples and reports weigh nothing.
	maxAge = time.Minute
	// minWeight is the weight from which on an estimate is used. With fewer samples one spell
	// of slowness would keep prompts away from a fast engine.
	minWeight = 5
	// estimateLifetime is for how long an estimate is kept before it is computed again.
	estimateLifetime = time.Second
)

// paceLimits are the least and the greatest time per token that any engine can take, by kind.
var paceLimits = [kinds][2]time.Duration{
	Prefill: {200 * time.Nanosecond, 5 * time.Millisecond},
	Output:  {50 * time.Microsecond, 2 * time.Second},
}

// Value is a time per token, and the number of recent samples behind it; its weight is 0 if
// nothing is known.
type Value struct {
	Pace   time.Duration
	Weight float64
}

// Report is what one gateway has measured of an engine, by kind.
type Report struct {
	Engine uint64
	Values [kinds]Value
}

// Valid reports whether the values are possible.
func (r Report) Valid() bool {
	for k, v := range r.Values {
		if v.Weight < 0 || v.Weight > MaxWeight || v.Weight > 0 && !inRange(Kind(k), v.Pace) {
			return false
		}
	}
	return true
}

func inRange(k Kind, pace time.Duration) bool {
	return pace >= paceLimits[k][0] && pace <= paceLimits[k][1]
}

// Table has what is known of the engines' speed.
type Table struct {
	engines map[uint64]*engine
	// lastReported is the engine that was last part of Reports.
	lastReported uint64
}

type engine struct {
	own   [kinds]samples
	peers map[string]heard
	// estimates is as of estimatedAt.
	estimates   [kinds]Value
	estimatedAt time.Time
}

// heard is the last report of a peer.
type heard struct {
	values [kinds]Value
	at     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{engines: map[uint64]*engine{}} }

func (t *Table) engine(key uint64) *engine {
	e := t.engines[key]
	if e == nil {
		e = &engine{peers: map[string]heard{}}
		t.engines[key] = e
	}
	return e
}

// Record adds this gateway's own measurement of the time per token. Impossible ones are ignored.
func (t *Table) Record(now time.Time, key uint64, k Kind, pace time.Duration) {
	if inRange(k, pace) {
		t.engine(key).own[k].add(now, pace)
	}
}

// Receive stores a peer's reports, and returns how many of them were dropped as impossible.
func (t *Table) Receive(now time.Time, peer string, reports []Report) (dropped int) {
	for _, r := range reports {
		if !r.Valid() {
			dropped++
			continue
		}
		t.engine(r.Engine).peers[peer] = heard{values: r.Values, at: now}
	}
	return dropped
}

// Reports returns at most limit reports of this gateway's own measurements. Engines take turns.
func (t *Table) Reports(now time.Time, limit int) []Report {
	var all []Report
	for key, e := range t.engines {
		r := Report{Engine: key}
		for k := range e.own {
			r.Values[k] = e.own[k].value(now)
		}
		if r.Values != ([kinds]Value{}) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Engine, b.Engine) })
	first, _ := slices.BinarySearchFunc(all, t.lastReported, func(r Report, last uint64) int {
		if r.Engine <= last {
			return -1
		}
		return 1
	})
	out := slices.Concat(all[first:], all[:first])
	out = out[:max(0, min(limit, len(out)))]
	if len(out) > 0 {
		t.lastReported = out[len(out)-1].Engine
	}
	return out
}

// Pace returns an engine's time per token, and whether enough is known of it. It is up to a
// second old.
func (t *Table) Pace(now time.Time, key uint64, k Kind) (time.Duration, bool) {
	e := t.engines[key]
	if e == nil {
		return 0, false
	}
	if age := now.Sub(e.estimatedAt); age < 0 || age >= estimateLifetime {
		e.estimate(now)
	}
	v := e.estimates[k]
	return v.Pace, v.Weight >= minWeight
}

// Expire forgets what is too old to be used.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.engines {
		maps.DeleteFunc(e.peers, func(_ string, h heard) bool { return freshness(now, h.at) == 0 })
	}
	maps.DeleteFunc(t.engines, func(_ uint64, e *engine) bool {
		return len(e.peers) == 0 && e.own[Prefill].value(now).Weight == 0 && e.own[Output].value(now).Weight == 0
	})
}

// estimate sets the weighted means of this gateway's values and those of its peers.
func (e *engine) estimate(now time.Time) {
	e.estimatedAt = now
	for k := range e.estimates {
		own := e.own[k].value(now)
		sum, weight := own.Weight*float64(own.Pace), own.Weight
		for _, h := range e.peers {
			w := h.values[k].Weight * freshness(now, h.at)
			sum += w * float64(h.values[k].Pace)
			weight += w
		}
		e.estimates[k] = Value{}
		if weight > 0 {
			e.estimates[k] = Value{Pace: time.Duration(sum / weight), Weight: weight}
		}
	}
}

// freshness is the weight of what is as old as at, from 1 down to 0.
func freshness(now, at time.Time) float64 {
	return min(1, max(0, 1-now.Sub(at).Seconds()/maxAge.Seconds()))
}

// samples are the last MaxWeight measurements.
type samples struct {
	list [MaxWeight]sample
	n    int
}

type sample struct {
	pace time.Duration
	at   time.Time
}

func (s *samples) add(now time.Time, pace time.Duration) {
	s.list[s.n%MaxWeight] = sample{pace, now}
	s.n++
}

// value returns the median of the samples that aren't too old.
func (s *samples) value(now time.Time) Value {
	var paces [MaxWeight]time.Duration
	n, weight := 0, 0.0
	for _, x := range s.list[:min(s.n, MaxWeight)] {
		if w := freshness(now, x.at); w > 0 {
			paces[n] = x.pace
			weight += w
			n++
		}
	}
	if n == 0 {
		return Value{}
	}
	slices.Sort(paces[:n])
	return Value{Pace: (paces[(n-1)/2] + paces[n/2]) / 2, Weight: weight}
}

// UnevenSpread is the ratio of the slowest to the fastest engine from which on it matters that
// engines differ.
const UnevenSpread = 1.4

// Fleet sums up the known speeds of engines that are compared with each other. The zero value
// has none.
type Fleet struct {
	n                 int
	sum, least, worst time.Duration
}

// Add adds an engine's time per token.
func (f *Fleet) Add(pace time.Duration) {
	if f.n == 0 {
		f.least = pace
	}
	f.n++
	f.sum += pace
	f.least, f.worst = min(f.least, pace), max(f.worst, pace)
}

// Mean returns the mean time per token, 0 if no engine is known.
func (f *Fleet) Mean() time.Duration {
	if f.n == 0 {
		return 0
	}
	return f.sum / time.Duration(f.n)
}

// Spread returns the ratio of the slowest to the fastest, 1 if none is known.
func (f *Fleet) Spread() float64 {
	if f.n == 0 {
		return 1
	}
	return float64(f.worst) / float64(f.least)
}
