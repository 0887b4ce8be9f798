package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"jayford.example/jayford/internal/platform"
)

// Bounds of the feed. Together they propagate a change in less than 11 s even
// with one failure on the way: an upstream is found silent after 3 s or stale
// after 6 s, followed by at most 2 s of jitter and one call.
const (
	silentAfter       = 3 * time.Second
	staleAfter        = 6 * time.Second
	bypassJitter      = 2 * time.Second
	bypassMinInterval = 10 * time.Second
	bypassMaxInterval = time.Minute
	retryMin          = 250 * time.Millisecond
	retryMax          = 3 * time.Second
	// instancesInterval is the poll interval of the list of instances, also after
	// a failure. A server that only the list marks as leaving gets new work until
	// the next poll. The list is sent only when it has changed.
	instancesInterval = 2 * time.Second
	resyncMin         = 5 * time.Second
	// upstreamCooldown is how long a failed upstream isn't retried.
	upstreamCooldown = 5 * time.Second
	// startupGrace is how long a starting process with a peer's configuration waits
	// for other peers and the platform, which may have a newer one.
	startupGrace = time.Second
	// startupPeers is how many peers a starting process follows at once.
	startupPeers = 3
	// failbackAfter is how long a process stays with an upstream before it
	// returns to a preferred one.
	failbackAfter = 30 * time.Second
)

// Identity describes the process that uses the feed.
type Identity struct {
	ID               string
	Role             string
	Region           string
	AvailabilityZone string
	// Address is the "ip:port" of the listener for peers.
	Address string
}

// Call is a kind of call to the platform.
type Call int

// The calls to the platform.
const (
	// CallList reads the whole configuration.
	CallList Call = iota
	// CallWatch waits for changes after the current revision.
	CallWatch
	// CallPoll reads the changes after the current revision and waits only briefly
	// for them.
	CallPoll
	// CallInstances reads the list of instances.
	CallInstances
)

// Outcome is the result of a call.
type Outcome int

// The outcomes of a call.
const (
	Failed Outcome = iota
	Done
	// Compacted means that the revision is too old for a watch or poll.
	Compacted
)

// ActionKind is a kind of action.
type ActionKind int

// The actions that the machine requests.
const (
	// ActionCall starts Call; its outcome must always be passed to OnCall.
	ActionCall ActionKind = iota
	// ActionFollow opens a stream with the id Stream to Address on a new
	// connection; with Resync it requests the whole configuration.
	ActionFollow
	// ActionUnfollow closes the stream and its connection.
	ActionUnfollow
)

// Action is an instruction from the machine to its driver.
type Action struct {
	Kind    ActionKind
	Call    Call
	Stream  uint64
	Address string
	Resync  bool
}

// EventInfo is the part of a stream's event that the machine needs.
type EventInfo struct {
	// Age is how long ago the sender's configuration was last confirmed to be current.
	Age time.Duration
	// HasConfig is set if the sender has a configuration.
	HasConfig bool
	// Mismatch is set if the digests differ at the same revision.
	Mismatch bool
}

type upstream struct {
	stream  uint64
	address string
	since   time.Time
	// last is when the last event arrived, or when the stream was requested.
	last time.Time
}

// Machine decides where a process's configuration comes from: whether to watch
// the platform, which peers to follow, and when to bypass a silent or stale feed.
// It has no I/O, goroutine or clock: the time is passed with each input, which
// returns the actions to take. It isn't safe for concurrent use.
type Machine struct {
	self  Identity
	seeds []string
	rng   *rand.Rand

	started   time.Time
	instances []platform.Instance
	// The watchers of the process's availability zone, its rank among them (-1 if
	// it isn't one) and its sources are computed once for each list.
	watchers []platform.Instance
	rank     int
	sources  []string

	upstreams     []upstream
	lastStream    uint64
	cooldownUntil map[string]time.Time

	// syncedAt is when the configuration was last confirmed to be current, directly
	// or through an upstream's age.
	syncedAt time.Time
	// lastDirectAnswer is when the platform last answered a configuration call.
	lastDirectAnswer time.Time
	// lastEvent is when any upstream last sent an event.
	lastEvent    time.Time
	firstPeer    time.Time
	ready        bool
	needList     bool
	callInFlight bool
	failures     int
	nextCall     time.Time
	bypassAt     time.Time
	lastBypass   time.Time
	lastResync   time.Time

	instancesInFlight bool
	nextInstances     time.Time
	// bypassing is set if the last call bypassed the feed. wantInstances is set once
	// the platform has answered that call; the list of instances is read next.
	bypassing, wantInstances bool

	actions []Action
}

