// Package peers tracks the membership of gateways through the platform's object API:
// each gateway has one object, which it renews while it lives.
//
// A gateway whose object hasn't changed for Expiry by the observer's own clock counts as
// gone, so clocks of different gateways are never compared. The count may be off by the
// gateways that came or went within RenewInterval or Expiry, and by those that did so since
// the last reading while the platform can't be read.
package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/wait"
)

// Kind is the kind of the objects.
const Kind = "gateways"

const (
	// RenewInterval is how often a gateway renews its object and reads the others'.
	// Two calls in ten seconds per gateway are far below the platform's rate limits,
	// even with hundreds of gateways.
	RenewInterval = 10 * time.Second
	// Expiry lets a gateway miss two renewals.
	Expiry = 35 * time.Second
	// maxListAge is the age of the last reading beyond which an unchanged object no
	// longer means that its gateway is gone.
	maxListAge = 2 * RenewInterval
	// unlistedGrace is how long a gateway that a listing lacks still counts as registered: a
	// listing may be some seconds older than the one before.
	unlistedGrace = 2 * RenewInterval
	// retryDelay is the pause after a failed call, after the first turn, since the
	// others have only just written then, and between readings that RequestRead requests.
	retryDelay  = time.Second
	callTimeout = time.Second
)

// Peer is what a gateway publishes about itself.
type Peer struct {
	ID string `json:"id"`
	// Address is "ip:port" of its listener for other gateways.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	// Quota is "ip:port" of its exchange of quotas, "" if it takes no part in it.
	Quota string `json:"quota,omitempty"`
	// UptimeMs is for how long the process had run when it wrote this, in milliseconds,
	// including suspension.
	UptimeMs int64 `json:"uptimeMs,omitempty"`
	// Convictions are the losses of servers for which the gateway refuses requests.
	Convictions []Loss `json:"convictions,omitempty"`
	// Software is a digest of the software versions that servers had lately, hexadecimal, as
	// not every JSON decoder keeps 64 bits.
	Software string `json:"software,omitempty"`
	// Renewals counts the renewals, so that each write changes the object.
	Renewals uint64 `json:"renewals"`
}

// observation is the last state of a gateway's object, and since when it is unchanged.
type observation struct {
	peer    Peer
	version uint64
	since   time.Time
}

// registration is a gateway's object, and when it was last listed.
type registration struct {
	observation
	listed time.Time
}

// renewal is a write of this gateway's object. A listing that has its version shows all
// that was written before startedAt, a boot time.
type renewal struct {
	version   uint64
	startedAt time.Duration
}

// Members maintains this gateway's object and its view of the others.
type Members struct {
	store   platform.Store
	log     *logrus.Entry
	started time.Duration

	mu sync.Mutex
	// All below is guarded by mu.
	self    Peer
	version uint64
	// renewed: the last renewal succeeded, and version is what it wrote.
	renewed    bool
	observed   map[string]observation
	selfListed bool
	// registered are the gateways whose objects were listed lately, with those that a
	// listing lacked.
	registered map[string]registration
	// renewal is the last renewal that succeeded, and complete the boot time as of which
	// the view lacks no gateway, 0 if that is unknown.
	renewal  renewal
	complete time.Duration
	// predecessor is the uptime in the object that this process found at its start, and
	// replaced is set once it has replaced that object by its own.
	predecessor time.Duration
	replaced    bool
	// lastRead is when the others were last read.
	lastRead time.Time

	// published has the keys of the convictions whose losses this gateway's object carries.
	published map[uint64]bool
	// invalid has the versions of the objects that were invalid when last read, by name.
	invalid map[string]uint64

	// readRequests and renewRequests signal requests for a reading, and for a renewal, out
	// of turn.
	readRequests, renewRequests chan struct{}
	// convictions and learn are those of ShareConvictions.
	convictions func(limit int) []blame.Loss
	learn       func(blame.Loss) bool
	// softwareDigest and setDigests are those of ShareSoftware.
	softwareDigest func() uint64
	setDigests     func(digests []uint64, found bool)
}

