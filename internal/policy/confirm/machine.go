package confirm

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// questionTTL is how long an answer counts.
	questionTTL = 2 * time.Second
	// behindInterval is how often the store is asked because of the same missing change.
	behindInterval = 500 * time.Millisecond
	// maxAge and maxCopies bound what a message may say.
	maxAge    = 24 * time.Hour
	maxCopies = 8
)

// Copy describes a gateway's copy of all objects of one kind.
type Copy struct {
	// Position is the store's revision up to which the copy has all changes.
	Position uint64
	// Changed is at least the revision of the newest change of the kind up to Position, and
	// Newest at most that: a listing doesn't show when the last object was deleted.
	Changed, Newest uint64
}

// Message is a question, or the answer to one.
type Message struct {
	// Question is the number of the question that is asked, Answers that of the one that is
	// answered; the other one is 0.
	Question, Answers uint64
	Copies            []Answer
	// Indirect: the answerer doesn't follow the store itself, or its calls fail.
	Indirect bool
}

// Answer is what an answer says of one kind: Age before it was made, the answerer's copy
// with its newest change at revision Changed lacked no change.
type Answer struct {
	Kind    string
	Changed uint64
	Age     time.Duration
}

// Envelope is a message to a peer.
type Envelope struct {
	To      string
	Message Message
}

// Counts are the events since the machine was made.
type Counts struct {
	// Questions were asked, Confirmations made the own one fresher, Newer showed a change
	// that the copy lacks, Late came without an open question, Malformed were impossible.
	Questions, Confirmations, Newer, Late, Malformed uint64
}

// state is what is known of one kind.
type state struct {
	copy Copy
	// ages is nil unless Tick keeps the confirmation fresh.
	ages *Ages
	// at is the moment as of which the copy lacks no change, if confirmed is set.
	at        time.Duration
	confirmed bool
	// leads: the confirmation is by a call of this gateway, and so the freshest one that it knows of.
	// Otherwise source is the peer whose answer last made it fresher, "" for none.
	leads  bool
	source string
	// newer is the highest revision that a peer's copy has, and behind is set while the
	// store should be asked because of it. behindAt is when it was last set.
	newer    uint64
	behind   bool
	behindAt time.Duration
}

// question is one that was sent to a peer.
type question struct {
	to string
	at time.Duration
}

// Machine is the state of one gateway. All times are of its clock, which counts suspension.
type Machine struct {
	random    *rand.Rand
	kinds     map[string]*state
	questions map[uint64]question
	// polls has the kinds that are due for a poll in their turn.
	polls map[string]bool
	// pollers is how many gateways poll in their turn, 0 for all, and polling is set if this is
	// one.
	pollers int
	polling bool
	counts  Counts
	// accepted is the answer that the last Receive accepted, nil for none.
	accepted *Accepted
}

// Accepted is an answer to an open question, which was asked at a time.
type Accepted struct {
	From    string
	AskedAt time.Duration
	Copies  []Answer
	// Indirect is Message.Indirect.
	Indirect bool
}

// New returns a Machine that draws from random.
func New(random *rand.Rand) *Machine {
	return &Machine{random: random, kinds: map[string]*state{}, questions: map[uint64]question{}, polls: map[string]bool{}, polling: true}
}

func (m *Machine) state(kind string) *state {
	s := m.kinds[kind]
	if s == nil {
		s = &state{}
		m.kinds[kind] = s
	}
	return s
}

// Keep makes Tick keep the confirmation of a kind fresh.
func (m *Machine) Keep(kind string, a Ages) { m.state(kind).ages = &a }

// TickInterval returns how often Tick is to be called.
func (m *Machine) TickInterval() time.Duration {
	out := maxTick
	for _, s := range m.kinds {
		if s.ages != nil {
			out = min(out, s.ages.Tick)
		}
	}
	return out
}

