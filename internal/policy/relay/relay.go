// Package relay decides which gateways of an availability zone follow the store and pass its
// changes on to the others.
//
// The load pattern: calls to the store that grow with the number of gateways, as each of
// dozens follows the configuration and the servers by itself, though all follow the same.
//
// It guarantees:
//   - A gateway is relayed, and so doesn't follow the store by itself, only while one of the
//     zone's followers has answered its question completely within AnswerTTL: a follower
//     answers completely while its own calls to the store don't fail, and the store
//     confirmed its copies lately.
//   - Gateways that see the same members of a zone choose the same followers; with different
//     views there are more or fewer of them, and who gets no answer follows by itself.
//
// It is not safe for concurrent use.
package relay

import (
	"slices"
	"time"

	"jayford.example/jayford/internal/policy/place"
)

const (
	// maxAskInterval bounds how often a gateway asks its zone's followers, and so how late a lost
	// change is noticed.
	maxAskInterval = 500 * time.Millisecond
	// AnswerTTL is how long a gateway relies on an answer.
	AnswerTTL = time.Second
)

// Machine is the state of one gateway. All times are of its own clock.
type Machine struct {
	perZone int
	self    string
	// maxAge is the age of a follower's copy up to which its answer counts.
	maxAge time.Duration
	// followers are the zone's, and others its other gateways. Both lack this gateway.
	followers, others []string
	// chosen: this gateway is a follower, as far as it knows.
	chosen   bool
	askedAt  time.Duration
	answered time.Duration
	asked    bool
	// hasAnswer is set from the first complete answer.
	hasAnswer bool
	relayed   bool
}

// New returns the Machine of the gateway with an address, in a zone with perZone followers,
// which counts a follower's answer if its copies are at most maxAge old. It follows by itself at
// first.
func New(self string, perZone int, maxAge time.Duration) *Machine {
	return &Machine{perZone: perZone, self: self, maxAge: maxAge, chosen: true}
}

// Followers returns the followers among the gateways of a zone: perZone of them, or all for 0.
func Followers(zone string, gateways []string, perZone int) []string {
	if perZone == 0 || len(gateways) <= perZone {
		return gateways
	}
	return place.Subset(zone, gateways, perZone)
}

// SetMembers sets the gateways of the zone, this one among them.
func (m *Machine) SetMembers(zone string, gateways []string) {
	chosen := Followers(zone, gateways, m.perZone)
	m.chosen = len(chosen) == len(gateways) || slices.Contains(chosen, m.self)
	m.followers, m.others = nil, nil
	for _, g := range gateways {
		switch {
		case g == m.self:
		case slices.Contains(chosen, g):
			m.followers = append(m.followers, g)
		default:
			m.others = append(m.others, g)
		}
	}
}

// Recipients returns the gateways to which this one passes changes on: those of the zone that
// aren't followers, if it is one.
func (m *Machine) Recipients() []string {
	if !m.chosen {
		return nil
	}
	return m.others
}

// Tick returns the followers to ask now.
func (m *Machine) Tick(now time.Duration) []string {
	if m.chosen || m.asked && now-m.askedAt < m.askInterval() {
		return nil
	}
	m.askedAt, m.asked = now, true
	return m.followers
}

// askInterval leaves a copy that is passed on with an answer time to get old, so that not each
// lost answer makes it too old.
func (m *Machine) askInterval() time.Duration { return min(maxAskInterval, m.maxAge/4) }

// Answered records an answer to a question that was asked at a time. isComplete: it speaks of
// all kinds, and so the gateway follows the store itself; age is that of its oldest copy.
func (m *Machine) Answered(askedAt time.Duration, from string, isComplete bool, age time.Duration) {
	if isComplete && age <= m.maxAge && slices.Contains(m.followers, from) {
		m.answered, m.hasAnswer = max(m.answered, askedAt), true
	}
}

// Relayed reports whether this gateway relies on its zone's followers. One whose own calls fail
// goes on by itself until they are answered, so that it learns of the outage's end itself.
func (m *Machine) Relayed(now time.Duration, isFailing bool) bool {
	fresh := m.hasAnswer && now-m.answered <= AnswerTTL
	m.relayed = !m.chosen && fresh && (m.relayed || !isFailing)
	return m.relayed
}

// IsChosen reports whether this gateway is a follower of its zone.
func (m *Machine) IsChosen() bool { return m.chosen }
