// Package place ranks backend servers for one request of an entry (package
// entry): prefill by predicted time to first token (TTFT), decode by predicted
// wait for a slot, plain services by load. All input is a hint; the agent of
// the chosen server makes the admission decision, so a wrong guess costs a
// refusal and a retry.
//
// The cost of a decision grows with Options.Subset, not with the pool size.
package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/settings"
)

// Values used for a server that has not reported its own yet: the prefill time of 1,000
// tokens, the time of one output token, and the number of slots.
const (
	defaultPrefillPerThousand = 100 * time.Millisecond
	defaultTokenTime          = 30 * time.Millisecond
	defaultSlots              = 1
)

// Defaults of Options.
const (
	DefaultSubset  = 16
	DefaultChoices = 8
	// DefaultHalfLife suits engines, whose requests last for seconds.
	DefaultHalfLife = 5 * time.Second
	// DefaultServiceHalfLife suits plain services, whose calls are short.
	DefaultServiceHalfLife = 100 * time.Millisecond
	// DefaultCrossZone is the cost of moving the KV cache of 1,000 prompt
	// tokens to another availability zone.
	DefaultCrossZone = 20 * time.Millisecond
)

// cachedChoices is how many servers with the longest cached prefix are
// considered besides the random choices, so that sampling doesn't miss them.
const cachedChoices = 2

// queueDrainFraction is the fraction of a server's prefill rate at which its
// queue is assumed to have shrunk since the hint.
const queueDrainFraction = 0.5

// Candidate is an entry's view of one server.
type Candidate struct {
	ID, AvailabilityZone string
	Slots, Used, Queued  int
	// QueuedTokens is the number of prompt tokens waiting for prefill or in it.
	QueuedTokens                  int64
	PrefillPerThousand, TokenTime time.Duration
	// Age is the age of the hint that Used, Queued and QueuedTokens come from.
	Age time.Duration
	// Pending and PendingTokens count the entry's own placements that the hint
	// doesn't include yet.
	Pending       int
	PendingTokens int64
	// CachedTokens is how many tokens of this prompt are in the server's prefix
	// cache.
	CachedTokens int
	// LastResort servers are ranked behind all others.
	LastResort bool
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	PromptTokens, MaxTokens int
	// AvailabilityZone is the preferred one: the decode server's for a
	// prefill, the entry's otherwise. Empty means no preference.
	AvailabilityZone string
	// Interactive requests are ranked by time only. For others the prefill work
	// that a cached prefix saves counts a second time, by Options.CacheWeight.
	Interactive bool
	// Prefix is the first of the prompt's prefix hashes, 0 if it has none. Prompts
	// with a common prefix have affinity to the same server, their home.
	Prefix uint64
	// Reuse is PrefixIndex.Reuse: the least fraction of the prompt that the home
	// server is assumed to have cached.
	Reuse float64
}

// Options configure the ranking. The zero value is the default policy.
type Options struct {
	// Mode is settings.PlacementPolicy (or empty), PlacementRoundRobin or
	// PlacementLeastLoaded.
	Mode string
	// Turn is the caller's counter for round robin.
	Turn uint64
	// Subset is how many servers a decision considers; 0 for DefaultSubset.
	Subset int
	// Pool is the size of the pool that the candidates were taken from; 0 if
	// they are the whole pool. Pools of up to Subset servers are ranked whole.
	Pool int
	// Choices is the d of power-of-d choices inside the subset of a big pool;
	// 0 for DefaultChoices.
	Choices int
	// HalfLife is the age at which a hint has half its weight, 0 for DefaultHalfLife
	// or, in Service, DefaultServiceHalfLife.
	HalfLife time.Duration
	// CrossZone is the cost of moving the KV cache of 1,000 prompt tokens to
	// another availability zone, 0 for DefaultCrossZone.
	CrossZone time.Duration
	// CacheWeight is settings.Policy.WastedPrefillWeight.
	CacheWeight float64
}

func (p Options) withDefaults() Options {
	p.Subset = cmp.Or(max(0, p.Subset), DefaultSubset)
	p.Choices = cmp.Or(max(0, p.Choices), DefaultChoices)
	p.HalfLife = cmp.Or(max(0, p.HalfLife), DefaultHalfLife)
	p.CrossZone = cmp.Or(max(0, p.CrossZone), DefaultCrossZone)
	return p
}

// Prefill ranks servers for a prefill and returns their indexes, best first.
// With more than Options.Subset candidates it returns a random sample of that
// size; a caller that has tried all of them calls it again.
func Prefill(c []Candidate, r Request, p Options, rnd *rand.Rand) []int {
	return rank(c, r, p.withDefaults(), rnd, prefillScore)
}

// Decode ranks servers for a decode slot as Prefill does.
func Decode(c []Candidate, r Request, p Options, rnd *rand.Rand) []int {
	return rank(c, r, p.withDefaults(), rnd, decodeScore)
}

// Service ranks servers for a call of a plain service as Prefill does.
func Service(c []Candidate, r Request, p Options, rnd *rand.Rand) []int {
	p.HalfLife = cmp.Or(max(0, p.HalfLife), DefaultServiceHalfLife)
	return rank(c, r, p.withDefaults(), rnd, serviceScore)
}