// SetPollers sets how many gateways poll the store in their turn, 0 for all, and whether this
// is one of them.
func (m *Machine) SetPollers(n int, self bool) { m.pollers, m.polling = n, self }

// Accepted returns the answer that the last Receive accepted, nil if it accepted none.
func (m *Machine) Accepted() *Accepted { return m.accepted }

// Applied records that the gateway's copy has all changes up to c.Position. It is called after
// they were put in force. A copy that goes back, as the store was, keeps no confirmation.
func (m *Machine) Applied(kind string, c Copy) {
	s := m.state(kind)
	if c.Position < s.copy.Position {
		*s = state{ages: s.ages}
	}
	s.copy = c
	if s.newer <= c.Position {
		s.newer, s.behind = 0, false
	}
}

// Confirmed records that the copy lacked no change at a moment, by a call to the store that
// began then.
func (m *Machine) Confirmed(kind string, at time.Duration) {
	s := m.state(kind)
	if !s.confirmed || at > s.at {
		s.at, s.confirmed, s.leads = at, true, true
	}
}

// ConfirmedAt returns the latest moment as of which the copy is known to lack no change.
func (m *Machine) ConfirmedAt(kind string) (time.Duration, bool) {
	s, ok := m.kinds[kind]
	if !ok {
		return 0, false
	}
	return s.at, s.confirmed
}

// Counts returns the counts of events.
func (m *Machine) Counts() Counts { return m.counts }

// age returns the age of a kind's confirmation, 0 if no copy was applied. A kind that was never
// confirmed counts as stale.
func (s *state) age(now time.Duration) time.Duration {
	switch {
	case s.copy.Position == 0:
		return 0
	case !s.confirmed:
		return maxAge
	}
	return now - s.at
}

// Tick returns questions to peers if a confirmation is old. It is called each TickInterval with
// the addresses of other gateways: near are those to ask, and all those to ask if near don't help.
func (m *Machine) Tick(now time.Duration, near, all []string) []Envelope {
	maps.DeleteFunc(m.questions, func(_ uint64, q question) bool { return now-q.at > questionTTL })
	m.drawPolls(now, len(all))
	peers, n := near, 0
	// The peers that helped last: each leads back to the gateway that polls.
	var sources []string
	for _, s := range m.kinds {
		switch age := s.age(now); {
		case s.ages == nil:
		case age > s.ages.Stale:
			peers, n = all, askCountStale
		case m.polling && s.leads && s.ages.Lead > 0 && age > s.ages.PollerAsk:
			// Of several gateways that lead all but one give way.
			n = askCountStale
		case age > s.ages.Ask, m.polling && age > s.ages.PollerAsk:
			n = max(n, askCount)
			if s.source != "" && !slices.Contains(sources, s.source) && slices.Contains(near, s.source) {
				sources = append(sources, s.source)
			}
		}
	}
	var out []Envelope
	if len(sources) > 0 {
		n = max(n, len(sources)+1)
	}
	for _, to := range m.draw(peers, n, sources) {
		out = append(out, m.Ask(now, to))
	}
	return out
}

// drawPolls draws whether it is this gateway's turn to poll the store.
func (m *Machine) drawPolls(now time.Duration, peers int) {
	clear(m.polls)
	pollers := peers + 1
	if m.pollers > 0 {
		pollers = m.pollers
	}
	tick := m.TickInterval()
	for kind, s := range m.kinds {
		if s.ages == nil {
			continue
		}
		age := s.age(now)
		// A gateway that knows no other spares nobody a call by polling sooner than it must.
		takesTurns := m.polling && (peers > 0 || s.ages.Lead == 0)
		if age > s.ages.OwnPoll || takesTurns && s.ages.takesTurn(age, tick, s.leads, m.random.Float64(), pollers) {
			m.polls[kind] = true
		}
	}
}

