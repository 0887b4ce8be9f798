package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/policy/doubt"
)

// maxRecovery bounds how long a server is still ranked last after its link has
// recovered: a probe sent before that has to time out, then the longest backoff
// passes, and the ticks add some.
const maxRecovery = 2300 * time.Millisecond

// A link is cut for some seconds and recovers. The server stays unused until a
// probe succeeds, and a probe sent just before the recovery still fails. The
// backoff after it must not have grown with each failure during the cut.
func TestHealedServerIsUsedSoon(t *testing.T) {
	for seed := range uint64(2000) {
		for _, cut := range []time.Duration{2 * time.Second, 20 * time.Second} {
			took := recoveryTime(seed, cut)
			assert.Assert(t, took <= maxRecovery, "seed %d, cut of %s: ranked last for %s after the recovery", seed, cut, took)
		}
	}
}

// recoveryTime returns how long after the end of a cut of the given length a
// server is trusted again, if each probe during the cut fails after probeFails.
func recoveryTime(seed uint64, cut time.Duration) time.Duration {
	const probeFails = 600 * time.Millisecond // a renewal without an answer
	s := doubt.NewSet(memberOptions, rand.New(rand.NewPCG(seed, seed)))
	begin := time.Unix(1000, 0)
	s.ApplyList(begin, []doubt.Instance{{ID: "1", AvailabilityZone: "a"}})
	s.Record("1", begin, doubt.ConnectionLost)
	var fails time.Time
	for now := begin; ; now = now.Add(membersInterval) {
		if !fails.IsZero() && !now.Before(fails) {
			s.Record("1", now, doubt.Timeout)
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
