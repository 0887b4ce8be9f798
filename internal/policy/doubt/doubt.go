// Package doubt tracks the membership and health of backend servers, mainly by
// the outcomes of requests, as passive health checks do. The platform's list of
// instances is eventually consistent: it still names servers that have died, and
// misses live ones for a while.
//
// A server is trusted (healthy), doubted (suspected to have failed) or being
// probed. A doubted server is not removed: it is ranked last, and is tried if no
// other server is left.
package doubt

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// State of a server.
type State int

// The states of a server.
const (
	// Trusted servers get work, at a reduced share just after they were doubted.
	Trusted State = iota
	// Doubted servers are suspected to have failed and wait for the next probe.
	Doubted
	// Probing servers have a probe in flight.
	Probing
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Doubted:
		return "doubted"
	case Probing:
		return "probing"
	}
	return "trusted"
}

// Outcome is the result of a request, heartbeat or probe to a server.
type Outcome int

// The outcomes.
const (
	// Success: the backend server processed the request.
	Success Outcome = iota
	// Refusal: its agent refused the request, so the agent is alive.
	Refusal
	// Alive: its agent answered a probe or a heartbeat.
	Alive
	// Timeout: one call got no response in time.
	Timeout
	// MissedBeat: one heartbeat or lease renewal got no response in time.
	MissedBeat
	// ConnectionLost: the connection was closed or refused.
	ConnectionLost
	// Frozen: no data arrived on an open connection within its timeout.
	Frozen
	// Down: its agent reports that the backend server doesn't respond.
	Down
)

// The weight of an outcome as evidence of a failure. One lost connection or two
// missed responses in a row reach doubtThreshold. A pause or a lost packet is enough
// for a single missed response, and doubting a server for it would shift load
// needlessly.
const (
	doubtThreshold = 2
	weightMissed   = 1
	weightLost     = 2
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"success", "refusal", "alive", "timeout", "missed-beat", "connection-lost", "frozen", "down"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

func (o Outcome) weight() int {
	switch o {
	case Success, Refusal, Alive:
		return 0
	case Timeout, MissedBeat:
		return weightMissed
	}
	return weightLost
}

// Options of a Set. Zero values select the defaults.
type Options struct {
	// MinBackoff and MaxBackoff bound the backoff between probes, before jitter.
	MinBackoff, MaxBackoff time.Duration
	// ProbeTimeout is the time after which a probe without an outcome has failed.
	ProbeTimeout time.Duration
	// ProbesPerZone bounds the concurrent probes in one availability zone.
	ProbesPerZone int
	// Ramp is the slow start: the time in which the share of a server that is
	// trusted again grows from MinShare to 1.
	Ramp     time.Duration
	MinShare float64
	// FailureWindow is how long a missed response counts.
	FailureWindow time.Duration
	// UnlistedGracePeriod is how long a server missing from the list is kept after
	// it was last listed or seen alive.
	UnlistedGracePeriod time.Duration
	// LeavingTimeout is how long a server counts as leaving after it last said so. Then it
	// may be tried again, as a drain can be cancelled.
	LeavingTimeout time.Duration
	// LeavingProbeInterval is how often a server that refused as leaving is probed for
	// whether it still does. Orders to change its stage take a server out for a tenth
	// of a second or for some seconds, far less than LeavingTimeout.
	LeavingProbeInterval time.Duration
	// ProbeUnanswered: a trusted server is probed after a single request that wasn't
	// answered. Otherwise only the next request there shows whether it has failed.
	ProbeUnanswered bool
}

// Defaults of Options.
const (
	DefaultMinBackoff           = 200 * time.Millisecond
	DefaultMaxBackoff           = 10 * time.Second
	DefaultProbeTimeout         = 2 * time.Second
	DefaultProbesPerZone        = 2
	DefaultRamp                 = 5 * time.Second
	DefaultMinShare             = 0.1
	DefaultFailureWindow        = 10 * time.Second
	DefaultUnlistedGracePeriod  = 30 * time.Second
	DefaultLeavingTimeout       = 10 * time.Second
	DefaultLeavingProbeInterval = time.Second
)

func (o Options) withDefaults() Options {
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, DefaultProbeTimeout)
	o.ProbesPerZone = cmp.Or(o.ProbesPerZone, DefaultProbesPerZone)
	o.Ramp = cmp.Or(o.Ramp, DefaultRamp)
	o.MinShare = cmp.Or(o.MinShare, DefaultMinShare)
	o.FailureWindow = cmp.Or(o.FailureWindow, DefaultFailureWindow)
	o.UnlistedGracePeriod = cmp.Or(o.UnlistedGracePeriod, DefaultUnlistedGracePeriod)
	o.LeavingTimeout = cmp.Or(o.LeavingTimeout, DefaultLeavingTimeout)
	o.LeavingProbeInterval = cmp.Or(o.LeavingProbeInterval, DefaultLeavingProbeInterval)
	return o
}