// draw returns n peers, or all of fewer: those of first, and others at random.
func (m *Machine) draw(peers []string, n int, first []string) []string {
	n = min(n, len(peers))
	out := first[:min(n, len(first))]
	for len(out) < n {
		if p := peers[m.random.IntN(len(peers))]; !slices.Contains(out, p) {
			out = append(out, p)
		} else if n == len(peers) {
			return peers
		}
	}
	return out
}

// Ask returns a question to a peer, whatever the age of the confirmations.
func (m *Machine) Ask(now time.Duration, to string) Envelope {
	number := max(1, m.random.Uint64())
	m.questions[number] = question{to: to, at: now}
	m.counts.Questions++
	return Envelope{To: to, Message: Message{Question: number}}
}

// Due returns the kinds for which the store should be polled now: because it is this
// gateway's turn, or a peer has a change that the copy lacks. Each is returned once.
func (m *Machine) Due() []string {
	var out []string
	for kind, s := range m.kinds {
		if s.behind || m.polls[kind] {
			out = append(out, kind)
		}
		s.behind = false
	}
	clear(m.polls)
	slices.Sort(out)
	return out
}

// Receive handles a message of a peer and returns the answer, if it is a question. now is
// read after the message was received.
func (m *Machine) Receive(now time.Duration, from string, x Message) []Envelope {
	m.accepted = nil
	switch {
	case !x.valid():
		m.counts.Malformed++
	case x.Question != 0:
		return m.answer(now, from, x.Question)
	default:
		m.answered(now, from, x)
	}
	return nil
}

// valid reports whether a message can be one of a sound peer.
func (x Message) valid() bool {
	if (x.Question == 0) == (x.Answers == 0) || x.Question != 0 && len(x.Copies) > 0 || len(x.Copies) > maxCopies {
		return false
	}
	seen := map[string]bool{}
	for _, c := range x.Copies {
		if c.Kind == "" || seen[c.Kind] || c.Changed == 0 || c.Age < 0 || c.Age > maxAge {
			return false
		}
		seen[c.Kind] = true
	}
	return true
}

// answer says what is known of each kind, nothing if nothing is confirmed.
func (m *Machine) answer(now time.Duration, to string, question uint64) []Envelope {
	x := Message{Answers: question}
	for _, kind := range slices.Sorted(maps.Keys(m.kinds)) {
		s := m.kinds[kind]
		if !s.confirmed || s.copy.Changed == 0 || now-s.at > maxAge || len(x.Copies) == maxCopies {
			continue
		}
		x.Copies = append(x.Copies, Answer{Kind: kind, Changed: s.copy.Changed, Age: max(0, now-s.at)})
	}
	if len(x.Copies) == 0 {
		return nil
	}
	return []Envelope{{To: to, Message: x}}
}

// answered applies an answer, if its question is open.
func (m *Machine) answered(now time.Duration, from string, x Message) {
	q, ok := m.questions[x.Answers]
	if !ok || q.to != from || now-q.at > questionTTL {
		m.counts.Late++
		return
	}
	delete(m.questions, x.Answers)
	m.accepted = &Accepted{From: from, AskedAt: q.at, Copies: x.Copies, Indirect: x.Indirect}
	for _, c := range x.Copies {
		if s := m.kinds[c.Kind]; s != nil && s.copy.Position > 0 {
			m.compare(now, s, c, q.at-c.Age, from)
		}
	}
}

// compare applies what a peer says of its copy, which lacked no change at a moment.
func (m *Machine) compare(now time.Duration, s *state, c Answer, at time.Duration, from string) {
	switch {
	case c.Changed > s.copy.Position:
		m.counts.Newer++
		if c.Changed > s.newer || now-s.behindAt >= behindInterval {
			s.behind, s.behindAt = true, now
		}
		s.newer = max(s.newer, c.Changed)
	case c.Changed < s.copy.Newest:
		// The peer's copy lacks a change that this one has.
	case !s.confirmed || at > s.at:
		s.at, s.confirmed = at, true
		s.leads, s.source = false, from
		m.counts.Confirmations++
	}
}
