package gossip

import (
	"math/rand/v2"
	"slices"

	"jayford.example/jayford/internal/policy/place"
)

const (
	// tellingBytes is what telling all peers may cost a gateway a second, in bytes
	// sent. Beyond it only some are told: what a fleet sends grows with its square.
	tellingBytes = 15_000
	// tellingAgain is the part of tellingBytes below which all are told again.
	tellingAgain = 0.7
	// tellingMemory is the weight of one second in the mean cost. Bursts of some
	// seconds don't change who is told: they are when it matters most.
	tellingMemory = 1.0 / 60
	// maxNear and maxFar bound the peers that are told where not all can be, of the
	// same availability zone and of others.
	maxNear = 20
	maxFar  = 4
	// wholeTo is how many peers are told everything each second.
	wholeTo = 24
)

// audience decides which peers are told. It is a state machine without I/O or a clock.
type audience struct {
	// told are the peers that get changes, all of them if all is set.
	told []string
	all  bool
	// cost is the mean number of bytes that one told peer costs a second, and spent
	// those of the second that runs.
	cost, spent float64
	// turns are the peers in the order in which they get everything, and waiting those
	// of them that haven't got it since they are known.
	turns   []string
	waiting map[string]bool
}

func newAudience() *audience { return &audience{all: true, waiting: map[string]bool{}} }

// list takes the peers that are known now.
//
// Near ones that are told stay the same, as they sum up what they hear. Far ones are
// drawn, so that a loss reaches all.
func (a *audience) list(self string, near, far []string) {
	listed := slices.Concat(near, far)
	a.all = a.affords(len(listed))
	a.told = listed
	if !a.all {
		a.told = slices.Concat(place.Subset(self, near, maxNear), drawn(far, maxFar))
	}
	a.order()
}

func (a *audience) affords(peers int) bool {
	limit := float64(tellingBytes)
	if !a.all {
		limit *= tellingAgain
	}
	return float64(peers)*a.cost <= limit || peers <= wholeTo
}

// order puts newcomers before the peers that have got everything already.
func (a *audience) order() {
	now := make(map[string]bool, len(a.told))
	for _, p := range a.told {
		now[p] = true
	}
	a.turns = slices.DeleteFunc(a.turns, func(p string) bool { return !now[p] })
	before := make(map[string]bool, len(a.turns))
	for _, p := range a.turns {
		before[p] = true
	}
	for p := range a.waiting {
		if !now[p] {
			delete(a.waiting, p)
		}
	}
	for _, p := range a.told {
		if !before[p] {
			a.turns = append(a.turns, p)
			a.waiting[p] = true
		}
	}
}

// renew notes that a told peer has lost what it had got.
func (a *audience) renew(peer string) {
	if slices.Contains(a.turns, peer) {
		a.waiting[peer] = true
	}
}

// second ends a second and returns the peers that are told everything now: those that
// haven't been yet, and the next ones in turn.
func (a *audience) second() []string {
	a.cost += tellingMemory * (a.spent - a.cost)
	a.spent = 0
	next := min(wholeTo, len(a.turns))
	out := slices.Clone(a.turns[:next])
	a.turns = slices.Concat(a.turns[next:], out)
	for _, p := range out {
		delete(a.waiting, p)
	}
	for p := range a.waiting {
		out = append(out, p)
	}
	clear(a.waiting)
	return out
}

// sent notes a datagram of so many bytes that a part of the told peers got.
func (a *audience) sent(bytes, peers int) {
	if len(a.told) > 0 {
		a.spent += float64(bytes) * float64(peers) / float64(len(a.told))
	}
}

// seconds returns how many seconds it takes until each of so many peers has got
// everything.
func seconds(peers int) int { return max(1, (peers+wholeTo-1)/wholeTo) }

// drawn returns n of the list, or all of a shorter one.
func drawn(list []string, n int) []string {
	out := slices.Clone(list)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
