package gateway

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/policy/confirm"
	"jayford.example/jayford/internal/policy/relay"
)

var (
	storeQuestions     = metrics.NewCounter("jayford_gateway_store_questions_total")
	storeConfirmations = metrics.NewCounter("jayford_gateway_store_peer_confirmations_total")
	storeNewer         = metrics.NewCounter("jayford_gateway_store_newer_at_peer_total")
	storeLate          = metrics.NewCounter("jayford_gateway_store_late_answers_total")
	storeMalformed     = metrics.NewCounter("jayford_gateway_store_malformed_total")
	storePolls         = metrics.NewCounter("jayford_gateway_store_polls_total")
	serversAge         = metrics.NewFloatCounter("jayford_gateway_servers_age_seconds")
	configAge          = metrics.NewFloatCounter("jayford_gateway_config_age_seconds")
)

// DefaultMaxAge is Options.MaxServerAge and Options.MaxConfigAge where they aren't set.
const DefaultMaxAge = 2 * time.Second

// membersInterval is how often the lists of gateways are read.
const membersInterval = time.Second

// StoreSharing is how a gateway asks others what they know of the store.
type StoreSharing struct {
	// Peers returns the addresses of the other gateways.
	Peers func() []string
	// Self is this gateway's address, and Zones returns the addresses of all gateways by
	// availability zone, itself among them. They are used with Options.FollowersPerZone.
	Self  string
	Zones func() map[string][]string
	// Send sends a datagram to a gateway, and may lose it. It reports whether the message fits
	// into one.
	Send func(to string, m *pb.StoreMessage) bool
}

// reliance is what a gateway's confirmation of the configuration rests on.
type reliance int

const (
	relianceNone reliance = iota
	relianceStore
	reliancePeers
)

func (r reliance) String() string { return [...]string{"none", "store", "peers"}[r] }

// confirmations exchanges what gateways know of the store: as of when their copies lack no
// change, and changes where some gateways of a zone follow the store for the others.
type confirmations struct {
	log *logrus.Entry
	// expiry is Options.KeyExpiry, perZone is Options.FollowersPerZone, now reads the boot time.
	expiry  time.Duration
	perZone int
	zone    string
	now     func() time.Duration
	// Options.MaxServerAge and Options.MaxConfigAge, or the default.
	maxServerAge, maxConfigAge time.Duration

	mu sync.Mutex
	// All below is guarded by mu. rely and followers are set by run.
	machine   *confirm.Machine
	sharing   StoreSharing
	rely      func(at time.Duration)
	followers map[string]*follow.Follower
	sources   Sources
	copy      confirm.Copy
	mode      reliance
	// relay is nil before run, and without FollowersPerZone. relayed: this gateway doesn't follow
	// the store itself, failing: its calls fail.
	relay            *relay.Machine
	relayed, failing bool

	// members is used by run alone.
	members members

	// polls has the kinds for which the store should be polled.
	polls chan string
}

// members are the gateways to exchange what the store holds with.
type members struct {
	readAt time.Duration
	// zone has the gateways of this one's zone, itself among them. all has all others of the
	// fleet, and followers those of them that follow the store.
	zone, all, followers []string
}

func newConfirmations(o Options, log *logrus.Entry) *confirmations {
	c := &confirmations{
		log: log, expiry: o.KeyExpiry, perZone: o.FollowersPerZone, zone: o.AvailabilityZone, now: boottime.Now, polls: make(chan string, 4),
		maxServerAge: cmp.Or(o.MaxServerAge, DefaultMaxAge), maxConfigAge: cmp.Or(o.MaxConfigAge, DefaultMaxAge),
		machine: confirm.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		sharing: StoreSharing{
			Peers: func() []string { return nil }, Zones: func() map[string][]string { return nil },
			Send: func(string, *pb.StoreMessage) bool { return true },
		},
	}
	o.Board.AddView("storeConfirmation", c.view)
	return c
}

// ShareStore makes the gateway ask others what they know of the store. It must be called
// before Follow.
func (g *Gateway) ShareStore(s StoreSharing) {
	g.confirmations.mu.Lock()
	defer g.confirmations.mu.Unlock()
	g.confirmations.sharing = s
}

// HandleStore handles another gateway's datagram about what the store holds.
func (g *Gateway) HandleStore(from string, m *pb.StoreMessage) {
	g.confirmations.receive(from, m)
}

// applied returns the function that records what the gateway's copy of a kind has.
func (c *confirmations) applied(kind string) func(follow.Copy) {
	return func(x follow.Copy) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if kind == c.sources.ConfigKind {
			c.copy = confirm.Copy(x)
		}
		c.machine.Applied(kind, confirm.Copy(x))
	}
}

// confirmed records a confirmation by the store.
func (c *confirmations) confirmed(kind string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Confirmed(kind, at)
}

