// Package doubt keeps an entry's view of which backend servers are there and
// may be used, mainly by evidence from use. The platform's list of instances
// lags: it names servers that have died, and misses live ones for a while.
//
// A server is trusted, doubted or being probed. Doubt is no removal: a doubted
// server is ranked last, and is tried if nothing else is left.
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
	// Trusted servers get work, less than their share just after a doubt.
	Trusted State = iota
	// Doubted servers wait for the next probe.
	Doubted
	// Probing servers have a probe under way.
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

// Outcome is what one use of a server showed.
type Outcome int

// The outcomes of a use.
const (
	// Success: the server did what was asked.
	Success Outcome = iota
	// Refusal: its agent answered no. That is proof of its agent's life.
	Refusal
	// Alive: its agent answered a probe or a heartbeat.
	Alive
	// Timeout: one call got no answer in time.
	Timeout
	// MissedBeat: one heartbeat or renewal got no answer in time.
	MissedBeat
	// ConnectionLost: the connection was closed or refused.
	ConnectionLost
	// Frozen: nothing came on an open connection for the whole bound.
	Frozen
	// Down: its agent says that the backend server doesn't answer.
	Down
)

// The weight of an outcome as evidence. doubtAt is reached by one loss or by
// two missed answers in a row: a single one is ordinary, as a pause or a lost
// packet does it, and doubting each time would move the load about for nothing.
const (
	doubtAt      = 2
	weightMissed = 1
	weightLost   = 2
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

// Options of a Set. Zero values stand for the defaults.
type Options struct {
	// MinBackoff and MaxBackoff bound the wait between probes, before jitter.
	MinBackoff, MaxBackoff time.Duration
	// ProbeTimeout is when a probe without an outcome counts as failed.
	ProbeTimeout time.Duration
	// ProbesPerZone bounds the probes under way in one availability zone.
	ProbesPerZone int
	// Ramp is the time from MinShare to a full share after a doubt.
	Ramp     time.Duration
	MinShare float64
	// StrikeFor is how long a missed answer counts.
	StrikeFor time.Duration
	// UnlistedFor is how long a server that the list lacks is kept after it
	// was last listed or gave proof of life.
	UnlistedFor time.Duration
	// LeavingFor is how long a refusal as leaving holds. After that the server
	// may be tried again, as a drain can be taken back.
	LeavingFor time.Duration
	// LeavingProbe is how often a server that refused as leaving is asked
	// whether it still does. Orders take a server out for a tenth of a second
	// or for some seconds, far less than LeavingFor.
	LeavingProbe time.Duration
}

// Defaults of Options.
const (
	DefaultMinBackoff    = 200 * time.Millisecond
	DefaultMaxBackoff    = 10 * time.Second
	DefaultProbeTimeout  = 2 * time.Second
	DefaultProbesPerZone = 2
	DefaultRamp          = 5 * time.Second
	DefaultMinShare      = 0.1
	DefaultStrikeFor     = 10 * time.Second
	DefaultUnlistedFor   = 30 * time.Second
	DefaultLeavingFor    = 10 * time.Second
	DefaultLeavingProbe  = time.Second
)

func (o Options) withDefaults() Options {
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, DefaultProbeTimeout)
	o.ProbesPerZone = cmp.Or(o.ProbesPerZone, DefaultProbesPerZone)
	o.Ramp = cmp.Or(o.Ramp, DefaultRamp)
	o.MinShare = cmp.Or(o.MinShare, DefaultMinShare)
	o.StrikeFor = cmp.Or(o.StrikeFor, DefaultStrikeFor)
	o.UnlistedFor = cmp.Or(o.UnlistedFor, DefaultUnlistedFor)
	o.LeavingFor = cmp.Or(o.LeavingFor, DefaultLeavingFor)
	o.LeavingProbe = cmp.Or(o.LeavingProbe, DefaultLeavingProbe)
	return o
}

