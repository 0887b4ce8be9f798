package confirm

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newMachine(position, changed, newest uint64) *Machine {
	m := New(rand.New(rand.NewPCG(1, 2)))
	m.Keep(simKind, ForExpiry(5*time.Second))
	m.Applied(simKind, Copy{Position: position, Changed: changed, Newest: newest})
	return m
}

func answerOf(number, changed uint64, age time.Duration) Message {
	return Message{Answers: number, Copies: []Answer{{Kind: simKind, Changed: changed, Age: age}}}
}

func assertConfirmed(t *testing.T, m *Machine, want time.Duration) {
	t.Helper()
	at, ok := m.ConfirmedAt(simKind)
	assert.Assert(t, ok)
	assert.Equal(t, at, want)
}

// Guards the promise that a removed key isn't accepted past its expiry, whatever peers say:
// a confirmation never lies behind the first change that the copy lacks. Gateways are cut off
// from the store and from each other and frozen, clocks differ, datagrams and calls are late,
// lost and repeated, and objects are changed and deleted.
func TestConfirmationsNeverExceedTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "gateways"))
		f.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
		f.repeats = rapid.Float64Range(0, 0.5).Draw(t, "repeats")
		f.delay = time.Duration(rapid.IntRange(0, 2500).Draw(t, "delayMs")) * time.Millisecond
		f.call = time.Duration(rapid.IntRange(0, 1000).Draw(t, "callMs")) * time.Millisecond
		cuts := rapid.Float64Range(0, 0.02).Draw(t, "cuts")
		freezes := rapid.Float64Range(0, 0.02).Draw(t, "freezes")
		lists := rapid.Float64Range(0, 0.02).Draw(t, "lists")
		writes := rapid.Float64Range(0, 0.1).Draw(t, "writes")
		split := rapid.IntRange(0, 8).Draw(t, "split")
		var cut bool
		f.links = func(a, b int) bool { return !cut || (a < split) == (b < split) }
		for range 2500 {
			if f.rnd.Float64() < writes {
				f.write(change{ofKind: f.rnd.IntN(8) == 0, deleted: f.rnd.IntN(3) == 0})
			}
			if f.rnd.Float64() < cuts {
				cut = !cut
			}
			for _, g := range f.gateways {
				f.disturb(g, cuts, freezes, lists)
			}
			f.step()
			for i, g := range f.gateways {
				at, confirmed := g.m.ConfirmedAt(simKind)
				lost, lacks := f.store.missing(g.copy.Position)
				if confirmed && lacks && at-g.offset > lost {
					t.Fatalf("gateway %d lacks a change of %v and counts as confirmed at %v", i, lost, at-g.offset)
				}
			}
		}
	})
}

// disturb cuts a gateway off from the store, freezes it or makes it list again.
func (f *fleet) disturb(g *simGateway, cuts, freezes, lists float64) {
	if f.rnd.Float64() < cuts {
		g.cutUntil = f.now + f.draw(6*time.Second)
	}
	if f.rnd.Float64() < freezes {
		g.frozenUntil = f.now + f.draw(3*time.Second)
	}
	if f.rnd.Float64() < lists {
		g.listed = false
	}
}

// run steps the fleet for a time.
func (f *fleet) runFor(d time.Duration) {
	for end := f.now + d; f.now < end; {
		if f.rnd.IntN(20) == 0 {
			f.write(change{})
		}
		f.step()
	}
}

// ages returns the ages of the confirmations of some gateways, lowest first.
func (f *fleet) ages(list []*simGateway) []time.Duration {
	var out []time.Duration
	for _, g := range list {
		at, _ := g.m.ConfirmedAt(simKind)
		out = append(out, f.now+g.offset-at)
	}
	slices.Sort(out)
	return out
}

// Guards against gateways that refuse keys in the first seconds of an outage of the store, as
// their own confirmation was up to two watches old when it began: 1,700 requests of a day.
func TestOutageBeginsWithAFreshConfirmation(t *testing.T) {
	for _, n := range []int{3, 30, 370} {
		f := newFleet(uint64(n), n)
		f.runFor(12 * time.Second)
		for _, g := range f.gateways {
			g.cutUntil = f.now + time.Hour
		}
		before := f.ages(f.gateways)
		f.runFor(2 * time.Second)
		after := f.ages(f.gateways)
		t.Logf("%d gateways: age at the outage's start %v to %v, 2 s later %v to %v", n, before[0], before[n-1], after[0], after[n-1])
		assert.Assert(t, after[n-1]-2*time.Second < 700*time.Millisecond, "oldest confirmation is %v old at the start of the outage", after[n-1]-2*time.Second)
	}
}