// New returns the Members of the gateway self; Run starts it.
func New(store platform.Store, self Peer, log *logrus.Entry) *Members {
	return &Members{
		store: store, self: self, log: log, started: boottime.Now(), observed: map[string]observation{}, registered: map[string]registration{},
		readRequests: make(chan struct{}, 1), renewRequests: make(chan struct{}, 1),
		convictions: func(int) []blame.Loss { return nil }, learn: func(blame.Loss) bool { return false },
		softwareDigest: func() uint64 { return 0 }, setDigests: func([]uint64, bool) {},
	}
}

// Run reads and renews until ctx ends, then deletes this gateway's object. It always
// returns nil.
func (m *Members) Run(ctx context.Context) error {
	pause := time.Duration(0)
	for first := true; ; first = false {
		if !m.waitForTurn(ctx, pause) {
			m.deregister()
			return nil
		}
		pause = time.Duration((0.8 + 0.4*rand.Float64()) * float64(RenewInterval))
		if err := m.readAndRenew(ctx); err != nil || first {
			pause = retryDelay
			if err != nil {
				m.log.WithError(err).Debug("peers: read or renewal failed.")
			}
		}
	}
}

// RequestRead requests a reading out of turn, because there is a gateway that isn't known yet.
// It never blocks.
func (m *Members) RequestRead() {
	select {
	case m.readRequests <- struct{}{}:
	default:
	}
}

// waitForTurn waits for the next turn, which a request for a renewal brings forward, and
// meanwhile reads on request; both at most once a second. It returns false if ctx ends.
func (m *Members) waitForTurn(ctx context.Context, pause time.Duration) bool {
	began := time.Now()
	due := began.Add(pause)
	for {
		turn := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			turn.Stop()
			return false
		case <-turn.C:
			return true
		case <-m.renewRequests:
			turn.Stop()
			return wait.Sleep(ctx, min(time.Until(due), time.Until(began.Add(retryDelay))))
		case <-m.readRequests:
			turn.Stop()
		}
		if err := m.read(ctx); err != nil {
			m.log.WithError(err).Debug("peers: read failed.")
		}
		if !wait.Sleep(ctx, min(retryDelay, max(0, time.Until(due)))) {
			return false
		}
	}
}

// read lists all gateways. A listing that is some seconds old is enough for a count, at a
// fraction of the cost, but not for the version of this gateway's object.
func (m *Members) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s, ok := m.store.(platform.StaleLister); ok && m.isRenewed() {
		l, err := s.ListStale(ctx, Kind)
		if err == nil {
			m.apply(l.Objects, time.Now())
		}
		return err
	}
	began := boottime.Now()
	l, err := m.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	m.setVersion(0)
	m.apply(l.Objects, time.Now())
	m.setComplete(began)
	return nil
}

