// Package claim decides, for the whole system, which request with a given
// idempotency key may run. It guarantees that of all requests with one key, sent
// through any entries at any time within Retention, at most one is told to run.
//
// The claims live in the platform's object API, grouped: the key space is split
// into shards of one object each, written by conditional update. The store's
// check of the version is what makes a claim exclusive; no process is a home for
// a key, so no failure of a process can forget one. Claims that arrive while a
// shard's write is under way go out together with the next one. Nothing of a
// shard is kept between: a claim costs one read and one write.
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
	// Shards is how many objects share the key space. A claim reads and writes
	// its whole shard, so there are many: at 90 claims a second in the whole
	// system a shard has about 120 claims of 24 hours, some 16 KB.
	Shards = 1 << 16
	// settleWithin bounds one round of reading and writing a shard.
	settleWithin = 2 * time.Second
	// retryAfter is told to callers when the platform doesn't answer.
	retryAfter = 2 * time.Second
	keyBytes   = 16
	// What is left to be given back is tried again after a growing pause. A
	// shard keeps at most maxLeft of them; keys dropped above that stay claimed
	// until Retention, which is safe.
	minPause = 250 * time.Millisecond
	maxPause = 10 * time.Second
	maxLeft  = 256
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
	// active are the shards that have something to do, by number, guarded by
	// mu. A shard's own lock is taken after mu.
	active map[int]*shard
}

type shard struct {
	number int

	mu sync.Mutex
	// All below is guarded by mu.
	waiting []*pending
	writing bool
	// version and claims are what the store last said, if known.
	known   bool
	version uint64
	claims  []object.Claim
	// left are changes of kind void that wait for the platform.
	left    []*pending
	pausing bool
	pause   time.Duration
}

// kind of a change.
type kind int

const (
	// take claims a key.
	take kind = iota
	// free gives back a key that its request holds.
	free
	// void gives back a key that its request may hold or may yet come to hold,
	// by a write on its way to the platform. It writes the shard in any case:
	// that write fails on its version then.
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

// Claim returns nil if the request may run: its key is its own now. The error
// Duplicate says that another request has the key and may have run. The error
// PlatformDown says that the platform gave no answer; the request has not run.
func (c *Claimer) Claim(ctx context.Context, organisation, key, request string) *verdict.Error {
	return c.change(ctx, organisation, key, request, take)
}

// Free gives the key back after the request is known not to have run, so that
// its caller may send it again. If the platform doesn't answer in time, Free
// returns PlatformDown and the key is given back in the background later.
func (c *Claimer) Free(ctx context.Context, organisation, key, request string) *verdict.Error {
	return c.change(ctx, organisation, key, request, free)
}

// ShardName is the name of the object that holds the claims of shard n.
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

// ShardOf is the shard of an organisation's key.
func ShardOf(organisation, key string) int { return hash(organisation, key).shard() }

type keyHash [sha256.Size]byte

func hash(organisation, key string) keyHash {
	return sha256.Sum256([]byte(organisation + "\x00" + key))
}

// shard uses bytes that the claim's own key doesn't hold.
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

// undo frees a key that was claimed after its request had been given up: the
// request didn't run, and its caller may send it again.
func (c *Claimer) undo(p *pending, organisation, key, request string) {
	if <-p.done != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleWithin)
	defer cancel()
	_ = c.Free(ctx, organisation, key, request)
}

// write serves the shard's waiting changes in groups until none is left.
func (c *Claimer) write(s *shard) {
	for {
		group := c.next(s)
		if len(group) == 0 {
			return
		}
		c.writeGroup(s, group)
	}
}

// next takes the changes that wait. Without any the shard is forgotten, unless
// something is left to be given back.
func (c *Claimer) next(s *shard) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.waiting
	s.waiting = nil
	s.writing = len(group) > 0
	if !s.writing && !s.pausing {
		delete(c.active, s.number)
	}
	return group
}

// writeGroup settles a group. The shard as last seen is tried first; a conflict
// or a lost reply is followed by a fresh read. A lost reply does no harm: a claim
// is granted only once it has been seen in the store with this request's id,
// and a late first write fails on its version. If the group is given up, what it
// may have written, or may write yet, is left to be given back.
func (c *Claimer) writeGroup(s *shard, group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWithin)
	defer cancel()
	name := ShardName(s.number)
	unclear := false
	for ctx.Err() == nil && c.ensure(ctx, s, name) {
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
	c.leave(s, group, unclear)
	for _, p := range group {
		failed.Inc()
		p.done <- verdict.New(verdict.NotRun, verdict.PlatformDown,
			"The platform doesn't answer; the key can't be claimed now.").WithRetryAfter(retryAfter)
	}
}

// leave keeps what of a given up group is still to be given back.
//
// The failure: a write takes effect, its reply is lost and then the platform is
// down. The caller hears that its request hasn't run and sends it again later,
// but the key would be held by the request that was refused for the whole
// Retention. Nobody else knows that this one didn't run, so this process gives
// the key back as soon as the platform answers.
func (c *Claimer) leave(s *shard, group []*pending, unclear bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if p.kind == take && !unclear {
			continue
		}
		s.left = append(s.left, &pending{kind: void, claim: p.claim, done: make(chan *verdict.Error, 1)})
	}
	if over := len(s.left) - maxLeft; over > 0 {
		dropped.Add(over)
		s.left = append([]*pending(nil), s.left[over:]...)
	}
	if len(s.left) == 0 || s.pausing {
		return
	}
	s.pausing = true
	s.pause = min(max(2*s.pause, minPause), maxPause)
	// Half of the pause is drawn, so that entries don't come back together.
	time.AfterFunc(s.pause/2+rand.N(s.pause/2), func() { c.giveBack(s) })
}

// giveBack tries again to give back what is left of a shard.
func (c *Claimer) giveBack(s *shard) {
	s.mu.Lock()
	left := s.left
	s.left, s.pausing = nil, false
	s.mu.Unlock()
	c.enqueue(s.number, left...)
}

type applied struct {
	claims  []object.Claim
	changed bool
}

// apply works out the shard's claims with the group's changes.
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
				// Not now: an entry whose clock is behind would see the key
				// as claimed for as long as that.
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

// confirmed reads the shard when nothing would be written: what it last said
// may be old, and a claim that it shows may have been freed since.
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

// ensure reads the shard if nothing is known of it.
func (c *Claimer) ensure(ctx context.Context, s *shard, name string) bool {
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	return known || c.read(ctx, s, name)
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
	s.known = true
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

// answer tells each of the group what the store now says.
func (c *Claimer) answer(s *shard, group []*pending) {
	s.mu.Lock()
	s.pause = 0
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