// Guards against refusals by a third of the gateways that the store refuses, or that are cut
// off from it, while the others are in contact.
func TestThirdCutOffStaysConfirmed(t *testing.T) {
	f := newFleet(5, 30)
	f.loss = 0.1
	f.runFor(5 * time.Second)
	third := f.gateways[:10]
	for _, g := range third {
		g.cutUntil = f.now + time.Hour
	}
	var worst time.Duration
	for range 60 {
		f.runFor(500 * time.Millisecond)
		worst = max(worst, slices.Max(f.ages(third)))
	}
	t.Logf("oldest confirmation in 30 s: %v", worst)
	assert.Assert(t, worst < 2*time.Second, worst)
}

// Guards the load of a quiet fleet on gateways of a tenth of a core, and on the store, whose
// calls for confirmations mustn't grow with the fleet.
func TestQuietFleetSendsLittle(t *testing.T) {
	for _, n := range []int{30, 370} {
		f := newFleet(uint64(n), n)
		f.runFor(8 * time.Second)
		f.bytes, f.sent, f.polls = 0, 0, 0
		f.runFor(10 * time.Second)
		ages := f.ages(f.gateways)
		t.Logf("%d gateways: each sends %.1f datagrams and %.0f bytes a second, %.0f with headers; %.1f polls a second in all; ages %v to %v, median %v",
			n, float64(f.sent)/float64(10*n), float64(f.bytes)/float64(10*n), float64(f.bytes+28*f.sent)/float64(10*n),
			float64(f.polls)/10, ages[0], ages[n-1], ages[n/2])
		assert.Assert(t, float64(f.bytes+28*f.sent)/float64(10*n) < 2000)
		assert.Assert(t, f.polls < 120, "%d polls in 10 s", f.polls)
	}
}

// Guards against a confirmation that counts from the answer rather than the question.
func TestAnswerCountsFromItsQuestion(t *testing.T) {
	m := newMachine(10, 7, 7)
	q := m.Tick(5*time.Second, []string{"a"}, []string{"a"})
	assert.Equal(t, len(q), 1)
	m.Receive(6500*time.Millisecond, "a", answerOf(q[0].Message.Question, 7, 100*time.Millisecond))
	assertConfirmed(t, m, 4900*time.Millisecond)
}

// Guards against confirmations by messages that answer no open question: repeated, late,
// forged or pushed ones.
func TestOnlyAnOpenQuestionConfirms(t *testing.T) {
	m := newMachine(10, 7, 7)
	now := 5 * time.Second
	q := m.Tick(now, []string{"a", "b"}, []string{"a", "b"})
	number := q[0].Message.Question
	m.Receive(now, "c", answerOf(number, 7, 0))
	m.Receive(now, q[1].To, answerOf(number, 7, 0))
	m.Receive(now, q[0].To, answerOf(number+1, 7, 0))
	m.Receive(now, q[0].To, Message{Copies: answerOf(0, 7, 0).Copies})
	m.Receive(now+questionTTL+1, q[0].To, answerOf(number, 7, 0))
	_, confirmed := m.ConfirmedAt(simKind)
	assert.Assert(t, !confirmed)

	m.Receive(now+1, q[0].To, answerOf(number, 7, time.Second))
	assertConfirmed(t, m, 4*time.Second)
	m.Receive(now+2, q[0].To, answerOf(number, 7, 0))
	assertConfirmed(t, m, 4*time.Second)
	assert.Equal(t, m.Counts().Confirmations, uint64(1))
}

// Guards against a copy that counts as confirmed though a peer's has a change that it lacks,
// and against a gateway that doesn't ask the store then.
func TestNewerCopyOfAPeerMakesTheGatewayAskTheStore(t *testing.T) {
	m := newMachine(10, 7, 7)
	now := 5 * time.Second
	m.Confirmed(simKind, now-time.Second)
	q := m.Tick(now, []string{"a", "b"}, []string{"a", "b"})
	m.Due()
	m.Receive(now, q[0].To, answerOf(q[0].Message.Question, 11, 0))
	assertConfirmed(t, m, now-time.Second)
	assert.DeepEqual(t, m.Due(), []string{simKind})
	m.Receive(now, q[1].To, answerOf(q[1].Message.Question, 11, 0))
	assert.Equal(t, len(m.Due()), 0, "the same change is asked for once")
	m.Applied(simKind, Copy{Position: 12, Changed: 11, Newest: 11})
	assertConfirmed(t, m, now-time.Second)
}

