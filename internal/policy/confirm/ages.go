package confirm

import (
	"math"
	"time"
)

// Ages are the ages of a confirmation from which a gateway does something about it.
type Ages struct {
	// Ask is the age from which peers are asked, and Stale that from which more of them are.
	// PollerAsk takes the place of Ask at gateways that poll in turn.
	Ask, PollerAsk, Stale time.Duration
	// Turn is the age from which gateways poll the store in turn, all together TurnRate times a
	// second. If TurnDoubling is set, the rate doubles with each TurnDoubling beyond Turn.
	Turn, TurnDoubling time.Duration
	TurnRate           float64
	// Lead, if set, is the age from which a gateway polls whose own call to the store is the latest that
	// it knows of.
	Lead time.Duration
	// OwnPoll is the age from which a gateway polls the store in any case.
	OwnPoll time.Duration
	// Tick is the longest time between two calls of Machine.Tick that these ages allow.
	Tick time.Duration
}

const (
	// askCount and askCountStale are how many peers are asked in a tick. With four, the
	// freshest confirmation of 370 gateways reaches all but a few within five ticks.
	askCount      = 2
	askCountStale = 4

	maxTick = 250 * time.Millisecond
	minTick = 50 * time.Millisecond
	// maxOwnPollAge bounds Ages.OwnPoll where a confirmation expires.
	maxOwnPollAge = 2500 * time.Millisecond
)

// ForExpiry returns the ages for a confirmation that is of no use once it is as old as the
// expiry. The fleet polls often, so that nearly all of the expiry is left when an outage of the
// store begins: the freshest confirmation is at most 0.3 s old then in nine of ten cases.
func ForExpiry(expiry time.Duration) Ages {
	return Ages{
		Ask: 500 * time.Millisecond, PollerAsk: 500 * time.Millisecond, Stale: 1200 * time.Millisecond,
		Turn: 250 * time.Millisecond, TurnRate: 8, OwnPoll: min(maxOwnPollAge, expiry/2), Tick: maxTick,
	}
}

// ForStaleness returns the ages for a copy that is to lack no change for longer than a bound,
// while the gateway reaches the store. The fleet polls as seldom as that allows: the gateway
// that polled last goes on, and others take over if its polls stop. They are few, as the rate of
// turns begins low, and hear of each other's polls before it is high.
//
// A tick is a sixteenth of the bound, and the ages lie between two ticks. Seven of sixteen are left for
// a poll of the gateway's own: a tick's delay, a call that isn't answered, and the next one.
func ForStaleness(bound time.Duration) Ages {
	tick := min(maxTick, max(minTick, bound/16))
	return Ages{
		PollerAsk: bound * 5 / 32, Lead: bound * 7 / 32, Turn: bound * 13 / 32, TurnDoubling: tick, TurnRate: 1 / tick.Seconds(),
		Ask: bound * 15 / 32, Stale: bound * 15 / 32, OwnPoll: bound * 17 / 32, Tick: tick,
	}
}

// Within returns the ages with which a copy also keeps to a bound as by ForStaleness.
func (a Ages) Within(bound time.Duration) Ages {
	b := ForStaleness(bound)
	a.OwnPoll, a.Stale, a.Tick = min(a.OwnPoll, b.OwnPoll), min(a.Stale, b.Stale), min(a.Tick, b.Tick)
	return a
}

// takesTurn reports whether a gateway polls in a tick, whose confirmation has an age. leads: it is
// by the gateway's own call. draw is drawn evenly from 0 up to 1, and pollers is how many gateways
// poll in turn.
func (a *Ages) takesTurn(age, tick time.Duration, leads bool, draw float64, pollers int) bool {
	if leads && a.Lead > 0 {
		// Some polls come a tick sooner: of two gateways that lead, one hears of the other's then.
		return age > a.Lead || age > a.Lead-tick && draw < 0.5
	}
	if age <= a.Turn {
		return false
	}
	polls := a.TurnRate * tick.Seconds()
	if a.TurnDoubling > 0 {
		polls *= math.Exp2(float64((age - a.Turn) / a.TurnDoubling))
	}
	return draw*float64(pollers) < polls
}
