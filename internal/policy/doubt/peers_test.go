package doubt

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPeerSet() *Set {
	s := NewSet(Options{MinBackoff: 250 * time.Millisecond, FailureWindow: 4 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	s.ApplyList(time.Unix(1000, 0), []Instance{{ID: "a"}, {ID: "b"}})
	return s
}

func stateOf(s *Set, now time.Time) State {
	v, _ := s.View("a", now)
	return v.State
}

// Guards against a dead server that each process finds by time-outs of its own.
func TestTwoPeersMakeAServerDoubted(t *testing.T) {
	now := time.Unix(1000, 0).Add(time.Second)
	s := newPeerSet()
	s.RecordPeer("a", "p1", now, now)
	assert.Equal(t, stateOf(s, now), Trusted)
	s.RecordPeer("a", "p2", now, now)
	assert.Equal(t, stateOf(s, now), Doubted)
	assert.DeepEqual(t, s.Probes(now.Add(time.Second)), []string{"a"})
	s.Record("a", now.Add(time.Second), Alive)
	assert.Equal(t, stateOf(s, now.Add(time.Second)), Trusted)
}

// Guards against a peer that was missed beside an own time-out.
func TestPeerAndOwnTimeoutMakeAServerDoubted(t *testing.T) {
	now := time.Unix(1001, 0)
	for _, ownFirst := range []bool{true, false} {
		s := newPeerSet()
		if ownFirst {
			s.Record("a", now, Timeout)
		}
		s.RecordPeer("a", "p1", now, now)
		if !ownFirst {
			s.Record("a", now, Timeout)
		}
		assert.Equal(t, stateOf(s, now), Doubted, "own first: %v", ownFirst)
	}
}

// Guards against a gateway that is cut off from the servers and makes all others doubt them,
// against old and repeated reports, and against reports from before an answer.
func TestOnePeerAloneConvincesNobody(t *testing.T) {
	now := time.Unix(1010, 0)
	s := newPeerSet()
	for i := range 10 {
		s.RecordPeer("a", "p1", now.Add(time.Duration(i)*time.Millisecond), now.Add(time.Second))
	}
	assert.Equal(t, stateOf(s, now), Trusted)
	s.RecordPeer("a", "p2", now.Add(-5*time.Second), now)
	s.RecordPeer("a", "p3", now.Add(time.Minute), now)
	s.RecordPeer("unknown", "p2", now, now)
	assert.Equal(t, stateOf(s, now), Trusted)
	s.Record("a", now.Add(time.Second), Success)
	s.RecordPeer("a", "p2", now, now.Add(2*time.Second))
	s.RecordPeer("a", "p3", now, now.Add(2*time.Second))
	assert.Equal(t, stateOf(s, now.Add(2*time.Second)), Trusted)
	// Two reports that are further apart than the window don't add up.
	s.RecordPeer("a", "p2", now.Add(3*time.Second), now.Add(3*time.Second))
	s.RecordPeer("a", "p3", now.Add(8*time.Second), now.Add(8*time.Second))
	assert.Equal(t, stateOf(s, now.Add(8*time.Second)), Trusted)
}
