// Package retry decides whether a request is retried after a failed attempt. Only
// this layer retries: the layers below have retries disabled, as retries at several
// layers multiply.
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
	// by one entry.
	DefaultBurst = 40
)

const (
	// maxKeys is the number of buckets, or of a WindowBudget's targets, from which unused
	// ones are evicted.
	maxKeys = 4096
	// idleAfter is the minimum time for which an unused bucket is kept. It is kept
	// longer if the minimum rate takes longer to refill it.
	idleAfter = time.Minute
)

// Options of a Budget. Zero values select the defaults.
type Options struct {
	// Ratio is how many retries each first attempt earns.
	Ratio float64
	// MinPerSecond is how many retries are earned per second, so that an organisation
	// with few requests can retry.
	MinPerSecond float64
	// Burst is the capacity of a bucket, in retries.
	Burst float64
}

// Budget limits the retries of each organisation and of each target, a pool, to a
// fraction of the first attempts, by token buckets. Otherwise each failure under
// overload would add load, and the pool would stay overloaded after the cause has
// gone. It isn't safe for concurrent use.
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

// Advance sets the time. Call it before RecordFirst and Allow.
func (b *Budget) Advance(now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
}

// RecordFirst records a first attempt for key, the name of an organisation or of a target.
// Call it for both. An organisation and a target of the same name share a bucket.
func (b *Budget) RecordFirst(key string) {
	x := b.bucket(key)
	x.tokens = min(b.opts.Burst, x.tokens+b.opts.Ratio)
}

// Allow takes a token from the organisation's and from the target's bucket, or from
// neither if one of them is empty, and reports whether the retry is allowed.
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

// sweep evicts the buckets that are full, or have been unused for long enough to be
// refilled. A new bucket starts full, so eviction restores no spent budget. If no
// bucket can be evicted the map grows past maxKeys, up to the number of organisations
// and pools that fail at the same time.
func (b *Budget) sweep() {
	keep := max(idleAfter, time.Duration(b.opts.Burst/b.opts.MinPerSecond*float64(time.Second)))
	for key, x := range b.buckets {
		if x.tokens >= b.opts.Burst || b.now.Sub(x.at) > keep {
			delete(b.buckets, key)
		}
	}
}
