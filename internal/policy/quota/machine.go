package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// helloInterval is how often a starting gateway greets those that haven't answered.
	helloInterval = 100 * time.Millisecond
	// collectInterval is how often a pool collects the tokens of an organisation in use.
	collectInterval = 250 * time.Millisecond
	// minCollectPause is the least pause between two collections of an organisation.
	minCollectPause = 60 * time.Millisecond
	// collectFleet is the number of gateways above which collections become rarer in
	// proportion, as each of them asks all gateways.
	collectFleet = 48
	// maxCollectParts bounds the accounts in one ask of a collection, so that its answer
	// fits into a datagram.
	maxCollectParts = 64
	// activeFor is how long after the last ask an organisation counts as in use.
	activeFor = 2 * time.Second
	// holdAsk is how long a pool holds an ask that it can't grant while it collects.
	holdAsk = 25 * time.Millisecond
	// answerTimeout is how long an asked gateway may take before another is asked.
	answerTimeout = 150 * time.Millisecond
	// suspectFor is how long a gateway that didn't answer isn't asked.
	suspectFor = time.Second
	// rememberAsks is how long an ask is remembered, and its answer accepted.
	rememberAsks = 3 * time.Second
	// richFactor is how many times Part.Want a pool must hold to grant that and not only
	// Part.Need.
	richFactor = 4
	// roundingLoss is the most that the tokens of an answer lose on their way, as each lot
	// is rounded down to a thousandth of a token. An ask includes it: without it, most
	// answers would be a few thousandths short, and the request would ask again.
	roundingLoss = 0.05
	// maxDenied bounds how long a denial is taken to hold for later requests.
	maxDenied = 100 * time.Millisecond
)

// account is an organisation's account with what the machine knows about its use.
type account struct {
	*Account
	key uint64
	// used is the use of this gateway, asks what others asked of it as the pool.
	used, asks use
	// shortUntil is until when this gateway as the pool counts the organisation as short of
	// tokens. told is the most urgent rank in use as the pool said, the last one if there is no
	// shortage, until toldUntil.
	shortUntil time.Duration
	told       int
	toldUntil  time.Duration
	// allowed is what the pool has granted for requests that yield to more urgent ones.
	// They may use it until allowedUntil.
	allowed      float64
	allowedUntil time.Duration
	// asked is when this gateway was last asked for tokens, or asked itself as the pool,
	// collected when it last collected.
	asked, collected time.Duration
	// held are the asks that wait for a collection, by rank and then by arrival.
	held []heldAsk
	// denied are the last denials, by rank.
	denied [ranks]denial
	// kept is what this gateway keeps from collections until keptUntil, as it has asked for
	// what its request lacks beyond it.
	kept      float64
	keptUntil time.Duration
	// order are the gateways by their rank as the pool.
	order []string
}

// denial is the answer that a need can't be met before a time. It holds until expires.
type denial struct {
	need            float64
	before, expires time.Duration
}

// ask is an ask that this gateway sent.
type ask struct {
	to string
	at time.Duration
	// overdue: the receiver was found not to answer in time.
	overdue bool
	// rank is that of the request; yields: it leaves tokens to more urgent ones.
	rank   int
	yields bool
}

// Machine is one gateway's part of the exchange of tokens. It isn't safe for concurrent
// use.
type Machine struct {
	self     string
	shares   *Shares
	peers    []string
	accounts map[uint64]*account
	byName   map[string]*account
	asks     map[uint64]ask
	// suspects are gateways that don't answer, with the time until which they aren't asked.
	suspects  map[string]time.Duration
	lastHello time.Duration
	// credit is what each account begins with, until creditEnds. credited are the
	// organisations that have had it.
	credit     float64
	creditEnds time.Duration
	credited   map[string]bool
	// fraction is that at which accounts created at the last Tick.
	fraction float64
}