// PredictTTFT predicts the time to first token of r at c: the prefill of the
// prompt tokens queued ahead of it and of its own that aren't cached, and one
// decode step. It ignores the age of the hint, which Prefill discounts.
func PredictTTFT(c Candidate, r Request) time.Duration {
	ahead := c.QueuedTokens + c.PendingTokens
	own := max(0, r.PromptTokens-c.CachedTokens)
	return prefillTime(&c, ahead+int64(own)) + tokenTime(&c)
}

func prefillTime(c *Candidate, tokens int64) time.Duration {
	per := cmp.Or(c.PrefillPerThousand, defaultPrefillPerThousand)
	return time.Duration(float64(tokens) / 1000 * float64(per))
}

func tokenTime(c *Candidate) time.Duration {
	return cmp.Or(c.TokenTime, defaultTokenTime)
}

// scorer predicts the cost of r at c as a duration; lower is better.
type scorer func(c *Candidate, r *Request, p *Options) time.Duration

func prefillScore(c *Candidate, r *Request, p *Options) time.Duration {
	score := PredictTTFT(*c, *r) + transferCost(c, r, p)
	if !r.Interactive {
		own := max(0, r.PromptTokens-c.CachedTokens)
		score += time.Duration(p.CacheWeight * float64(prefillTime(c, int64(own))))
	}
	return score
}

func transferCost(c *Candidate, r *Request, p *Options) time.Duration {
	if r.AvailabilityZone == "" || c.AvailabilityZone == r.AvailabilityZone {
		return 0
	}
	return time.Duration(float64(r.PromptTokens) / 1000 * float64(p.CrossZone))
}

// decodeScore is the expected wait for a slot, assuming that the other responses
// are as long as this one, plus a penalty for load, as a fuller batch increases the
// inter-token latency of all its streams, and the cost of moving the KV cache to another
// availability zone.
func decodeScore(c *Candidate, r *Request, p *Options) time.Duration {
	answer := time.Duration(max(1, r.MaxTokens)) * tokenTime(c)
	slots := cmp.Or(c.Slots, defaultSlots)
	taken := c.Used + c.Queued + c.Pending
	wait := time.Duration(0)
	if over := taken + 1 - slots; over > 0 {
		wait = answer * time.Duration(over) / time.Duration(slots)
	}
	load := time.Duration(loadOf(c) * float64(tokenTime(c)))
	return wait + load + transferCost(c, r, p)
}

// serviceScore is the load, with a full server at one millisecond, plus a quarter of that
// for another availability zone: a call leaves its zone only for a server whose load per
// slot is lower by more than a quarter.
func serviceScore(c *Candidate, r *Request, _ *Options) time.Duration {
	score := time.Duration(loadOf(c) * float64(time.Millisecond))
	if r.AvailabilityZone != "" && c.AvailabilityZone != r.AvailabilityZone {
		score += time.Millisecond / 4
	}
	return score
}

// loadOf returns the number of requests per slot at c.
func loadOf(c *Candidate) float64 {
	return float64(c.Used+c.Queued+c.Pending) / float64(cmp.Or(c.Slots, defaultSlots))
}

type scored struct {
	index      int
	score      float64
	cached     int
	lastResort bool
}

func rank(c []Candidate, r Request, p Options, rnd *rand.Rand, score scorer) []int {
	switch p.Mode {
	case settings.PlacementRoundRobin:
		return roundRobin(c, p.Turn)
	case settings.PlacementLeastLoaded:
		return leastLoaded(c, rnd)
	}
	list := sample(len(c), p.Subset, rnd)
	mean := meanLoad(c, list, p.HalfLife)
	home := homeIndex(c, list, r.Prefix)
	var discounted Candidate
	for i := range list {
		discounted = mean.discount(&c[list[i].index], p.HalfLife)
		if i == home {
			discounted.CachedTokens = max(discounted.CachedTokens, int(r.Reuse*float64(r.PromptTokens)))
		}
		list[i].score = float64(score(&discounted, &r, &p))
		list[i].cached = discounted.CachedTokens
		list[i].lastResort = discounted.LastResort
	}
	if max(len(c), p.Pool) <= p.Subset {
		return indexes(byScore(list))
	}
	n := moveChoicesToFront(list, p.Choices)
	byScore(list[:n])
	byScore(list[n:])
	slices.SortStableFunc(list, func(a, b scored) int { return compareLastResort(a.lastResort, b.lastResort) })
	return indexes(list)
}