// receive handles a datagram. The clock is read after it has arrived.
func (c *confirmations) receive(from string, m *pb.StoreMessage) {
	if m.Changes != nil {
		c.receiveChanges(from, m)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(c.markIndirect(c.machine.Receive(c.now(), from, decodeStore(m))))
	if a := c.machine.Accepted(); a != nil {
		c.acceptLocked(a)
	}
	c.useLocked()
}

// useLocked relies on what the machine knows, and has the store polled if that is due.
func (c *confirmations) useLocked() {
	if at, ok := c.machine.ConfirmedAt(c.sources.ConfigKind); ok && c.rely != nil {
		c.rely(at)
	}
	for _, kind := range c.machine.Due() {
		c.requestPoll(kind)
	}
}

// requestPoll has the store polled for a kind.
func (c *confirmations) requestPoll(kind string) {
	select {
	case c.polls <- kind:
	default:
	}
}

func (c *confirmations) sendLocked(list []confirm.Envelope) {
	for _, e := range list {
		c.sharing.Send(e.To, encodeStore(e.Message))
	}
}

// run asks peers and polls the store when that is due, until ctx ends. followers has those of
// both kinds.
func (c *confirmations) run(ctx context.Context, followers map[string]*follow.Follower, s *configSource) error {
	c.mu.Lock()
	c.rely, c.followers = s.rely, followers
	if c.perZone > 0 {
		// At that age this gateway would poll the store itself.
		c.relay = relay.New(c.sharing.Self, c.perZone, min(c.maxServerAge, c.maxConfigAge)/2)
	}
	interval := c.machine.TickInterval()
	c.mu.Unlock()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick()
		case kind := <-c.polls:
			go func() {
				if followers[kind].Poll(ctx) {
					storePolls.Inc()
				}
			}()
		}
	}
}

// begin sets the kinds that are followed, before the followers start.
func (c *confirmations) begin(s Sources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = s
	c.machine.Keep(s.ServerKind, confirm.ForStaleness(c.maxServerAge))
	if c.expiry > 0 {
		c.machine.Keep(s.ConfigKind, confirm.ForExpiry(c.expiry).Within(c.maxConfigAge))
	} else {
		c.machine.Keep(s.ConfigKind, confirm.ForStaleness(c.maxConfigAge))
	}
}

// readMembers reads the lists of gateways if that is due.
func (c *confirmations) readMembers() {
	now := c.now()
	if c.members.readAt > 0 && now-c.members.readAt < membersInterval {
		return
	}
	zones := c.sharing.Zones()
	m := members{readAt: now, zone: zones[c.zone], all: c.sharing.Peers()}
	for zone, gateways := range zones {
		for _, g := range relay.Followers(zone, gateways, c.perZone) {
			if g != c.sharing.Self {
				m.followers = append(m.followers, g)
			}
		}
	}
	c.members = m
}

// tick asks peers if a confirmation is old, and the zone's followers.
func (c *confirmations) tick() {
	c.readMembers()
	configFailing := c.followers[c.sources.ConfigKind].IsFailing()
	failing := configFailing || c.followers[c.sources.ServerKind].IsFailing()
	c.tickRelay(failing)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
	near := c.members.all
	if c.relay != nil && c.relay.IsChosen() {
		near = c.members.followers
	}
	c.sendLocked(c.machine.Tick(c.now(), near, c.members.all))
	if c.expiry > 0 {
		c.report(configFailing)
	}
	c.publishAge(serversAge, c.sources.ServerKind)
	c.publishAge(configAge, c.sources.ConfigKind)
	c.useLocked()
	n := c.machine.Counts()
	storeQuestions.Set(n.Questions)
	storeConfirmations.Set(n.Confirmations)
	storeNewer.Set(n.Newer)
	storeLate.Set(n.Late)
	storeMalformed.Set(n.Malformed)
}

// publishAge sets the metric of the age of a kind's confirmation.
func (c *confirmations) publishAge(metric *metrics.FloatCounter, kind string) {
	if _, ok := c.machine.ConfirmedAt(kind); ok {
		metric.Set(c.ageLocked(kind).Seconds())
	}
}

// report logs when what the confirmation rests on changes.
func (c *confirmations) report(isFailing bool) {
	mode, age := relianceStore, c.ageLocked(c.sources.ConfigKind)
	switch {
	case age >= c.expiry:
		mode = relianceNone
	case isFailing:
		mode = reliancePeers
	}
	if mode == c.mode {
		return
	}
	c.log.WithFields(logrus.Fields{
		"by": mode.String(), "before": c.mode.String(), "age": age.Round(time.Millisecond).String(),
	}).Info("gateway: what confirms the configuration changed.")
	c.mode = mode
}

// ageLocked returns the age of a kind's confirmation.
func (c *confirmations) ageLocked(kind string) time.Duration {
	at, ok := c.machine.ConfirmedAt(kind)
	if !ok {
		return math.MaxInt64
	}
	return c.now() - at
}

// confirmationView is what the dump shows.
type confirmationView struct {
	Kind              string
	By                string
	Relayed           bool
	AgeMs             int64
	ServersAgeMs      int64
	Position, Changed uint64
	Counts            confirm.Counts
}

func (c *confirmations) view() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return confirmationView{
		Kind: c.sources.ConfigKind, By: c.mode.String(), Relayed: c.relayed,
		AgeMs: c.ageLocked(c.sources.ConfigKind).Milliseconds(), ServersAgeMs: c.ageLocked(c.sources.ServerKind).Milliseconds(),
		Position: c.copy.Position, Changed: c.copy.Changed, Counts: c.machine.Counts(),
	}
}