// Guards against a confirmation by a peer whose copy is behind: it says nothing of changes
// after its own newest one.
func TestCopyBehindConfirmsNothing(t *testing.T) {
	m := newMachine(10, 9, 9)
	q := m.Tick(5*time.Second, []string{"a"}, []string{"a"})
	m.Receive(5*time.Second, "a", answerOf(q[0].Message.Question, 7, 0))
	_, confirmed := m.ConfirmedAt(simKind)
	assert.Assert(t, !confirmed)
	assert.Equal(t, len(m.Due()), 1, "a copy that nobody confirmed is polled for")
}

// Guards against a deletion that a listing doesn't show: after one, the newest change may be
// as new as the listing, and a copy that is older isn't confirmed.
func TestListingMayHideADeletion(t *testing.T) {
	listed := newMachine(20, 20, 7)
	listed.Confirmed(simKind, time.Second)
	older := newMachine(18, 7, 7)
	q := older.Tick(2*time.Second, []string{"a"}, []string{"a"})
	a := listed.Receive(9*time.Second, "b", q[0].Message)
	assert.Equal(t, a[0].Message.Copies[0].Changed, uint64(20))
	assert.Equal(t, a[0].Message.Copies[0].Age, 8*time.Second)
	older.Receive(2*time.Second, "a", a[0].Message)
	_, confirmed := older.ConfirmedAt(simKind)
	assert.Assert(t, !confirmed)

	// The other way round, the listing has all that the older copy has.
	q = listed.Tick(9*time.Second, []string{"b"}, []string{"b"})
	listed.Receive(9*time.Second, "b", answerOf(q[0].Message.Question, 7, 0))
	assertConfirmed(t, listed, 9*time.Second)
}

// Guards against a gateway that keeps its confirmation when the store was set back: its
// revisions name other changes then.
func TestCopySetBackIsNotConfirmed(t *testing.T) {
	m := newMachine(20, 20, 20)
	m.Confirmed(simKind, time.Second)
	m.Applied(simKind, Copy{Position: 5, Changed: 5, Newest: 5})
	_, confirmed := m.ConfirmedAt(simKind)
	assert.Assert(t, !confirmed)
}

// Guards against impossible messages: they are counted and change nothing, and a question
// isn't used up by them.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	m := newMachine(10, 7, 7)
	now := 5 * time.Second
	q := m.Tick(now, []string{"a"}, []string{"a"})[0].Message.Question
	two := answerOf(q, 7, 0)
	two.Copies = append(two.Copies, two.Copies[0])
	many := Message{Answers: q, Copies: make([]Answer, maxCopies+1)}
	bad := []Message{
		{},
		{Question: 1, Answers: q},
		{Question: 1, Copies: answerOf(q, 7, 0).Copies},
		answerOf(q, 0, 0), answerOf(q, 7, -1), answerOf(q, 7, maxAge+1),
		{Answers: q, Copies: []Answer{{Changed: 7}}},
		two, many,
	}
	for i, x := range bad {
		assert.Equal(t, len(m.Receive(now, "a", x)), 0)
		assert.Equal(t, m.Counts().Malformed, uint64(i+1))
	}
	_, confirmed := m.ConfirmedAt(simKind)
	assert.Assert(t, !confirmed)
	m.Receive(now, "a", Message{Answers: q, Copies: []Answer{{Kind: "other", Changed: 7}, {Kind: simKind, Changed: 7}}})
	assertConfirmed(t, m, now)
}

// Guards against answers from a gateway that has no confirmed copy yet.
func TestStartingGatewayAnswersNothing(t *testing.T) {
	m := New(rand.New(rand.NewPCG(1, 2)))
	m.Keep(simKind, ForExpiry(5*time.Second))
	assert.Equal(t, len(m.Receive(time.Second, "a", Message{Question: 1})), 0)
	assert.Equal(t, len(m.Tick(time.Second, []string{"a"}, []string{"a"})), 0, "a gateway without a copy asks nobody")
	m.Applied(simKind, Copy{Position: 10, Changed: 7, Newest: 7})
	assert.Equal(t, len(m.Receive(time.Second, "a", Message{Question: 1})), 0)
}
