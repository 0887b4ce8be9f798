// Package retry decides whether a failed try of a request is repeated. It is
// the one place that does: the layers below have their own retries off, as
// retries on each level multiply.
package retry

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultRatio        = 0.1
	DefaultMinPerSecond = 0.2
	// DefaultBurst covers the loss of two full decode engines (20 requests each)
	// at one entry.
	DefaultBurst = 40
)

const (
	// maxKeys bounds the buckets that a budget remembers.
	maxKeys = 4096
	// idleAfter is how long an unused bucket is kept at least, once there are
	// more than maxKeys. By then the minimum rate has filled it.
	idleAfter = time.Minute
)

// Options of a Budget. Zero values stand for the defaults.
type Options struct {
	// Ratio is how many retries each first try earns.
	Ratio float64
	// MinPerSecond is earned by time, so that a quiet organisation can retry.
	MinPerSecond float64
	// Burst bounds what can be saved up, in retries.
	Burst float64
}

// Budget limits retries by organisation and by target, a pool, to a part of
// the first tries. Without it each failure under overload adds load, and the
// pool stays overloaded after its cause has gone. It isn't safe for concurrent
// use.
type Budget struct {
	opts    Options
	now     time.Time
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a budget whose buckets start full.
func NewBudget(o Options) *Budget {
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.MinPerSecond = cmp.Or(o.MinPerSecond, DefaultMinPerSecond)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	return &Budget{opts: o, buckets: map[string]*bucket{}}
}

// Advance sets the time. Call it before First and Allow.
func (b *Budget) Advance(now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
}

// First notes a first try for key, the name of an organisation or of a target.
// Call it for both. Names of the two kinds that are equal share a bucket.
func (b *Budget) First(key string) {
	x := b.bucket(key)
	x.tokens = min(b.opts.Burst, x.tokens+b.opts.Ratio)
}

// Allow takes a retry from the organisation's and from the target's bucket, or
// from neither if one of them is empty.
func (b *Budget) Allow(org, target string) bool {
	o, t := b.bucket(org), b.bucket(target)
	if o.tokens >= 1 && t.tokens >= 1 {
		o.tokens--
		if t != o {
			t.tokens--
		}
		return true
	}
	return false
}

// Len returns the number of buckets held.
func (b *Budget) Len() int { return len(b.buckets) }

func (b *Budget) bucket(key string) *bucket {
	x, ok := b.buckets[key]
	if !ok {
		if len(b.buckets) >= maxKeys {
			b.sweep()
		}
		x = &bucket{tokens: b.opts.Burst, at: b.now}
		b.buckets[key] = x
		return x
	}
	if d := b.now.Sub(x.at); d > 0 {
		x.tokens = min(b.opts.Burst, x.tokens+d.Seconds()*b.opts.MinPerSecond)
		x.at = b.now
	}
	return x
}

// sweep drops the buckets that are full, or nearly so by now: a new one starts
// full, so nothing is forgiven. If all are in use the map grows past maxKeys by
// those, which are as many as the organisations and pools that fail at once.
func (b *Budget) sweep() {
	keep := max(idleAfter, time.Duration(b.opts.Burst/b.opts.MinPerSecond*float64(time.Second)))
	for key, x := range b.buckets {
		if x.tokens >= b.opts.Burst || b.now.Sub(x.at) > keep {
			delete(b.buckets, key)
		}
	}
}