// NewMachine returns a machine; its first Tick starts it. seeds are peer
// addresses, tried after the entries in the list of instances.
func NewMachine(self Identity, seeds []string, rng *rand.Rand) *Machine {
	m := &Machine{self: self, rng: rng, rank: -1, needList: true, cooldownUntil: make(map[string]time.Time)}
	for _, s := range seeds {
		if s != self.Address {
			m.seeds = append(m.seeds, s)
		}
	}
	rng.Shuffle(len(m.seeds), func(i, j int) { m.seeds[i], m.seeds[j] = m.seeds[j], m.seeds[i] })
	return m
}

// Ready reports whether the process has a usable configuration.
func (m *Machine) Ready() bool { return m.ready }

// Age returns how long ago the configuration was last confirmed to be current,
// directly by the platform or through an upstream; a year if never.
func (m *Machine) Age(now time.Time) time.Duration {
	if m.syncedAt.IsZero() {
		return ageIfNeverSynced
	}
	return now.Sub(m.syncedAt)
}

// ageIfNeverSynced is the age of a configuration that was never confirmed.
const ageIfNeverSynced = 365 * 24 * time.Hour

// Watches reports whether the process watches the platform for its
// availability zone.
func (m *Machine) Watches() bool { return m.rank >= 0 }

// WritesStatus reports whether the process writes its availability zone's status.
func (m *Machine) WritesStatus() bool { return m.rank == 0 }

// ReportTargets returns the addresses of the entries that accept the process's
// status, best first: its zone's watchers, then its other sources.
func (m *Machine) ReportTargets() []string {
	var out []string
	for _, w := range m.watchers {
		out = append(out, w.Address)
	}
	for _, a := range m.sources {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Tick must be called several times a second.
func (m *Machine) Tick(now time.Time) []Action {
	if m.started.IsZero() {
		m.started, m.lastEvent = now, now
	}
	m.finishStartup(now)
	m.dropSilent(now)
	m.dropSuperfluous(now)
	m.addUpstreams(now)
	m.bypassStaleFeed(now)
	m.callPlatform(now)
	return m.flush()
}

func (m *Machine) flush() []Action {
	a := m.actions
	m.actions = nil
	return a
}

// OnInstances handles a new list of instances.
func (m *Machine) OnInstances(now time.Time, list []platform.Instance) []Action {
	if !slices.Equal(list, m.instances) {
		m.instances = list
		m.watchers = Watchers(list, m.self.AvailabilityZone)
		m.rank = slices.IndexFunc(m.watchers, func(i platform.Instance) bool { return i.ID == m.self.ID })
		m.sources = sources(list, m.self)
	}
	return m.Tick(now)
}

// OnCall handles the outcome of a call.
func (m *Machine) OnCall(now time.Time, c Call, o Outcome) []Action {
	if c == CallInstances {
		m.instancesInFlight = false
		m.nextInstances = now.Add(instancesInterval)
		return m.Tick(now)
	}
	m.callInFlight = false
	switch o {
	case Done:
		m.failures = 0
		m.nextCall = now
		m.syncedAt, m.lastDirectAnswer = now, now
		m.needList = m.needList && c != CallList
		m.ready = m.ready || c == CallList
		m.wantInstances = m.bypassing
	case Compacted:
		m.needList = true
		m.nextCall = now.Add(m.jitter(retryMin))
		m.bypassAt = m.nextCall
	default:
		m.failures++
		m.nextCall = now.Add(m.backoff())
	}
	return m.Tick(now)
}

// OnEvent handles an event of a stream; events of closed streams are ignored.
func (m *Machine) OnEvent(now time.Time, stream uint64, h EventInfo) []Action {
	i := m.find(stream)
	if i < 0 {
		return nil
	}
	m.upstreams[i].last = now
	m.lastEvent = now
	if !h.HasConfig {
		return nil
	}
	if m.firstPeer.IsZero() {
		m.firstPeer = now
	}
	if t := now.Add(-h.Age); t.After(m.syncedAt) {
		m.syncedAt = t
	}
	if h.Mismatch {
		m.resync(now, i)
	}
	return m.Tick(now)
}

// OnStreamEnd handles the end of a stream; streams that the machine closed itself
// don't count as failed.
func (m *Machine) OnStreamEnd(now time.Time, stream uint64) []Action {
	if i := m.find(stream); i >= 0 {
		m.drop(i, now, true)
	}
	return m.Tick(now)
}
