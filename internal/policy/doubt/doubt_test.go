package doubt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet(n int) (*Set, []Instance) {
	s := NewSet(Options{}, rand.New(rand.NewPCG(1, 2)))
	var list []Instance
	for i := range n {
		list = append(list, Instance{ID: fmt.Sprint(i), AvailabilityZone: "a"})
	}
	s.ApplyList(start, list)
	return s, list
}

func view(t *testing.T, s *Set, id string, now time.Time) View {
	t.Helper()
	v, ok := s.View(id, now)
	assert.Assert(t, ok)
	return v
}

func TestOneMissedHeartbeatIsTolerated(t *testing.T) {
	s, _ := newSet(1)
	s.Record("0", start, MissedBeat)
	assert.Equal(t, view(t, s, "0", start).State, Trusted)
	s.Record("0", start, Refusal)
	s.Record("0", start, Timeout)
	s.Record("0", start.Add(time.Minute), Timeout)
	assert.Equal(t, view(t, s, "0", start).State, Trusted)
	s.Record("0", start.Add(time.Minute), MissedBeat)
	assert.Equal(t, view(t, s, "0", start).State, Doubted)
}

// While the probes of a lost server get no response, the backoff between them must
// grow, with jitter, up to the maximum. A success makes the server trusted again,
// with a small share at first.
func TestProbesBackOffAndSuccessRampsUp(t *testing.T) {
	s, _ := newSet(1)
	now := start
	s.Record("0", now, ConnectionLost)
	var at []time.Time
	for len(at) < 12 {
		now = now.Add(50 * time.Millisecond)
		if len(s.Probes(now)) > 0 {
			at = append(at, now)
		}
	}
	first, last := at[1].Sub(at[0]), at[11].Sub(at[10])
	assert.Assert(t, first < 3*time.Second && last > 6*time.Second && last < 18*time.Second, "%s %s", first, last)
	s.Record("0", now, Success)
	assert.Equal(t, view(t, s, "0", now).Share, DefaultMinShare)
	assert.Assert(t, view(t, s, "0", now.Add(DefaultRamp/2)).Share > 0.5)
	assert.Equal(t, view(t, s, "0", now.Add(DefaultRamp)).Share, 1.0)
}

// Guards against a frozen server that gets requests too often because its agent
// answers each probe. The backoff between the attempts must grow all the same, and a
// single timeout must make the server doubted again, until its first success.
func TestAgentResponseDoesNotResetBackoff(t *testing.T) {
	s, _ := newSet(1)
	now := start
	s.Record("0", now, Timeout)
	s.Record("0", now, Alive)
	assert.Equal(t, view(t, s, "0", now).State, Trusted)
	s.Record("0", now, Timeout)
	tries := 0
	for now.Before(start.Add(time.Minute)) {
		now = now.Add(50 * time.Millisecond)
		if len(s.Probes(now)) > 0 {
			s.Record("0", now, Alive)
			assert.Equal(t, view(t, s, "0", now).State, Trusted)
			s.Record("0", now, Timeout)
			assert.Equal(t, view(t, s, "0", now).State, Doubted)
			tries++
		}
	}
	assert.Assert(t, tries >= 5 && tries <= 16, "%d tries in a minute", tries)
	s.Record("0", now, Success)
	s.Record("0", now, Timeout)
	assert.Equal(t, view(t, s, "0", now).State, Trusted)
}

// Guards against a thundering herd on a zone whose servers all recover at once after
// a network partition, when every entry would probe and load all of them at the same
// time. Probes must stay bounded and the zone's share must rise over seconds, but no
// server may wait for the end of its long backoff.
func TestZoneReturnsWithoutStampede(t *testing.T) {
	s, _ := newSet(40)
	for i := range 40 {
		s.Record(fmt.Sprint(i), start, Frozen)
	}
	now := start
	for now.Before(start.Add(time.Minute)) { // partition: no probe is answered
		now = now.Add(100 * time.Millisecond)
		s.Probes(now)
	}
	back := now
	for now.Before(back.Add(2*DefaultRamp + 2*time.Second)) {
		now = now.Add(100 * time.Millisecond)
		probes := s.Probes(now)
		assert.Assert(t, len(probes) <= DefaultProbesPerZone)
		for _, id := range probes {
			s.Record(id, now, Success)
		}
		sum := 0.0
		for _, id := range s.IDs() {
			sum += view(t, s, id, now).Share
		}
		if now.Sub(back) <= time.Second {
			assert.Assert(t, sum < 12, "%.1f after %s", sum, now.Sub(back))
		}
	}
	for _, id := range s.IDs() {
		assert.Equal(t, view(t, s, id, now).Share, 1.0)
	}
}

// Guards against a lack of servers long after a network partition has ended, because
// its failed probes led to long backoffs. The first server that recovers brings the
// probes of the others in its zone forward.
func TestRecoveryAdvancesProbesOfTheZone(t *testing.T) {
	s, _ := newSet(2)
	s.opts.MinBackoff, s.opts.MaxBackoff = time.Hour, time.Hour
	s.Record("0", start, Frozen)
	s.Record("1", start, Frozen)
	s.Record("0", start.Add(time.Minute), Success)
	assert.DeepEqual(t, s.Probes(start.Add(time.Minute+DefaultRamp)), []string{"1"})
}

