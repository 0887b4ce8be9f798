package blame

import (
	"slices"
	"time"
)

const (
	// shieldTime is how long after a proof a part is shielded: it ran well shortly before, but
	// may crash servers since. It takes shieldedCrashes to convict it, one of them later than
	// shieldQuiet after the proof.
	shieldTime      = 30 * time.Second
	shieldQuiet     = 2 * time.Second
	shieldedCrashes = 5
	// minUnexplained is how many crashes without another part tell a part from that one: a
	// server may crash by itself meanwhile, but hardly twice.
	minUnexplained = 2
	// maxOfOneRequest is how many crashes under one request count against a part: it may be the
	// request that crashes servers.
	maxOfOneRequest = 2
)

// partCase is what speaks against a part at a moment.
type partCase struct {
	*account
	// blamed has the losses that count, crashes the most of them that were in sequence.
	blamed, crashes []*heldLoss
	// required is how many crashes of different requests convict the part, notBefore when the
	// latest of them must have happened.
	required  int
	notBefore time.Time
	shielded  bool
}

// decisive returns the crash with which the others convict the part, nil if there is none. Those of a
// last part are of two requests. One more crash is needed if those of a shared part aren't all of
// different requests. Peers that convict the part have met the others.
func (c *partCase) decisive() *heldLoss {
	different := c.required
	if IsLastPart(c.id) {
		different = minSuspicion
		if c.unexplainedRequests() < different {
			return nil
		}
	}
	requests := 0
	for i, x := range c.crashes {
		if countOf(c.crashes[:i], x.Request) == 0 {
			requests++
		}
		enough := i >= c.required || i+1 >= c.required && (requests >= different || c.reported)
		if enough && !x.Lost.Before(c.notBefore) {
			return x
		}
	}
	return nil
}

// blamedAfter returns the losses that count against a part whose latest proof is given.
func blamedAfter(a *account, proof time.Time) []*heldLoss {
	var out []*heldLoss
	for _, x := range a.losses {
		if !x.isDisproved() && x.Lost.After(proof) && slices.Contains(x.Parts, a.id) {
			out = append(out, x)
		}
	}
	return out
}

// unexplainedRequests returns the number of requests with a loss that no other suspect explains. One
// request of a session may crash servers, and the others run there when another suspect does.
func (c *partCase) unexplainedRequests() int {
	requests := map[uint64]bool{}
	for _, x := range c.blamed {
		if !x.void {
			requests[x.Request] = true
		}
	}
	return len(requests)
}

// inSequence returns the most losses of runs which didn't overlap, at most maxOfOneRequest of
// each request.
func inSequence(losses []*heldLoss) []*heldLoss {
	var out []*heldLoss
	for _, x := range losses {
		if len(out) > 0 && !x.follows(out[len(out)-1].Loss) {
			continue
		}
		if countOf(out, x.Request) < maxOfOneRequest {
			out = append(out, x)
		}
	}
	return out
}

// countOf returns the number of losses of a request.
func countOf(losses []*heldLoss, request uint64) int {
	n := 0
	for _, x := range losses {
		if x.Request == request {
			n++
		}
	}
	return n
}

// caseOf returns what speaks against a part now.
func (l *Ledger) caseOf(a *account) *partCase {
	c := &partCase{account: a, blamed: blamedAfter(a, a.proven), required: l.opts.Crashes}
	c.crashes = inSequence(c.blamed)
	if len(c.blamed) > 0 && !a.proven.IsZero() && c.blamed[0].Lost.Sub(a.proven) < shieldTime {
		c.shielded, c.required, c.notBefore = true, max(c.required, shieldedCrashes), a.proven.Add(shieldQuiet)
	}
	return c
}

// unexplainedBy returns the crashes, in sequence, that other losses don't explain.
func (c *partCase) unexplainedBy(others []*heldLoss) []*heldLoss {
	return inSequence(slices.DeleteFunc(slices.Clone(c.blamed), func(x *heldLoss) bool { return explains(others, x) }))
}

// bothCrash reports whether two parts are both taken for guilty though the same crashes are held
// against them: no prompt has both, and neither has been proven in many crashes.
func bothCrash(c, o *partCase) bool {
	together := slices.ContainsFunc(c.blamed, func(x *heldLoss) bool { return slices.Contains(x.Parts, o.id) })
	return !together && len(c.crashes) >= c.required+minUnexplained && len(o.crashes) >= o.required+minUnexplained
}

// explains reports whether one of the losses is of the same crash.
func explains(losses []*heldLoss, x *heldLoss) bool {
	return slices.ContainsFunc(losses, func(o *heldLoss) bool { return o.isSameCrash(x.Loss) })
}