// homeIndex returns the index in list of the prefix's home, the server with the
// highest rendezvous hash of prefix and id, or -1 without a prefix. An entry
// knows only its own placements, so without a common home each entry would fill
// another server's cache with the same prefix. The preference for the home grows
// with Request.Reuse, so that prompts without common prefixes are spread by load.
func homeIndex(c []Candidate, list []scored, prefix uint64) int {
	best, highest := -1, uint64(0)
	if prefix == 0 {
		return best
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	var h xxhash.Digest
	for i := range list {
		h.Reset()
		_, _ = h.Write(key[:])
		_, _ = h.WriteString(c[list[i].index].ID)
		if sum := h.Sum64(); best < 0 || sum > highest {
			best, highest = i, sum
		}
	}
	return best
}

// moveChoicesToFront moves d elements of the randomly ordered list, and those with the
// longest cached prefix, to the front and returns how many they are. If all
// entries ranked the whole list by the same stale hints, they would choose the
// same server at the same time.
func moveChoicesToFront(list []scored, d int) int {
	n := min(d, len(list))
	for range cachedChoices {
		best := -1
		for i := n; i < len(list); i++ {
			if list[i].cached > 0 && (best < 0 || list[i].cached > list[best].cached) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		list[n], list[best] = list[best], list[n]
		n++
	}
	return n
}

// sample returns min(n, k) different indexes below n in random order, so that
// ties are broken at random. It uses Floyd's algorithm, whose cost depends on k
// and not on n.
func sample(n, k int, rnd *rand.Rand) []scored {
	k = min(n, k)
	list := make([]scored, 0, k)
	for top := n - k; top < n; top++ {
		pick := rnd.IntN(top + 1)
		if slices.ContainsFunc(list, func(s scored) bool { return s.index == pick }) {
			pick = top
		}
		list = append(list, scored{index: pick})
	}
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func byScore(list []scored) []scored {
	slices.SortStableFunc(list, func(a, b scored) int {
		return cmp.Or(compareLastResort(a.lastResort, b.lastResort), cmp.Compare(a.score, b.score))
	})
	return list
}

func compareLastResort(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func indexes(list []scored) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = list[i].index
	}
	return out
}

func roundRobin(c []Candidate, turn uint64) []int {
	list := make([]scored, len(c))
	for i := range list {
		list[i] = scored{index: i, lastResort: c[i].LastResort}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(c[a.index].ID, c[b.index].ID) })
	for i := range list {
		n := uint64(len(list))
		list[i].score = float64((uint64(i) + n - turn%n) % n)
	}
	return indexes(byScore(list))
}

func leastLoaded(c []Candidate, rnd *rand.Rand) []int {
	list := sample(len(c), len(c), rnd)
	for i := range list {
		s := &list[i]
		s.score, s.lastResort = loadOf(&c[s.index]), c[s.index].LastResort
	}
	return indexes(byScore(list))
}

// load is the mean of the hints, weighted by their freshness.
type load struct {
	used, queued, queuedTokens, slots float64
}

func freshness(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

func meanLoad(c []Candidate, list []scored, halfLife time.Duration) load {
	var m load
	total := 0.0
	for i := range list {
		s := &c[list[i].index]
		w := freshness(s.Age, halfLife)
		total += w
		m.used += w * float64(s.Used)
		m.queued += w * float64(s.Queued)
		m.queuedTokens += w * remainingTokens(s)
		m.slots += w * float64(s.Slots)
	}
	if total < math.SmallestNonzeroFloat32 {
		return load{}
	}
	return load{m.used / total, m.queued / total, m.queuedTokens / total, m.slots / total}
}

// remainingTokens estimates how many of the queued prompt tokens in a hint are
// left. The server has processed some since, and got new work that this entry
// doesn't see, so the queue is assumed to shrink at queueDrainFraction of the
// prefill rate. Otherwise a server that once looked full would get no request,
// and thus no newer hint.
func remainingTokens(c *Candidate) float64 {
	per := cmp.Or(c.PrefillPerThousand, defaultPrefillPerThousand)
	done := queueDrainFraction * 1000 * float64(max(0, c.Age)) / float64(per)
	return max(0, float64(c.QueuedTokens)-done)
}

// discount moves a stale hint towards the mean of the fresher ones. Otherwise a
// server that once looked idle would get all requests until its next response.
func (m load) discount(c *Candidate, halfLife time.Duration) Candidate {
	w := freshness(c.Age, halfLife)
	out := *c
	out.Used = int(math.Round(w*float64(c.Used) + (1-w)*m.used))
	out.Queued = int(math.Round(w*float64(c.Queued) + (1-w)*m.queued))
	out.QueuedTokens = int64(w*remainingTokens(c) + (1-w)*m.queuedTokens)
	if out.Slots == 0 {
		// A server that has not reported yet gets the mean load. With the single
		// slot of defaultSlots it would look full and never get a request.
		out.Slots = int(math.Round(m.slots))
	}
	return out
}

// Subset returns the n ids that the entry considers: those with the highest
// rendezvous hash of entry and id, highest first. Adding or removing an id changes
// the subset by that id only, and different entries get different subsets, so that
// together they cover the pool. Of up to n ids it returns all. Its cost grows with
// the pool: call it when membership changes.
func Subset(entry string, ids []string, n int) []string {
	type weighted struct {
		id   string
		hash uint64
	}
	all := make([]weighted, len(ids))
	var h xxhash.Digest
	for i, id := range ids {
		h.Reset()
		_, _ = h.WriteString(entry)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(id)
		all[i] = weighted{id, h.Sum64()}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	all = all[:min(max(0, n), len(all))]
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].id
	}
	return out
}