// The platform's list is stale: it lacks a live server for a while and still names one
// that refuses as leaving. The outcomes of requests take precedence for both; a doubted
// server that is missing from the list is removed.
func TestLaggingListAndLeaving(t *testing.T) {
	s, list := newSet(3)
	now := start.Add(time.Minute)
	assert.Equal(t, len(s.ApplyList(now, nil)), 0)
	s.Record("0", now, Success)
	s.Record("1", now, ConnectionLost)
	assert.DeepEqual(t, s.ApplyList(now, list[2:]), []string{"1"})
	s.MarkLeaving("2", now)
	s.ApplyList(now, list[2:])
	assert.Assert(t, view(t, s, "2", now).Leaving)
	assert.Assert(t, !view(t, s, "2", now.Add(DefaultLeavingTimeout)).Leaving)
	now = now.Add(DefaultUnlistedGracePeriod)
	assert.DeepEqual(t, s.ApplyList(now, list[2:]), []string{"0"})
	s.ApplyList(now, list)
	assert.Equal(t, view(t, s, "0", now).Share, DefaultMinShare, "a new server is ramped up")
	list[0].Leaving = true
	s.ApplyList(now, list)
	assert.Assert(t, view(t, s, "0", now).Leaving)
}

// Guards against requests that time out each time a frozen server is trusted again
// because its agent answers probes. The server stays unproven, so that its next request
// is treated as a trial, until it has completed a request.
func TestServerIsUnprovenUntilItIsOfUse(t *testing.T) {
	s, _ := newSet(1)
	unproven := func() bool { return view(t, s, "0", start).Unproven }
	assert.Assert(t, !unproven())
	s.Record("0", start, Timeout)
	s.Record("0", start, Timeout)
	assert.Assert(t, unproven())
	s.Record("0", start, Alive)
	assert.Equal(t, view(t, s, "0", start).State, Trusted)
	assert.Assert(t, unproven())
	s.Record("0", start, Refusal)
	assert.Assert(t, unproven())
	s.Record("0", start, Success)
	assert.Assert(t, !unproven())
}

// Guards against leaving a server unused for LeavingTimeout after it refused a request
// during an order of a tenth of a second. It is probed again soon, and a report that
// it accepts work ends the leaving state.
func TestLeavingServerIsProbedAndRestored(t *testing.T) {
	s, _ := newSet(2)
	s.MarkLeaving("0", start)
	assert.Equal(t, len(s.Probes(start)), 0, "it has just refused")
	now := start.Add(DefaultLeavingProbeInterval)
	assert.DeepEqual(t, s.Probes(now), []string{"0"})
	assert.Equal(t, len(s.Probes(now)), 0, "one probe at a time")
	assert.Assert(t, view(t, s, "0", now).Leaving, "the probe is in flight")
	s.MarkLeaving("0", now)
	assert.DeepEqual(t, s.Probes(now.Add(DefaultLeavingProbeInterval)), []string{"0"})
	s.ClearLeaving("0")
	assert.Assert(t, !view(t, s, "0", now).Leaving)
	assert.Equal(t, view(t, s, "0", now).Share, 1.0, "the server was never doubted")
	assert.Equal(t, len(s.Probes(now.Add(time.Minute))), 0)
}

// Guards against a dead server that stays trusted for long: one request there wasn't
// answered, and no other was sent that would fail.
func TestUnansweredRequestIsFollowedByAProbe(t *testing.T) {
	s, _ := newSet(2)
	s.opts.ProbeUnanswered = true
	s.Record("1", start, Timeout)
	probed := start
	for ; len(s.Probes(probed)) == 0; probed = probed.Add(50 * time.Millisecond) {
		assert.Assert(t, probed.Sub(start) < 2*DefaultMinBackoff, "no probe")
	}
	assert.Equal(t, view(t, s, "1", probed).State, Trusted)
	s.Record("1", probed, Timeout)
	assert.Equal(t, view(t, s, "1", probed).State, Doubted)
}

// Guards against probes of a trusted server that is being probed or has answered since.
func TestTrustedServerIsProbedOnceUnlessItAnswers(t *testing.T) {
	s, _ := newSet(2)
	s.opts.ProbeUnanswered = true
	s.Record("0", start, Timeout)
	s.Record("1", start, Timeout)
	s.Record("1", start, Refusal)
	now := start.Add(2 * DefaultMinBackoff)
	assert.DeepEqual(t, s.Probes(now), []string{"0"})
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		assert.Equal(t, len(s.Probes(now)), 0)
	}
}

// Guards against a server that is doubted again as soon as its link has healed, by calls
// that were sent into the cut and fail late.
func TestCallsFromBeforeTheRecoveryAreNoEvidence(t *testing.T) {
	s, _ := newSet(1)
	s.Record("0", start, ConnectionLost)
	recovered := start.Add(time.Second)
	s.Record("0", recovered, Alive)
	late := recovered.Add(100 * time.Millisecond)
	for range 3 {
		s.RecordCall("0", start.Add(500*time.Millisecond), late, Timeout)
	}
	assert.Equal(t, view(t, s, "0", late).State, Trusted)
	s.RecordCall("0", recovered.Add(time.Millisecond), late, Timeout)
	assert.Equal(t, view(t, s, "0", late).State, Doubted)
}