// NewMachine returns the Machine of the gateway self.
func NewMachine(self string) *Machine {
	return &Machine{
		self: self, shares: NewShares(self), accounts: map[uint64]*account{}, byName: map[string]*account{},
		asks: map[uint64]ask{}, suspects: map[string]time.Duration{}, credited: map[string]bool{},
	}
}

// SetListed sets the listed gateways, including this one, complete as of read.
func (m *Machine) SetListed(ids []string, read, now time.Duration) {
	m.shares.SetListed(ids, read, now)
	m.peers = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == m.self })
	for _, a := range m.accounts {
		a.order = nil
	}
}

// SetLimits sets the limited organisations. An account whose limit changes passes what it
// holds on to the new one.
func (m *Machine) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, a := range m.byName {
		if _, ok := limits[name]; !ok {
			delete(m.accounts, a.key)
			delete(m.byName, name)
		}
	}
	for name, l := range limits {
		key := KeyOf(name, l)
		before := m.byName[name]
		if before != nil && before.key == key {
			continue
		}
		a := &account{Account: NewAccount(l, now), key: key}
		m.create(a, now)
		if before != nil {
			a.Adopt(now, before.Account)
			a.used = before.used
			delete(m.accounts, before.key)
		}
		m.accounts[key], m.byName[name] = a, a
	}
	m.applyCredit(now)
}

// CreditLife is how long the tokens of a start credit may be spent.
const CreditLife = 3 * time.Second

// GrantCredit gives each organisation's account so many tokens, once. All tokens are lost
// when all gateways restart, and a whole fleet would refuse until it has created new ones.
//
// A gateway may be granted a credit once in a window and CreditLife. All credits together
// then add no more to a window than one credit of each gateway.
func (m *Machine) GrantCredit(now time.Duration, tokens float64) {
	m.credit, m.creditEnds = tokens, now+CreditLife
	m.applyCredit(now)
}

func (m *Machine) applyCredit(now time.Duration) {
	if now >= m.creditEnds {
		return
	}
	for name, a := range m.byName {
		if !m.credited[name] {
			m.credited[name] = true
			a.insert(lot{tokens: m.credit, expires: m.creditEnds})
		}
	}
}

// Outcome says whether a request may be sent.
type Outcome int

// The outcomes.
const (
	// Granted: the tokens are taken, or the organisation isn't limited.
	Granted Outcome = iota
	// Short: other gateways may have the tokens.
	Short
	// Denied: there are too few tokens at present.
	Denied
	// Impossible: the request costs more than can ever be held.
	Impossible
)

// Take takes the tokens of a request of a rank from the organisation's account. wait is when
// a denied request may succeed.
func (m *Machine) Take(now time.Duration, name string, tokens float64, rank int) (t Taken, o Outcome, wait time.Duration) {
	a := m.byName[name]
	if a == nil {
		return Taken{}, Granted, 0
	}
	if tokens > a.limit.Capacity() {
		return Taken{}, Impossible, 0
	}
	m.create(a, now)
	if m.available(now, a, rank) >= tokens {
		if a.yields(now, rank) {
			a.allowed = max(0, a.allowed-tokens)
		}
		t, _ := a.Take(now, tokens)
		t.account, t.rank = a.key, rank
		a.used.record(now, rank, tokens)
		return t, Granted, 0
	}
	if a.collected > 0 && now-a.collected >= holdAsk && m.pool(a, now) == m.self {
		a.recordShortage(now)
	}
	lack := m.lack(now, a, tokens, rank)
	if d, ok := a.denial(now, rank, lack); ok {
		return Taken{}, Denied, d.before - now
	}
	return Taken{}, Short, a.timeToGet(now, lack, rank)
}

// Wait returns when a request of a rank may succeed that can't take its tokens now.
func (m *Machine) Wait(now time.Duration, name string, tokens float64, rank int) time.Duration {
	a := m.byName[name]
	if a == nil {
		return 0
	}
	m.create(a, now)
	return a.timeToGet(now, m.lack(now, a, tokens, rank), rank)
}

