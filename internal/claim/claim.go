// Package claim decides, for the whole system, which request with a given
// idempotency key may run. It guarantees that of all requests with one key, sent
// through any entries at any time within Retention, at most one may run.
//
// Claims are stored in the platform's object API: the key space is split into
// shards of one object each, written by conditional update. The store's version
// check makes a claim exclusive. No process owns a key, so the failure of a
// process loses no claim. Claims that arrive while a write of their shard is in
// flight are batched into the next one. Idle shards aren't cached, so a claim on
// one costs a read and a write.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/verdict"
)

const (
	// Retention is how long a key stays claimed.
	Retention = 24 * time.Hour
	// Shards is the number of objects that the key space is split into. A claim
	// reads and writes its whole shard, so shards must be small: at 90 claims a
	// second in the whole system a shard has about 120 claims from 24 hours,
	// some 16 KB.
	Shards = 1 << 16
	// writeTimeout bounds all reads and writes for one group of changes.
	writeTimeout = 2 * time.Second
	// retryAfter is sent to callers when the platform doesn't answer.
	retryAfter = 2 * time.Second
	keyBytes   = 16
	// minBackoff and maxBackoff bound the exponential backoff between retries to
	// release keys. A shard remembers at most maxUnreleased of them; keys dropped
	// above that stay claimed until Retention has passed, which is safe.
	minBackoff    = 250 * time.Millisecond
	maxBackoff    = 10 * time.Second
	maxUnreleased = 256
)

var (
	granted  = metrics.NewCounter(`jayford_claims_total{result="granted"}`)
	held     = metrics.NewCounter(`jayford_claims_total{result="held"}`)
	failed   = metrics.NewCounter(`jayford_claims_total{result="failed"}`)
	rewrites = metrics.NewCounter("jayford_claim_conflicts_total")
	dropped  = metrics.NewCounter("jayford_claims_left_dropped_total")
)

// Claimer claims keys for one entry.
type Claimer struct {
	store platform.Store
	entry string
	now   func() time.Time

	mu sync.Mutex
	// active are the shards with pending changes, by number, guarded by mu. A
	// shard's own lock is taken after mu.
	active map[int]*shard
}

type shard struct {
	number int

	mu sync.Mutex
	// All below is guarded by mu.
	waiting []*pending
	writing bool
	// version and claims are those last read from or written to the store, valid
	// if cached.
	cached  bool
	version uint64
	claims  []object.Claim
	// unreleased are changes of kind void that wait for the next retry, which is
	// scheduled while retryScheduled is set.
	unreleased     []*pending
	retryScheduled bool
	backoff        time.Duration
}

// kind is the kind of a change.
type kind int

const (
	// take claims a key.
	take kind = iota
	// free releases a key that its request holds.
	free
	// void releases a key that its request may hold, or may get by a write still
	// in flight. It writes the shard even if the claims stay the same, so that
	// the write in flight then fails on its version.
	void
)

// pending is one change that waits for the shard's next write.
type pending struct {
	kind  kind
	claim object.Claim
	done  chan *verdict.Error
}

// New returns a Claimer for the entry with the given instance id.
func New(store platform.Store, entry string) *Claimer {
	return &Claimer{store: store, entry: entry, now: time.Now, active: make(map[int]*shard)}
}

// Claim claims the key for the request and returns nil if the request may run.
// The error Duplicate means that another request has the key and may have run.
// The errors PlatformDown and Deadline mean that the claim couldn't be confirmed
// in time; the request has not run.
func (c *Claimer) Claim(ctx context.Context, organisation, key, request string) *verdict.Error {
	return c.change(ctx, organisation, key, request, take)
}

// Free releases the key of a request that is known not to have run, so that its
// caller may send it again. If the platform doesn't answer in time, Free returns
// PlatformDown, or Deadline if ctx ended first, and the key is released in the
// background later.
func (c *Claimer) Free(ctx context.Context, organisation, key, request string) *verdict.Error {
	return c.change(ctx, organisation, key, request, free)
}

// ShardName returns the name of the object that holds the claims of shard n.
func ShardName(n int) string { return fmt.Sprintf("shard-%04x", n) }