// Instance is one line of the platform's lagging list.
type Instance struct {
	ID, AvailabilityZone string
	Leaving              bool
}

// View is what placement needs to know of a server.
type View struct {
	ID, AvailabilityZone string
	State                State
	// Leaving servers take no new work.
	Leaving bool
	// Share is the part of its ordinary work that the server may get, above 0
	// and up to 1. Use the server for a request if a random number in [0,1) is
	// below it.
	Share float64
	// Unproven: since its doubt nothing but a proof of life of its agent came.
	// The backend server may be frozen still, so the next use is a trial.
	Unproven bool
}

// Away reports whether the server is asked only if nothing else is left.
func (v View) Away() bool { return v.State != Trusted || v.Leaving }

// Set is the view of all servers. It isn't safe for concurrent use.
type Set struct {
	opts    Options
	rnd     *rand.Rand
	servers map[string]*server
	// filled: a list was taken before, so a server that is new in the next one
	// is new to all entries at once and is ramped up.
	filled bool
}

type server struct {
	id, zone string
	state    State
	// missed heartbeats and strikes by use, each since the last answer of its
	// kind.
	missed   int
	strikes  int
	struckAt time.Time
	// backoff before jitter, and when the next probe is due or, while probing,
	// when the probe has failed.
	backoff time.Duration
	next    time.Time
	// ramp began at, zero for a full share.
	ramped time.Time
	// unproven: no success by use since the last doubt.
	unproven bool
	// seen is the last proof of life, or when the server was last listed.
	seen         time.Time
	listed       bool
	leaving      bool
	leavingUntil time.Time
	// askAt is when a server that refused as leaving is asked again.
	askAt time.Time
}

// NewSet returns an empty set. rnd jitters the probes.
func NewSet(o Options, rnd *rand.Rand) *Set {
	return &Set{opts: o.withDefaults(), rnd: rnd, servers: map[string]*server{}}
}

// List takes the platform's list. Servers that it lacks are removed only if
// neither the list nor use showed them for Options.UnlistedFor, or they are
// doubted. An empty list is taken for a fault of the platform: it would remove
// all doubted servers just when nothing else can be known. It returns the ids
// that were removed, sorted.
func (s *Set) List(now time.Time, list []Instance) []string {
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
			if s.filled {
				x.ramped = now
			}
			s.servers[in.ID] = x
		}
		x.zone, x.listed, x.leaving = in.AvailabilityZone, true, in.Leaving
		x.seen = now
	}
	s.filled = true
	return s.removeUnlisted(now)
}