// Return gives back what a request took that hasn't run. What was taken under another
// limit is lost, as the new one may be lower.
func (m *Machine) Return(now time.Duration, name string, t Taken) {
	if a := m.byName[name]; a != nil && t.account == a.key {
		a.Return(now, t)
		a.used.record(now, t.rank, -t.Tokens)
	}
}

// Fraction returns the fraction of each organisation's rate that this gateway creates.
func (m *Machine) Fraction(now time.Duration) float64 { return m.shares.Fraction(now) }

// Balance returns the tokens that this gateway holds for an organisation.
func (m *Machine) Balance(now time.Duration, name string) float64 {
	if a := m.byName[name]; a != nil {
		return a.Balance(now)
	}
	return 0
}

// Ask returns the messages that get the tokens which the account lacks for a request of a
// rank.
func (m *Machine) Ask(now time.Duration, name string, tokens float64, rank int) []Envelope {
	a := m.byName[name]
	if a == nil {
		return nil
	}
	need := m.lack(now, a, tokens, rank)
	pool := m.pool(a, now)
	if pool == m.self {
		a.asked = now
		a.asks.record(now, rank, need)
		return m.collect(now, []*account{a}, minCollectPause)
	}
	if need <= 0 {
		return nil
	}
	part := Part{Account: a.key, Rank: rank, Need: need, Want: need}
	yields := a.yields(now, rank)
	if !yields {
		part.Want += a.used.upTo(now, rank) * aheadUse.Seconds()
		a.kept, a.keptUntil = tokens-need, now+holdAsk
	}
	e := m.newAsk(now, pool, Message{Parts: []Part{part}})
	x := m.asks[e.ID]
	x.rank, x.yields = rank, yields
	m.asks[e.ID] = x
	return []Envelope{e}
}

// Receive handles a message of a listed gateway and returns the answers to it.
func (m *Machine) Receive(now time.Duration, from string, msg Message) []Envelope {
	// Gateways send only to those that they list.
	m.shares.Answered(from)
	switch {
	case msg.Answer:
		return m.receiveAnswer(now, from, msg)
	case msg.Collect || len(msg.Parts) == 0:
		return []Envelope{m.answerCollection(now, from, msg)}
	}
	var out []Envelope
	for _, p := range msg.Parts {
		if m.accounts[p.Account] == nil {
			// The sender goes by another limit.
			out = append(out, Envelope{To: from, Message: Message{ID: msg.ID, Answer: true}})
			continue
		}
		out = append(out, m.receiveAsk(now, heldAsk{from: from, id: msg.ID, part: p, until: now + holdAsk})...)
	}
	return out
}

func (m *Machine) receiveAnswer(now time.Duration, from string, msg Message) []Envelope {
	x, ok := m.asks[msg.ID]
	if !ok || x.to != from {
		return nil
	}
	delete(m.asks, msg.ID)
	delete(m.suspects, from)
	var out []Envelope
	for _, p := range msg.Parts {
		a := m.accounts[p.Account]
		if a == nil {
			continue
		}
		a.Receive(now, x.at, p.Lots)
		if x.yields {
			a.allow(now, p.Lots)
		} else {
			a.keptUntil = now
		}
		if len(p.Lots) == 0 && p.Wait > 0 {
			a.denied[x.rank] = denial{need: p.Need, before: now + p.Wait, expires: now + min(p.Wait, maxDenied)}
		}
		out = append(out, m.serveHeld(now, a)...)
	}
	return out
}

// answerCollection gives a pool what this gateway doesn't need itself.
func (m *Machine) answerCollection(now time.Duration, from string, msg Message) Envelope {
	out := Envelope{To: from, Message: Message{ID: msg.ID, Answer: true}}
	for _, p := range msg.Parts {
		a := m.accounts[p.Account]
		if a == nil {
			continue
		}
		m.create(a, now)
		a.told, a.toldUntil = p.Rank, now+activeFor
		if lots := a.Give(now, a.transferable(now)-a.keep(now)); len(lots) > 0 {
			out.Parts = append(out.Parts, Part{Account: p.Account, Lots: lots})
		}
	}
	return out
}