func (c *Claimer) change(ctx context.Context, organisation, key, request string, k kind) *verdict.Error {
	sum := hash(organisation, key)
	p := &pending{
		kind: k,
		done: make(chan *verdict.Error, 1),
		claim: object.Claim{
			Key:     base64.RawURLEncoding.EncodeToString(sum[:keyBytes]),
			Request: request, Entry: c.entry, Until: c.now().Add(Retention),
		},
	}
	c.enqueue(sum.shard(), p)
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		if k == take {
			go c.undo(p, organisation, key, request)
		}
		return verdict.New(verdict.NotRun, verdict.Deadline, "The deadline passed before the key was claimed.")
	}
}

// ShardOf returns the shard number of an organisation's key.
func ShardOf(organisation, key string) int { return hash(organisation, key).shard() }

type keyHash [sha256.Size]byte

func hash(organisation, key string) keyHash {
	return sha256.Sum256([]byte(organisation + "\x00" + key))
}

// shard uses bytes of the hash that aren't part of Claim.Key.
func (h keyHash) shard() int { return int(binary.BigEndian.Uint16(h[keyBytes:])) % Shards }

func (c *Claimer) enqueue(n int, group ...*pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.active[n]
	if s == nil {
		s = &shard{number: n}
		c.active[n] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, group...)
	if !s.writing {
		s.writing = true
		go c.write(s)
	}
}

// undo releases a key that was claimed after its request's deadline: the request
// didn't run, and its caller may send it again.
func (c *Claimer) undo(p *pending, organisation, key, request string) {
	if <-p.done != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_ = c.Free(ctx, organisation, key, request)
}

// write writes the shard's waiting changes in groups until there are none.
func (c *Claimer) write(s *shard) {
	for {
		group := c.next(s)
		if len(group) == 0 {
			return
		}
		c.writeGroup(s, group)
	}
}

// next returns the waiting changes. If there are none, the shard is removed from
// active, unless a retry is scheduled.
func (c *Claimer) next(s *shard) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.waiting
	s.waiting = nil
	s.writing = len(group) > 0
	if !s.writing && !s.retryScheduled {
		delete(c.active, s.number)
	}
	return group
}

// writeGroup writes a group of changes and answers their callers. It starts from
// the cached shard; after a conflict or a lost reply it reads the shard again. A
// lost reply is safe: a claim is granted only once it has been seen in the store
// with this request's id, and a first write that arrives late fails on its
// version. If the group fails, claims that it may have written or may still write
// are kept to be released later.
func (c *Claimer) writeGroup(s *shard, group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	name := ShardName(s.number)
	unclear := false
	for ctx.Err() == nil && c.ensureCached(ctx, s, name) {
		next := c.apply(s, group)
		if !next.changed {
			if c.confirmed(ctx, s, name) {
				c.answer(s, group)
				return
			}
			continue
		}
		err := c.put(ctx, s, name, next.claims)
		if err == nil {
			c.answer(s, group)
			return
		}
		rewrites.Inc()
		unclear = unclear || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrTooLarge) {
			break
		}
		if !c.read(ctx, s, name) {
			break
		}
	}
	c.scheduleRelease(s, group, unclear)
	for _, p := range group {
		failed.Inc()
		p.done <- verdict.New(verdict.NotRun, verdict.PlatformDown,
			"The platform doesn't answer; the key can't be claimed now.").WithRetryAfter(retryAfter)
	}
}

// scheduleRelease keeps the keys of a failed group that must still be released,
// and schedules a retry.
//
// Without it: a write takes effect, its reply is lost and then the platform is
// down. The caller is told that its request hasn't run and sends it again later,
// but the refused request holds the key for the whole Retention. No other process
// can tell that this request didn't run, so this one releases the key as soon as
// the platform answers.
func (c *Claimer) scheduleRelease(s *shard, group []*pending, unclear bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if p.kind == take && !unclear {
			continue
		}
		s.unreleased = append(s.unreleased, &pending{kind: void, claim: p.claim, done: make(chan *verdict.Error, 1)})
	}
	if over := len(s.unreleased) - maxUnreleased; over > 0 {
		dropped.Add(over)
		s.unreleased = append([]*pending(nil), s.unreleased[over:]...)
	}
	if len(s.unreleased) == 0 || s.retryScheduled {
		return
	}
	s.retryScheduled = true
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	// Half of the backoff is jitter, so that entries don't retry in step.
	time.AfterFunc(s.backoff/2+rand.N(s.backoff/2), func() { c.retryRelease(s) })
}