// isRenewed reports whether the last renewal of this gateway's object succeeded.
func (m *Members) isRenewed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// readAndRenew reads before it writes: a gateway that starts, perhaps together with all
// others, must know them before its first requests arrive, even if its own write fails.
func (m *Members) readAndRenew(ctx context.Context) error {
	if err := m.read(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.renew(ctx)
}

// renew writes this gateway's object. It fails if an earlier process of the instance, or a
// write whose answer was lost, has left another version than the one that was read; the
// next reading finds that version.
func (m *Members) renew(ctx context.Context) error {
	losses := m.convictions(maxConvictionLosses)
	software := m.softwareDigest()
	m.mu.Lock()
	m.self.Renewals++
	m.self.UptimeMs = (boottime.Now() - m.started).Milliseconds()
	m.self.Convictions = encodeLosses(losses)
	m.self.Software = formatDigest(software)
	self, version := m.self, m.version
	m.mu.Unlock()
	spec, err := json.Marshal(self)
	if err != nil {
		return err
	}
	began := boottime.Now()
	v, err := m.store.Put(ctx, platform.Object{
		Kind: Kind, Name: self.ID, Version: version, Operation: platform.NewOperation(), Spec: spec,
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewed = err == nil
	if m.renewed {
		m.version, m.renewal, m.replaced = v, renewal{v, began}, true
		m.published = map[uint64]bool{}
		for _, x := range losses {
			m.published[x.ConvictionKey()] = true
		}
	}
	return err
}

func (m *Members) setComplete(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete = max(m.complete, at)
}

func (m *Members) setVersion(v uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = v
}

// apply updates the view from the objects of all gateways as read at now.
func (m *Members) apply(objects []platform.Object, now time.Time) {
	for _, x := range m.update(objects, now) {
		m.learn(x)
	}
	m.setDigests(m.readDigests(), len(objects) > 0)
}

// readDigests returns the digests of the gateways that have one, as last read, this one's
// predecessor among them.
func (m *Members) readDigests() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []uint64
	for _, o := range m.observed {
		if d := parseDigest(o.peer.Software); d != 0 {
			out = append(out, d)
		}
	}
	return out
}

// update is apply without the losses in objects that changed, which it returns.
func (m *Members) update(objects []platform.Object, now time.Time) (losses []blame.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(objects))
	invalid := map[string]uint64{}
	for _, o := range objects {
		if o.Name == m.self.ID {
			// Also that of an invalid object, which the next renewal replaces.
			m.version = max(m.version, o.Version)
		}
		p, err := decodePeer(o)
		if err != nil {
			invalid[o.Name] = o.Version
			m.warnInvalidLocked(o, err)
			continue
		}
		listed[p.ID] = true
		if p.ID == m.self.ID {
			if m.lastRead.IsZero() {
				// Each process deletes its object as it stops.
				m.log.WithFields(logrus.Fields{"uptime": (time.Duration(p.UptimeMs) * time.Millisecond).String(), "renewals": p.Renewals, "version": o.Version}).
					Warn("peers: the previous process of this instance left its object.")
			}
			if !m.replaced {
				m.predecessor = time.Duration(p.UptimeMs) * time.Millisecond
			}
			if m.renewal.version > 0 && o.Version >= m.renewal.version {
				m.complete = max(m.complete, m.renewal.startedAt)
			}
		}
		// A lower version comes from a listing that is older than an earlier one.
		s, ok := m.observed[p.ID]
		if !ok || s.version < o.Version {
			s = observation{peer: p, version: o.Version, since: now}
			m.observed[p.ID] = s
			losses = append(losses, decodeLosses(p.Convictions, now)...)
		}
		m.registered[p.ID] = registration{observation: s, listed: now}
	}
	for id := range m.observed {
		if !listed[id] {
			delete(m.observed, id)
		}
	}
	for id, r := range m.registered {
		if now.Sub(r.listed) > unlistedGrace {
			delete(m.registered, id)
		}
	}
	m.selfListed = m.selfListed || listed[m.self.ID]
	m.lastRead, m.invalid = now, invalid
	return losses
}

// List returns the live gateways including this one, sorted by ID. It returns nil until this
// gateway has read its own object: when the whole system starts for the first time, each
// gateway reads an empty list and would take a budget that all share for its own.
func (m *Members) List() []Peer {
	if !m.isSelfListed() {
		return nil
	}
	return m.Known()
}

func (m *Members) isSelfListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfListed
}

// Known returns this gateway and the live others that it has read so far, sorted by ID.
func (m *Members) Known() []Peer { return m.list(time.Now()) }

func (m *Members) list(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastRead) > maxListAge {
		// This gateway can't read the platform, which says nothing about the others.
		now = m.lastRead
	}
	out := []Peer{m.self}
	for id, s := range m.observed {
		if id != m.self.ID && now.Sub(s.since) < Expiry {
			out = append(out, s.peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// PredecessorUptime returns for how long the process ran that this one replaced, as far as
// that one wrote it, and 0 if it found none. It reports false until this process has
// replaced its predecessor's object, so that the next one can't find it too.
func (m *Members) PredecessorUptime() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.predecessor, m.replaced
}

// Registered returns the gateways whose objects were stored within unlistedGrace and were
// changed within forgetAfter, and the boot time as of which none is missing, 0 if that is
// unknown. Unlike List it includes those that haven't renewed their object lately.
func (m *Members) Registered(forgetAfter time.Duration) ([]Peer, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, r := range m.registered {
		if time.Since(r.since) < forgetAfter {
			out = append(out, r.peer)
		}
	}
	return out, m.complete
}

func (m *Members) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	m.mu.Lock()
	id, version := m.self.ID, m.version
	m.mu.Unlock()
	if version == 0 {
		return
	}
	if err := m.store.Delete(ctx, Kind, id, version); err != nil {
		m.log.WithError(err).Debug("peers: cannot delete own object, it will expire.")
	}
}
