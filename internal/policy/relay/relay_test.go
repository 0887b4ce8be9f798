package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// maxAge is the age up to which answers count in these tests.
const maxAge = 2 * time.Second

func zone(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("g", i))
	}
	return out
}

// Guards against zones without a follower, and against gateways that are passed a change by
// nobody or several times by one.
func TestEachGatewayFollowsOrIsPassedOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := zone(rapid.IntRange(1, 20).Draw(t, "gateways"))
		perZone := rapid.IntRange(0, 5).Draw(t, "perZone")
		chosen, passed := 0, map[string]int{}
		for _, g := range gateways {
			m := New(g, perZone, maxAge)
			m.SetMembers("z", gateways)
			if m.IsChosen() {
				chosen++
				assert.Equal(t, len(m.Tick(time.Hour)), 0)
			} else {
				assert.Equal(t, len(m.Tick(time.Hour)), perZone)
				passed[g] += perZone
			}
			for _, to := range m.Recipients() {
				passed[to]--
			}
		}
		want := len(gateways)
		if perZone > 0 {
			want = min(want, perZone)
		}
		assert.Equal(t, chosen, want)
		for g, n := range passed {
			assert.Equal(t, n, 0, g)
		}
	})
}

// relayedMachine returns a gateway that isn't a follower of its zone, and one that is.
func relayedMachine(t *testing.T) (*Machine, string) {
	t.Helper()
	for _, g := range zone(10) {
		m := New(g, 2, maxAge)
		m.SetMembers("z", zone(10))
		if !m.IsChosen() {
			return m, m.Tick(0)[0]
		}
	}
	t.Fatal("all are followers")
	return nil, ""
}

// Guards against a gateway that relies on followers that are gone, frozen, cut off from the
// store, or no followers.
func TestGatewayFollowsByItselfWithoutAnswers(t *testing.T) {
	m, follower := relayedMachine(t)
	now := time.Hour
	assert.Assert(t, !m.Relayed(now, false), "before the first answer")
	m.Answered(now, "other", true, 0)
	m.Answered(now, follower, false, 0)
	m.Answered(now, follower, true, maxAge+1)
	assert.Assert(t, !m.Relayed(now, false))
	m.Answered(now, follower, true, time.Second)
	assert.Assert(t, m.Relayed(now+AnswerTTL, false))
	m.Answered(now-time.Second, follower, true, time.Second)
	assert.Assert(t, m.Relayed(now+AnswerTTL, false))
	assert.Assert(t, !m.Relayed(now+AnswerTTL+1, false))
}

// Guards against a gateway that is relayed again before its own calls end an outage:
// it would take entries that lapsed in the outage for servers that left.
func TestGatewayLearnsOfAnOutagesEndItself(t *testing.T) {
	m, follower := relayedMachine(t)
	m.Answered(time.Hour, follower, true, 0)
	assert.Assert(t, !m.Relayed(time.Hour, true))
	assert.Assert(t, m.Relayed(time.Hour, false))
	assert.Assert(t, m.Relayed(time.Hour, true), "a poll that fails while relayed changes nothing")
}

// Guards against questions more often than needed, and against a removed follower that is
// still asked.
func TestFollowersAreAskedTwiceASecond(t *testing.T) {
	m, follower := relayedMachine(t)
	assert.Equal(t, len(m.Tick(maxAskInterval-1)), 0)
	assert.Equal(t, len(m.Tick(maxAskInterval)), 2)
	left := slices.DeleteFunc(zone(10), func(g string) bool { return g == follower })
	m.SetMembers("z", left)
	assert.Assert(t, !slices.Contains(m.Tick(2*maxAskInterval), follower))
	m.Answered(time.Hour, follower, true, 0)
	assert.Assert(t, !m.Relayed(time.Hour, false))
}