// retryRelease retries the release of a shard's unreleased keys.
func (c *Claimer) retryRelease(s *shard) {
	s.mu.Lock()
	unreleased := s.unreleased
	s.unreleased, s.retryScheduled = nil, false
	s.mu.Unlock()
	c.enqueue(s.number, unreleased...)
}

type applied struct {
	claims  []object.Claim
	changed bool
}

// apply returns the shard's claims after the group's changes, and whether they
// must be written. Expired claims are left out.
func (c *Claimer) apply(s *shard, group []*pending) applied {
	now := c.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := applied{claims: make([]object.Claim, 0, len(s.claims)+len(group))}
	index := make(map[string]int, len(s.claims))
	for _, cl := range s.claims {
		if cl.Until.After(now) {
			index[cl.Key] = len(out.claims)
			out.claims = append(out.claims, cl)
		}
	}
	for _, p := range group {
		i, taken := index[p.claim.Key]
		switch {
		case p.kind != take:
			if taken && out.claims[i].Request == p.claim.Request {
				// Zero rather than now: an entry whose clock is behind would see
				// the key as claimed until its own clock gets there.
				out.claims[i].Until = time.Time{}
				out.changed = true
			}
			out.changed = out.changed || p.kind == void
		case !taken:
			index[p.claim.Key] = len(out.claims)
			out.claims = append(out.claims, p.claim)
			out.changed = true
		}
	}
	return out
}

// confirmed reports whether the cached shard is current, by reading it again. It
// is needed when nothing would be written: the cached claims may be stale, and a
// claim among them may have been released since.
func (c *Claimer) confirmed(ctx context.Context, s *shard, name string) bool {
	s.mu.Lock()
	before := s.version
	s.mu.Unlock()
	if !c.read(ctx, s, name) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version == before
}

// ensureCached reads the shard unless it is cached.
func (c *Claimer) ensureCached(ctx context.Context, s *shard, name string) bool {
	s.mu.Lock()
	cached := s.cached
	s.mu.Unlock()
	return cached || c.read(ctx, s, name)
}

// read refreshes the shard from the store. It returns false if that failed.
func (c *Claimer) read(ctx context.Context, s *shard, name string) bool {
	o, err := c.store.Get(ctx, object.KindClaims, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	var claims object.Claims
	if err == nil {
		if json.Unmarshal(o.Spec, &claims) != nil {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached = true
	s.version = o.Version
	s.claims = claims.Claims
	return true
}

func (c *Claimer) put(ctx context.Context, s *shard, name string, claims []object.Claim) error {
	spec, err := json.Marshal(object.Claims{Format: object.Format, Claims: claims})
	if err != nil {
		return err
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	v, err := c.store.Put(ctx, platform.Object{
		Kind: object.KindClaims, Name: name, Version: version, Operation: platform.NewOperation(), Spec: spec,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
	s.claims = claims
	return nil
}

// answer replies to each change of the group, by the claims now in the store.
func (c *Claimer) answer(s *shard, group []*pending) {
	s.mu.Lock()
	s.backoff = 0
	owner := make(map[string]string, len(s.claims))
	for _, cl := range s.claims {
		owner[cl.Key] = cl.Request
	}
	s.mu.Unlock()
	for _, p := range group {
		if p.kind != take || owner[p.claim.Key] == p.claim.Request {
			granted.Inc()
			p.done <- nil
			continue
		}
		held.Inc()
		p.done <- verdict.New(verdict.MayHaveRun, verdict.Duplicate,
			"A request with this key was sent before; it may have run.")
	}
}
