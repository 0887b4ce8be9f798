// Package limit divides the rate limit of a backend server among the gateways that
// send requests to it. It has no clock and does no I/O.
//
// Gateways with the same view of their peers together send, in any interval t, at most
// rate*t + burstSize(rate) requests, however long they were idle before.
package limit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstTime and burstRequests define the burst size of all gateways together, so that
	// a gateway that is idle for a moment doesn't lose its share of the rate.
	burstTime     = time.Second
	burstRequests = 3
	// turnDuration is the duration of each gateway's turn to send a trial request.
	turnDuration = 4 * time.Second
)

// burstSize returns the burst size of all gateways together, in requests.
func burstSize(perSecond float64) float64 { return burstRequests + perSecond*burstTime.Seconds() }

// Position is a gateway's position among those that send requests to one server.
type Position struct {
	Gateways int
	// Rank is from 0 to Gateways-1, and unique to each gateway.
	Rank int
	// Part is the gateway's part of each limit by its demand, 0 for an equal one.
	Part float64
}

// IsTrialTurn reports whether it is the gateway's turn to send a trial request to a server
// whose limit no recent answer has confirmed. With turns, a fleet of idle
// gateways sends one trial request at a time and not one each.
func (p Position) IsTrialTurn(now time.Time) bool {
	return now.UnixNano()/int64(turnDuration)%int64(max(1, p.Gateways)) == int64(p.Rank)
}

// Rank returns the rank of a gateway among all gateways for a server, by rendezvous
// hashing. The ranks differ by server, so that no gateway is without a share of all
// servers.
func Rank(server, self string, gateways []string) int {
	own, rank := weight(server, self), 0
	for _, g := range gateways {
		if w := weight(server, g); w > own || w == own && g < self {
			rank++
		}
	}
	return rank
}

func weight(server, gateway string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(gateway), xxhash.Sum64String(server)))
}

// Share is one gateway's share of a server's rate limit, a token bucket. The zero value
// allows no requests.
type Share struct {
	// perSecond is the gateway's rate and capacity the capacity of the bucket.
	perSecond, capacity float64
	tokens              float64
	at                  time.Time
	// granted is when GrantTrial added an extra token, zero if there is none.
	granted time.Time
}

// Set sets the gateway's share of a server's rate from now on. The bucket keeps its
// tokens up to the new capacity.
//
// If the burst size is below one token per gateway, only the gateways with the lowest
// ranks get a share: one token for each gateway of a large fleet would be far too many. Shares
// follow the demand only if each gateway has a token without any.
func (s *Share) Set(now time.Time, perSecond float64, p Position) {
	s.refill(now)
	burst := burstSize(perSecond)
	owners := max(1, min(p.Gateways, int(burst)))
	part := 0.0
	switch {
	case p.Part > 0 && burst*equalPart >= float64(p.Gateways):
		part = p.Part
	case p.Rank < owners:
		part = 1 / float64(owners)
	}
	s.perSecond, s.capacity = part*perSecond, part*burst
	s.tokens = min(s.tokens, s.capacity)
}

func (s *Share) refill(now time.Time) {
	if passed := now.Sub(s.at).Seconds(); passed > 0 {
		s.tokens = min(s.capacity, s.tokens+passed*s.perSecond)
	}
	s.at = now
}

// Allows reports whether a request may be sent now.
func (s *Share) Allows(now time.Time) bool {
	s.refill(now)
	return s.hasGrant(now) || s.tokens >= 1
}

func (s *Share) hasGrant(now time.Time) bool {
	return !s.granted.IsZero() && now.Sub(s.granted) < turnDuration
}

// Take takes a token for a request and reports whether one was available.
func (s *Share) Take(now time.Time) bool {
	switch {
	case !s.Allows(now):
		return false
	case s.hasGrant(now):
		s.granted = time.Time{}
	default:
		s.tokens--
	}
	return true
}

// GrantTrial adds an extra token that is valid for the duration of a turn.
func (s *Share) GrantTrial(now time.Time) { s.granted = now }

// Delay returns the time until a request may be sent. It is over an hour if that is
// never.
func (s *Share) Delay(now time.Time) time.Duration {
	if s.Allows(now) {
		return 0
	}
	seconds := (1 - s.tokens) / s.perSecond
	return time.Duration(math.Min(seconds, neverDelay.Seconds()) * float64(time.Second))
}

const neverDelay = 2 * time.Hour