// Instance is one element of the platform's list, which can be stale.
type Instance struct {
	ID, AvailabilityZone string
	Leaving              bool
}

// View is the state of a server that placement depends on.
type View struct {
	ID, AvailabilityZone string
	State                State
	// Leaving servers take no new work.
	Leaving bool
	// Share is the fraction of its usual requests that the server may get, above 0
	// and up to 1. Use the server for a request if a random number in [0,1) is
	// below it.
	Share float64
	// Unproven: only the agent has responded since the server was doubted. The
	// backend server may still be frozen, so the next request is a trial.
	Unproven bool
}

// LastResort reports whether the server is used only as a last resort.
func (v View) LastResort() bool { return v.State != Trusted || v.Leaving }

// Set tracks the state of all servers. It isn't safe for concurrent use.
type Set struct {
	opts    Options
	rnd     *rand.Rand
	servers map[string]*server
	// initialized: a list was applied before, so a server that is new in the next one
	// is new to all entries at the same time and is ramped up.
	initialized bool
}

type server struct {
	id, zone string
	state    State
	// missedBeats counts heartbeats without a response since the last sign of life,
	// failures the weight of the failed requests since the last success. lastFailure
	// is the time of the last of either.
	missedBeats int
	failures    int
	lastFailure time.Time
	// backoff is the delay before jitter. next is when the next probe is due or,
	// while probing, when the probe times out.
	backoff time.Duration
	next    time.Time
	// rampStart is when the ramp-up began, zero for a full share.
	rampStart time.Time
	// unproven: no successful request since the server was last doubted.
	unproven bool
	// lastSeen is when the server was last seen alive or listed.
	lastSeen     time.Time
	listed       bool
	leaving      bool
	leavingUntil time.Time
	// leavingProbeAt is when a server that refused as leaving is probed next.
	leavingProbeAt time.Time
	// recoveredAt is when a failed server was last found alive again.
	recoveredAt time.Time
	// checkAt is when a trusted server is probed once, or zero.
	checkAt time.Time
	// lastAlive is when the server last answered this process, peerDoubts when it didn't answer
	// peers since then, by peer.
	lastAlive  time.Time
	peerDoubts map[string]time.Time
}

// NewSet returns an empty set. rnd is the source of jitter.
func NewSet(o Options, rnd *rand.Rand) *Set {
	return &Set{opts: o.withDefaults(), rnd: rnd, servers: map[string]*server{}}
}

// ApplyList applies the platform's list and returns the sorted ids of the servers that
// were removed. A server missing from the list is removed if it isn't trusted, or
// if it was neither listed nor seen alive for Options.UnlistedGracePeriod. An
// empty list is ignored as a fault of the platform: it would remove all doubted
// servers while there is no other source.
func (s *Set) ApplyList(now time.Time, list []Instance) []string {
	if len(list) == 0 {
		return nil
	}
	for _, x := range s.servers {
		x.listed = false
	}
	for _, in := range list {
		x, ok := s.servers[in.ID]
		if !ok {
			x = &server{id: in.ID}
			if s.initialized {
				x.rampStart = now
			}
			s.servers[in.ID] = x
		}
		x.zone, x.listed, x.leaving = in.AvailabilityZone, true, in.Leaving
		x.lastSeen = now
	}
	s.initialized = true
	return s.removeUnlisted(now)
}

