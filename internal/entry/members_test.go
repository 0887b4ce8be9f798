package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/policy/doubt"
)

// healedWithin bounds how long a server whose link is whole again is still asked
// last: a probe that began before the heal ends without an answer, then the
// longest wait passes, and the ticks add theirs.
const maxRecovery = 2300 * time.Millisecond

// A link is cut for some seconds and heals. Callers are one server short until a
// probe gets through, and a probe that began just before the heal is lost too.
// The wait behind it must not have grown with each failure in the cut.
func TestHealedServerIsUsedSoon(t *testing.T) {
	for seed := range uint64(2000) {
		for _, cut := range []time.Duration{2 * time.Second, 20 * time.Second} {
			took := recoveryTime(seed, cut)
			assert.Assert(t, took <= maxRecovery, "seed %d, cut of %s: asked last for %s after the heal", seed, cut, took)
		}
	}
}

// timeToTrust returns how long after the heal of a cut of that length a server is
// trusted again, if each probe in the cut fails after probeFails.
func recoveryTime(seed uint64, cut time.Duration) time.Duration {
	const probeFails = 600 * time.Millisecond // a renewal without an answer
	s := doubt.NewSet(memberOptions, rand.New(rand.NewPCG(seed, seed)))
	begin := time.Unix(1000, 0)
	s.List(begin, []doubt.Instance{{ID: "1", AvailabilityZone: "a"}})
	s.Outcome("1", begin, doubt.ConnectionLost)
	var fails time.Time
	for now := begin; ; now = now.Add(membersInterval) {
		if !fails.IsZero() && !now.Before(fails) {
			s.Outcome("1", now, doubt.Timeout)
			fails = time.Time{}
		}
		if len(s.Probes(now)) == 0 {
			continue
		}
		if now.Sub(begin) >= cut {
			return now.Sub(begin) - cut
		}
		fails = now.Add(probeFails)
	}
}
