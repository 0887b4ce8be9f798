package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/confirm"
	"jayford.example/jayford/internal/verdict"
)

// sharedStore is a store of some gateways, each of which can be refused.
type sharedStore struct {
	platform.Store

	mu sync.Mutex
	// All below is guarded by mu.
	revision uint64
	events   []platform.Object
	// refused gateways get an error at once, silenced ones no answer.
	refused, silenced map[string]bool
	// compacted is the revision up to which the history is gone.
	compacted uint64
	changed   chan struct{}
	calls     map[string]int
}

func newSharedStore() *sharedStore {
	return &sharedStore{refused: map[string]bool{}, silenced: map[string]bool{}, calls: map[string]int{}, changed: make(chan struct{})}
}

func (s *sharedStore) put(kind, name string, spec any, deleted bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, platform.Object{Kind: kind, Name: name, Version: s.revision, Deleted: deleted, Spec: text})
	s.notifyLocked()
}

func (s *sharedStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) refuse(refused bool, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.refused[id] = refused
	}
	s.notifyLocked()
}

// silence makes the store's answers to a gateway go missing, those to calls under way too.
func (s *sharedStore) silence(silenced bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced[id] = silenced
}

// compact makes the store forget its history.
func (s *sharedStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

// sharedStoreClient is the store as one gateway sees it.
type sharedStoreClient struct {
	*sharedStore
	id string
}

func (c sharedStoreClient) begin(ctx context.Context, kind string) error {
	c.mu.Lock()
	c.calls[kind]++
	refused, silenced := c.refused[c.id], c.silenced[c.id]
	c.mu.Unlock()
	switch {
	case refused:
		return platform.ErrUnavailable
	case silenced:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// beginAfter begins a call for the changes behind a revision.
func (c sharedStoreClient) beginAfter(ctx context.Context, kind string, after uint64) error {
	if err := c.begin(ctx, kind); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.compacted {
		return platform.ErrCompacted
	}
	return nil
}

func (c sharedStoreClient) sinceLocked(kind string, after uint64) platform.Listing {
	out := platform.Listing{Revision: c.revision}
	for _, o := range c.events {
		if o.Kind == kind && o.Version > after {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

func (c sharedStoreClient) List(ctx context.Context, kind string) (platform.Listing, error) {
	if err := c.begin(ctx, kind); err != nil {
		return platform.Listing{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := map[string]platform.Object{}
	for _, o := range c.sinceLocked(kind, 0).Objects {
		latest[o.Name] = o
	}
	out := platform.Listing{Revision: c.revision}
	for _, o := range latest {
		if !o.Deleted {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

func (c sharedStoreClient) Get(ctx context.Context, _, _ string) (platform.Object, error) {
	if err := c.begin(ctx, "probe"); err != nil {
		return platform.Object{}, err
	}
	return platform.Object{}, platform.ErrNotFound
}

func (c sharedStoreClient) Poll(ctx context.Context, kind string, after uint64) (platform.Listing, error) {
	if err := c.beginAfter(ctx, kind, after); err != nil {
		return platform.Listing{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceLocked(kind, after), nil
}

func (c sharedStoreClient) Watch(ctx context.Context, kind string, after uint64) (platform.Listing, error) {
	if err := c.beginAfter(ctx, kind, after); err != nil {
		return platform.Listing{}, err
	}
	end, _ := ctx.Deadline()
	held := time.After(time.Until(end) - 100*time.Millisecond)
	for timedOut := false; ; {
		c.mu.Lock()
		refused, silenced, l, changed := c.refused[c.id], c.silenced[c.id], c.sinceLocked(kind, after), c.changed
		c.mu.Unlock()
		switch {
		case silenced:
			<-ctx.Done()
			return platform.Listing{}, ctx.Err()
		case refused:
			return platform.Listing{}, platform.ErrUnavailable
		case len(l.Objects) > 0 || timedOut:
			return l, nil
		}
		select {
		case <-changed:
		case <-held:
			timedOut = true
		case <-ctx.Done():
			return platform.Listing{}, ctx.Err()
		}
	}
}

// keyDecoder decodes a configuration with a version and keys, and servers by their id.
type keyDecoder struct{}

type storedKeys struct {
	Version uint64
	Keys    []string
}

func (keyDecoder) Config(o platform.Object) (*catalog.Config, error) {
	var s storedKeys
	err := json.Unmarshal(o.Spec, &s)
	return configWithKeys(s.Version, s.Keys...), err
}

func (keyDecoder) Server(o platform.Object) (catalog.Server, error) {
	var s catalog.Server
	err := json.Unmarshal(o.Spec, &s)
	return s, err
}

// sharingFleet is a few gateways with one store, joined by datagrams.
type sharingFleet struct {
	store *sharedStore
	ids   []string
	g     map[string]*Gateway
	logs  map[string]*lockedBuffer

	perZone int
	expiry  time.Duration
	// softwareChanged gets the ids of gateways whose software versions changed; it may be nil.
	softwareChanged chan string

	ctx     context.Context
	running sync.WaitGroup

	mu sync.Mutex
	// members, cut and drops are guarded by mu. members are the gateways that others know. cut:
	// no datagrams pass. drops reports whether one is lost; it may be nil.
	members []string
	cut     bool
	drops   func(from, to string, m *pb.StoreMessage) bool
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const sharedExpiry = 2 * time.Second

func newSharingFleet(t *testing.T, n int) *sharingFleet {
	t.Helper()
	return newRelayingFleet(t, n, 0)
}

// newRelayingFleet returns gateways of one zone, perZone of which follow the store for all.
func newRelayingFleet(t *testing.T, n, perZone int) *sharingFleet {
	t.Helper()
	f := prepareFleet(t, n, perZone, sharedExpiry)
	f.startAll()
	return f
}

// prepareFleet is newRelayingFleet without the start, and with another expiry of keys.
func prepareFleet(t *testing.T, n, perZone int, expiry time.Duration) *sharingFleet {
	t.Helper()
	f := &sharingFleet{store: newSharedStore(), g: map[string]*Gateway{}, logs: map[string]*lockedBuffer{}, perZone: perZone, expiry: expiry}
	f.store.put("config", "main", storedKeys{Version: 1, Keys: []string{"stays", "goes"}}, false)
	for _, s := range testServers() {
		f.store.put("servers", s.ID, s, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.ctx = ctx
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	for i := range n {
		f.ids = append(f.ids, fmt.Sprint("g", i))
	}
	f.setMembers(f.ids)
	for _, id := range f.ids {
		f.add(id)
	}
	return f
}

func (f *sharingFleet) startAll() {
	for _, id := range f.ids {
		f.start(id)
	}
}

func (f *sharingFleet) setMembers(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.Clone(ids)
}

func (f *sharingFleet) zone() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

func (f *sharingFleet) start(id string) {
	sources := Sources{Store: sharedStoreClient{f.store, id}, Decoder: keyDecoder{}, ConfigKind: "config", ConfigName: "main", ServerKind: "servers"}
	f.running.Go(func() { _ = f.g[id].Follow(f.ctx, sources) })
}

// add makes a gateway.
func (f *sharingFleet) add(id string) {
	log := &lockedBuffer{}
	l := logrus.New()
	l.SetOutput(log)
	l.SetFormatter(&logrus.JSONFormatter{})
	backend := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("x")), nil }}
	g := New(Options{
		ID: id, AvailabilityZone: "z", Backend: backend, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		KeyExpiry: f.expiry, FollowersPerZone: f.perZone, Log: l,
	})
	settleBudget(g)
	f.mu.Lock()
	f.g[id], f.logs[id] = g, log
	f.mu.Unlock()
	g.ShareStore(StoreSharing{
		Self: id, Zones: func() map[string][]string { return map[string][]string{"z": f.zone()} }, Peers: func() []string { return f.others(id) },
		Send: func(to string, m *pb.StoreMessage) bool { return f.send(id, to, m) },
	})
}

// send delivers a datagram, unless it is lost or too large.
func (f *sharingFleet) send(from, to string, m *pb.StoreMessage) bool {
	if proto.Size(m) > 1150 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.g[to]; g != nil && !f.cut && (f.drops == nil || !f.drops(from, to, m)) {
		go g.HandleStore(from, proto.CloneOf(m))
	}
	return true
}

func (f *sharingFleet) others(self string) []string {
	var out []string
	for _, id := range f.zone() {
		if id != self {
			out = append(out, id)
		}
	}
	return out
}

func (f *sharingFleet) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// ask sends a request with a key through a gateway and returns why it was refused, "" if it
// wasn't.
func (f *sharingFleet) ask(t *testing.T, id, key string) verdict.Code {
	t.Helper()
	reply, err := f.g[id].Serve(t.Context(), withKey(call("/again/x"), key))
	if err != nil {
		return err.Code
	}
	assert.NilError(t, reply.Body.Close())
	return ""
}

func (f *sharingFleet) awaitReady(t *testing.T) {
	t.Helper()
	assertSoon(t, 5*time.Second, "a gateway doesn't accept its key", func() bool {
		for _, id := range f.ids {
			if f.ask(t, id, "stays") != "" {
				return false
			}
		}
		return true
	})
}

func assertSoon(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// Guards against refusals by gateways that the store refuses while others are in contact,
// and against a removed key that they accept past its expiry because others confirm the copy
// they have. Half of the time datagrams pass, then none do.
func TestGatewaysCutOffFromTheStoreAreConfirmedByOthers(t *testing.T) {
	t.Parallel()
	f := newSharingFleet(t, 6)
	f.awaitReady(t)
	f.store.refuse(true, "g0", "g1")
	for end := time.Now().Add(3 * sharedExpiry); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range f.ids {
			assert.Equal(t, f.ask(t, id, "stays"), verdict.Code(""), id)
		}
	}
	assert.Assert(t, strings.Contains(f.logs["g0"].String(), `"by":"peers"`), f.logs["g0"].String())
	dump, err := f.g["g0"].opts.Board.Dump()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(dump), `"By": "peers"`))

	removed := time.Now()
	f.store.put("config", "main", storedKeys{Version: 2, Keys: []string{"stays"}}, false)
	for time.Since(removed) < 2*sharedExpiry {
		for _, id := range f.ids {
			asked := time.Now()
			if code := f.ask(t, id, "goes"); code == "" {
				assert.Assert(t, asked.Sub(removed) < sharedExpiry, "%s accepts a key %v after its removal", id, asked.Sub(removed))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, f.ask(t, "g0", "stays"), verdict.PlatformDown, "its copy lacks a change")
	assert.Equal(t, f.ask(t, "g5", "stays"), verdict.Code(""))

	f.store.refuse(false, "g0", "g1")
	f.awaitReady(t)
	assert.Equal(t, f.ask(t, "g0", "goes"), verdict.Unauthorized)
	f.setCut(true)
	f.store.refuse(true, "g0")
	assertSoon(t, 2*sharedExpiry, "a gateway that is cut off from the store and others accepts keys", func() bool {
		return f.ask(t, "g0", "stays") == verdict.PlatformDown
	})
	assert.Equal(t, f.ask(t, "g3", "stays"), verdict.Code(""), "without datagrams the store still confirms")
}

// Guards against refusals early in an outage of the whole store: all gateways rely on the
// freshest confirmation, for nearly the whole of the keys' expiry.
func TestWholeOutageIsOutlastedForTheExpiry(t *testing.T) {
	t.Parallel()
	f := newSharingFleet(t, 6)
	f.awaitReady(t)
	time.Sleep(2 * time.Second)
	began := time.Now()
	f.store.refuse(true, f.ids...)
	served := make(map[string]time.Duration)
	for len(served) < len(f.ids) {
		for _, id := range f.ids {
			if served[id] == 0 && f.ask(t, id, "stays") != "" {
				served[id] = time.Since(began)
			}
		}
		assert.Assert(t, time.Since(began) < sharedExpiry+time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("first refusals after %v", served)
	for id, d := range served {
		assert.Assert(t, d > sharedExpiry-900*time.Millisecond, "%s refuses after %v", id, d)
		assert.Assert(t, d < sharedExpiry+50*time.Millisecond, "%s accepts keys %v into an outage", id, d)
	}
}

// Guards against ages that are rounded down, and impossible ones that become valid.
func TestStoreMessagesKeepTheirMeaning(t *testing.T) {
	f := newSharingFleet(t, 1)
	f.awaitReady(t)
	c := f.g["g0"].confirmations
	c.mu.Lock()
	before := c.machine.Counts().Malformed
	c.mu.Unlock()
	f.g["g0"].HandleStore("g1", &pb.StoreMessage{Answers: 1, Copies: []*pb.StoreCopy{{Kind: "config", Changed: 1, AgeUs: 1 << 63}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, c.machine.Counts().Malformed, before+1)
	m := encodeStore(confirm.Message{Answers: 1, Copies: []confirm.Answer{{Kind: "config", Changed: 1, Age: 1500}}})
	assert.Equal(t, m.Copies[0].AgeUs, uint64(2))
}