func (s *Set) removeUnlisted(now time.Time) []string {
	var out []string
	for id, x := range s.servers {
		if x.listed || x.state == Trusted && now.Sub(x.lastSeen) < s.opts.UnlistedGracePeriod {
			continue
		}
		delete(s.servers, id)
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// MarkLeaving records that the server refused a request because it is leaving, or
// reports that it is.
func (s *Set) MarkLeaving(id string, now time.Time) {
	if x, ok := s.servers[id]; ok {
		x.leavingUntil = now.Add(s.opts.LeavingTimeout)
		x.leavingProbeAt = now.Add(s.opts.LeavingProbeInterval)
	}
}

// ClearLeaving records that the server reports to accept work, which cancels a refusal as
// leaving. A server that the platform's list marks as leaving remains so.
func (s *Set) ClearLeaving(id string) {
	if x, ok := s.servers[id]; ok {
		x.leavingUntil = time.Time{}
	}
}

// Record records the outcome of a request, heartbeat or probe.
func (s *Set) Record(id string, now time.Time, o Outcome) {
	x, ok := s.servers[id]
	if !ok {
		return
	}
	w := o.weight()
	if w == 0 {
		s.recordAlive(x, now, o)
		return
	}
	switch x.state {
	case Probing:
		s.markDoubted(x, now)
	case Trusted:
		if now.Sub(x.lastFailure) > s.opts.FailureWindow {
			x.failures, x.missedBeats = 0, 0
		}
		if o == MissedBeat {
			x.missedBeats += w
		} else {
			x.failures += w
		}
		x.lastFailure = now
		s.weigh(x, now)
	case Doubted:
		// The other requests that fail with the same connection are no new
		// evidence and must not increase the backoff.
	}
}

// weigh doubts a trusted server if the evidence suffices, and may schedule a probe if not.
func (s *Set) weigh(x *server, now time.Time) {
	if x.failures+x.missedBeats+weightMissed*len(x.peerDoubts) >= doubtThreshold {
		s.markDoubted(x, now)
		return
	}
	if s.opts.ProbeUnanswered {
		s.check(x, now)
	}
}

// RecordCall records the outcome of a call that began at the given time. A failure is
// ignored if the server was found alive again since: what was sent while it was down
// fails late, and says nothing about the present.
func (s *Set) RecordCall(id string, began, now time.Time, o Outcome) {
	if x, ok := s.servers[id]; ok && o.weight() > 0 && began.Before(x.recoveredAt) {
		return
	}
	s.Record(id, now, o)
}

// RecordTransition calls RecordCall and returns the state before and after it, and whether
// View.LastResort changed.
func (s *Set) RecordTransition(id string, began, now time.Time, o Outcome) (before, after State, lastResortChanged bool) {
	was, _ := s.View(id, now)
	s.RecordCall(id, began, now, o)
	is, ok := s.View(id, now)
	return was.State, is.State, ok && was.LastResort() != is.LastResort()
}

// recordAlive handles an outcome that shows the agent alive. Only a success shows that
// the backend server works too. If the agent of a frozen server answers a probe,
// the backoff stays and a single failure is enough until the first success.
// Otherwise the server would always be tried again after the shortest backoff.
func (s *Set) recordAlive(x *server, now time.Time, o Outcome) {
	x.lastSeen, x.missedBeats, x.checkAt = now, 0, time.Time{}
	x.lastAlive, x.peerDoubts = now, nil
	if o == Success {
		x.failures, x.backoff, x.unproven = 0, 0, false
	}
	if x.state == Trusted {
		return
	}
	x.state, x.rampStart, x.recoveredAt = Trusted, now, now
	if o != Success {
		x.failures, x.lastFailure = doubtThreshold-1, now
	}
	s.advanceProbes(x.zone, now)
}

// advanceProbes brings the probes of a zone forward when one of its servers has
// recovered. After a network partition all of them recover, but their backoffs are
// long. The probes are spread over Options.Ramp so that not all entries probe at once.
func (s *Set) advanceProbes(zone string, now time.Time) {
	for _, x := range s.servers {
		if x.zone != zone || x.state != Doubted {
			continue
		}
		soon := now.Add(time.Duration(s.rnd.Float64() * float64(s.opts.Ramp)))
		if soon.Before(x.next) {
			x.next = soon
		}
	}
}

func (s *Set) markDoubted(x *server, now time.Time) {
	x.state, x.failures, x.missedBeats, x.unproven = Doubted, 0, 0, true
	x.checkAt, x.peerDoubts = time.Time{}, nil
	x.backoff = min(max(2*x.backoff, s.opts.MinBackoff), s.opts.MaxBackoff)
	x.next = now.Add(s.jittered(x.backoff))
}

// jittered returns d changed by up to a half.
func (s *Set) jittered(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.rnd.Float64()) * float64(d))
}