// Tick does what is due: it denies the asks that were held for long enough, collects for
// organisations in use and gives up on unanswered asks.
func (m *Machine) Tick(now time.Duration) []Envelope {
	var out []Envelope
	var due []*account
	m.createAtNewFraction(now)
	for _, a := range m.accounts {
		out = append(out, m.denyHeld(now, a)...)
		if now-a.asked < activeFor && a.asked > 0 && m.pool(a, now) == m.self {
			due = append(due, a)
		}
		if len(a.held) > 0 && a.asks.precedes(now, a.held[0].part.Rank) {
			out = append(out, m.collect(now, []*account{a}, minCollectPause)...)
		}
	}
	m.checkAsks(now)
	out = append(out, m.collect(now, due, collectInterval)...)
	if now-m.lastHello >= helloInterval {
		m.lastHello = now
		for _, id := range m.shares.Unanswered() {
			out = append(out, m.newAsk(now, id, Message{}))
		}
	}
	return out
}

// checkAsks suspects the gateways that didn't answer in time and forgets old asks.
func (m *Machine) checkAsks(now time.Duration) {
	for id, x := range m.asks {
		if now-x.at > rememberAsks {
			delete(m.asks, id)
			continue
		}
		if !x.overdue && now-x.at > answerTimeout {
			m.suspects[x.to] = now + suspectFor
			x.overdue = true
			m.asks[id] = x
		}
	}
}

// collect asks all others for what they don't need of the accounts that weren't
// collected within pause, or longer in a large fleet.
func (m *Machine) collect(now time.Duration, list []*account, pause time.Duration) []Envelope {
	pause = time.Duration(float64(pause) * max(1, float64(len(m.peers))/collectFleet))
	var parts []Part
	for _, a := range list {
		if now-a.collected >= pause || a.collected == 0 {
			a.collected = now
			parts = append(parts, Part{Account: a.key, Rank: a.mostUrgent(now)})
		}
	}
	var out []Envelope
	for _, id := range m.peers {
		if m.isSuspect(id, now) {
			continue
		}
		for some := range slices.Chunk(parts, maxCollectParts) {
			out = append(out, m.newAsk(now, id, Message{Collect: true, Parts: some}))
		}
	}
	return out
}

func (m *Machine) newAsk(now time.Duration, to string, msg Message) Envelope {
	msg.ID = rand.Uint64()
	m.asks[msg.ID] = ask{to: to, at: now}
	return Envelope{To: to, Message: msg}
}

func (m *Machine) isSuspect(id string, now time.Duration) bool {
	until, ok := m.suspects[id]
	if ok && until <= now {
		delete(m.suspects, id)
		return false
	}
	return ok
}

// pool returns the gateway that is asked first for an account's tokens.
func (m *Machine) pool(a *account, now time.Duration) string {
	if a.order == nil {
		a.order = rank(a.key, append(slices.Clone(m.peers), m.self))
	}
	for _, id := range a.order {
		if id == m.self || !m.isSuspect(id, now) {
			return id
		}
	}
	return m.self
}

// createAtNewFraction makes all accounts create their tokens when the fraction changes. An
// account that isn't used would otherwise go on creating at the fraction of its last use,
// which is 0 after a start.
func (m *Machine) createAtNewFraction(now time.Duration) {
	f := m.shares.Fraction(now)
	if f == m.fraction {
		return
	}
	m.fraction = f
	for _, a := range m.accounts {
		a.Create(now, f)
	}
}

func (m *Machine) create(a *account, now time.Duration) { a.Create(now, m.shares.Fraction(now)) }