func (s *Set) removeUnlisted(now time.Time) []string {
	var out []string
	for id, x := range s.servers {
		if x.listed || x.state == Trusted && now.Sub(x.seen) < s.opts.UnlistedFor {
			continue
		}
		delete(s.servers, id)
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Leaving notes that the server refused work as leaving.
func (s *Set) Leaving(id string, now time.Time) {
	if x, ok := s.servers[id]; ok {
		x.leavingUntil = now.Add(s.opts.LeavingFor)
		x.askAt = now.Add(s.opts.LeavingProbe)
	}
}

// Stays notes that the server says it takes work, which takes a refusal as
// leaving back. What the platform's list says stands.
func (s *Set) Stays(id string) {
	if x, ok := s.servers[id]; ok {
		x.leavingUntil = time.Time{}
	}
}

// Outcome notes what a use of the server, or a probe, showed.
func (s *Set) Outcome(id string, now time.Time, o Outcome) {
	x, ok := s.servers[id]
	if !ok {
		return
	}
	w := o.weight()
	if w == 0 {
		s.lives(x, now, o)
		return
	}
	switch x.state {
	case Probing:
		s.doubt(x, now)
	case Trusted:
		if now.Sub(x.struckAt) > s.opts.StrikeFor {
			x.strikes, x.missed = 0, 0
		}
		if o == MissedBeat {
			x.missed += w
		} else {
			x.strikes += w
		}
		x.struckAt = now
		if x.strikes+x.missed >= doubtAt {
			s.doubt(x, now)
		}
	case Doubted:
		// The other requests that a loss took along are no new evidence, and
		// must not drive the backoff up.
	}
}

// Observe is Outcome, and says whether it turned the server into one that is
// asked last or back, with its states before and after.
func (s *Set) Observe(id string, now time.Time, o Outcome) (before, after State, turned bool) {
	was, _ := s.View(id, now)
	s.Outcome(id, now, o)
	is, ok := s.View(id, now)
	return was.State, is.State, ok && was.Away() != is.Away()
}

// lives takes a proof of life. Only a success by use is one of the backend
// server too: if a frozen server's agent answers the probe, the server's backoff
// stays, and one strike is enough until the first success. Otherwise it would
// be tried again and again, as often as after its first failure.
func (s *Set) lives(x *server, now time.Time, o Outcome) {
	x.seen, x.missed = now, 0
	if o == Success {
		x.strikes, x.backoff, x.unproven = 0, 0, false
	}
	if x.state == Trusted {
		return
	}
	x.state, x.ramped = Trusted, now
	if o != Success {
		x.strikes, x.struckAt = doubtAt-1, now
	}
	s.hasten(x.zone, now)
}

// hasten brings the probes of a zone forward when one of its servers is back,
// as after a cut all of them are, and their backoffs are long. They are spread
// over Options.Ramp, so that the zone isn't probed at once by all entries.
func (s *Set) hasten(zone string, now time.Time) {
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

func (s *Set) doubt(x *server, now time.Time) {
	x.state, x.strikes, x.missed, x.unproven = Doubted, 0, 0, true
	x.backoff = min(max(2*x.backoff, s.opts.MinBackoff), s.opts.MaxBackoff)
	x.next = now.Add(time.Duration((0.5 + s.rnd.Float64()) * float64(x.backoff)))
}

// Probes returns the servers to be probed now, sorted, and marks them as
// probing. A probe is a small call on a new connection beside the old one, as a
// connection can go silent for good while new ones work; its result goes to
// Outcome, and to Leaving or Stays. Call it some times a second: it scans the set.
func (s *Set) Probes(now time.Time) []string {
	running := map[string]int{}
	var due []*server
	var out []string
	for _, x := range s.servers {
		if x.state == Probing && !now.Before(x.next) {
			s.doubt(x, now)
		}
		switch {
		case x.state == Probing:
			running[x.zone]++
		case x.state == Doubted && !now.Before(x.next):
			due = append(due, x)
		case x.state == Trusted && now.Before(x.leavingUntil) && !now.Before(x.askAt):
			x.askAt = now.Add(s.opts.LeavingProbe)
			out = append(out, x.id)
		}
	}
	out = append(out, s.begin(due, running, now)...)
	slices.Sort(out)
	return out
}

// begin marks the doubted servers that are longest due as probing, as far as
// their zones allow, and returns their ids.
func (s *Set) begin(due []*server, running map[string]int, now time.Time) []string {
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

// View returns what is known of the server, false if it isn't in the set.
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

// share grows from Options.MinShare to 1 over Options.Ramp. A server that comes
// back would otherwise look the emptiest to every entry at once.
func (s *Set) share(x *server, now time.Time) float64 {
	if x.state != Trusted {
		return s.opts.MinShare
	}
	if x.ramped.IsZero() {
		return 1
	}
	part := float64(max(0, now.Sub(x.ramped))) / float64(s.opts.Ramp)
	if part >= 1 {
		x.ramped = time.Time{}
		return 1
	}
	return s.opts.MinShare + (1-s.opts.MinShare)*part
}

// IDs returns the ids of all servers, sorted.
func (s *Set) IDs() []string { return slices.Sorted(maps.Keys(s.servers)) }