// Check schedules a probe of a trusted server, such as one that closed a connection.
func (s *Set) Check(id string, now time.Time) {
	if x, ok := s.servers[id]; ok && x.state == Trusted {
		s.check(x, now)
	}
}

func (s *Set) check(x *server, now time.Time) {
	if x.checkAt.IsZero() {
		x.checkAt = now.Add(s.jittered(s.opts.MinBackoff))
	}
}

// Probes returns the sorted ids of the servers to probe now and marks the doubted
// ones as probing. Trusted servers are among them if they are leaving, after Check, and
// with Options.ProbeUnanswered. A probe is a small call on a new connection, as an
// existing one can stay silent while new ones work; its result goes to Record, and to
// MarkLeaving or ClearLeaving. Call it a few times per second: it scans the set.
func (s *Set) Probes(now time.Time) []string {
	inFlight := map[string]int{}
	var due []*server
	var out []string
	for _, x := range s.servers {
		if x.state == Probing && !now.Before(x.next) {
			s.markDoubted(x, now)
		}
		switch {
		case x.state == Probing:
			inFlight[x.zone]++
		case x.state == Doubted && !now.Before(x.next):
			due = append(due, x)
		case x.state == Trusted && now.Before(x.leavingUntil) && !now.Before(x.leavingProbeAt):
			x.leavingProbeAt = now.Add(s.opts.LeavingProbeInterval)
			out = append(out, x.id)
		case x.state == Trusted && !x.checkAt.IsZero() && !now.Before(x.checkAt):
			x.checkAt = time.Time{}
			out = append(out, x.id)
		}
	}
	out = append(out, s.startProbes(due, inFlight, now)...)
	slices.Sort(out)
	return out
}

// startProbes marks the servers whose probes are most overdue as probing, up to
// Options.ProbesPerZone in each zone, and returns their ids.
func (s *Set) startProbes(due []*server, running map[string]int, now time.Time) []string {
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(a.next.Compare(b.next), cmp.Compare(a.id, b.id))
	})
	var out []string
	for _, x := range due {
		if running[x.zone] >= s.opts.ProbesPerZone {
			continue
		}
		running[x.zone]++
		x.state, x.next = Probing, now.Add(s.opts.ProbeTimeout)
		out = append(out, x.id)
	}
	return out
}

// View returns the state of the server, or false if it isn't in the set.
func (s *Set) View(id string, now time.Time) (View, bool) {
	x, ok := s.servers[id]
	if !ok {
		return View{}, false
	}
	return View{
		ID:               x.id,
		AvailabilityZone: x.zone,
		State:            x.state,
		Leaving:          x.leaving || now.Before(x.leavingUntil),
		Share:            s.share(x, now),
		Unproven:         x.unproven,
	}, true
}

// share grows from Options.MinShare to 1 over Options.Ramp. Otherwise a recovered
// server would look least loaded to all entries at once.
func (s *Set) share(x *server, now time.Time) float64 {
	if x.state != Trusted {
		return s.opts.MinShare
	}
	if x.rampStart.IsZero() {
		return 1
	}
	part := float64(max(0, now.Sub(x.rampStart))) / float64(s.opts.Ramp)
	if part >= 1 {
		x.rampStart = time.Time{}
		return 1
	}
	return s.opts.MinShare + (1-s.opts.MinShare)*part
}

// IDs returns the ids of all servers, sorted.
func (s *Set) IDs() []string { return slices.Sorted(maps.Keys(s.servers)) }
