package confirm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const simStep = 5 * time.Millisecond

// simKind is the kind that the simulated gateways follow.
const simKind = "config"

// change is one write to the simulated store. Only those of the kind are of interest; the
// others raise its revision. A listing doesn't show deletions.
type change struct {
	at      time.Duration
	ofKind  bool
	deleted bool
}

// simStore has the writes in the order of their revisions, which begin at 1.
type simStore struct{ changes []change }

func (s *simStore) revisionAt(at time.Duration) uint64 {
	n, _ := slices.BinarySearchFunc(s.changes, at, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	return uint64(n)
}

// missing returns when the first change of the kind behind a position was written.
func (s *simStore) missing(position uint64) (time.Duration, bool) {
	for _, c := range s.changes[position:] {
		if c.ofKind {
			return c.at, true
		}
	}
	return 0, false
}

// simGateway is a gateway whose clock is offset from the simulation's.
type simGateway struct {
	m      *Machine
	offset time.Duration
	copy   Copy
	listed bool
	// frozenUntil is when it goes on; cutUntil is when it reaches the store again.
	frozenUntil, cutUntil time.Duration
	nextTick, nextWatch   time.Duration
	peers                 []string
	// followers are set at a gateway that holds no watch and asks these every askInterval; near
	// are the gateways that it asks by itself.
	followers, near []string
	nextAsk         time.Duration
}

type simEvent struct {
	at   time.Duration
	to   int
	from int
	x    Message
	call *simCall
}

// simCall is a call to the store that began, was served and is answered at different times.
type simCall struct {
	began  time.Duration
	after  uint64
	at     uint64
	listed bool
}

// fleet simulates gateways, their store and the datagrams between them.
type fleet struct {
	rnd      *rand.Rand
	now      time.Duration
	store    simStore
	gateways []*simGateway
	// queue has the events by the step in which they are due.
	queue map[time.Duration][]simEvent
	// hold is how long the store holds a watch without changes.
	hold time.Duration
	// delay bounds the delay of a datagram, call that of a call's way to the store and back.
	delay, call   time.Duration
	loss, repeats float64
	// links reports whether datagrams pass between two gateways.
	links func(a, b int) bool
	// keep is what all gateways are told to keep fresh, askInterval how often followers are asked.
	keep        Ages
	askInterval time.Duration
	// bytes and sent count what gateways sent, polls their calls beside their watches.
	bytes, sent, polls, relayedPolls int
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		keep: ForExpiry(5 * time.Second),
		rnd:  rand.New(rand.NewPCG(seed, 1)), now: time.Hour, hold: 1800 * time.Millisecond,
		queue: map[time.Duration][]simEvent{}, delay: 2 * time.Millisecond, call: 4 * time.Millisecond, links: func(int, int) bool { return true },
	}
	f.store.changes = []change{{at: 0, ofKind: true}}
	for i := range n {
		g := &simGateway{m: New(rand.New(rand.NewPCG(f.rnd.Uint64(), 2))), offset: time.Duration(f.rnd.Int64N(int64(time.Hour)))}
		g.m.Keep(simKind, f.keep)
		g.nextTick = f.now + f.draw(g.m.TickInterval())
		g.nextWatch = f.now + f.draw(time.Second)
		for j := range n {
			if j != i {
				g.peers = append(g.peers, f.address(j))
			}
		}
		g.near = g.peers
		f.gateways = append(f.gateways, g)
	}
	return f
}

// newZonedFleet returns a fleet in which perZone gateways of each zone follow the store, and keep
// their copies within a bound of it.
func newZonedFleet(seed uint64, zones, gateways, perZone int, bound time.Duration) *fleet {
	f := newFleet(seed, zones*gateways)
	f.keep, f.askInterval, f.hold = ForStaleness(bound), bound/8, 3*time.Second
	var near []string
	for i := range f.gateways {
		if i/zones < perZone {
			near = append(near, f.address(i))
		}
	}
	for i, g := range f.gateways {
		self := f.address(i)
		g.near = slices.DeleteFunc(slices.Clone(near), func(a string) bool { return a == self })
		follows := i/zones < perZone
		g.m.SetPollers(len(near), follows)
		for j := i % zones; !follows && j < zones*perZone; j += zones {
			g.followers = append(g.followers, f.address(j))
		}
	}
	return f
}

// schedule queues an event for the step at or after its time, the next one at the earliest.
func (f *fleet) schedule(e simEvent) {
	step := max(f.now/simStep+1, (e.at+simStep-1)/simStep)
	f.queue[step] = append(f.queue[step], e)
}

func (f *fleet) draw(most time.Duration) time.Duration {
	return time.Duration(f.rnd.Int64N(int64(most) + 1))
}

func (f *fleet) address(i int) string { return fmt.Sprint("g", i) }

func (f *fleet) write(c change) {
	c.at = f.now
	f.store.changes = append(f.store.changes, c)
}

// step advances the simulation.
func (f *fleet) step() {
	f.now += simStep
	due := f.queue[f.now/simStep]
	delete(f.queue, f.now/simStep)
	for _, e := range due {
		switch g := f.gateways[e.to]; {
		case g.frozenUntil > f.now:
			e.at = g.frozenUntil
			f.schedule(e)
		case e.call != nil:
			f.apply(g, e.call)
		default:
			f.post(e.to, g.m.Receive(f.now+g.offset, f.address(e.from), e.x))
			f.poll(e.to)
		}
	}
	for i, g := range f.gateways {
		if g.frozenUntil <= f.now {
			f.run(i, g)
		}
	}
}

func (f *fleet) run(i int, g *simGateway) {
	if g.nextTick <= f.now {
		g.m.Keep(simKind, f.keep)
		g.nextTick = f.now + g.m.TickInterval()
		f.post(i, g.m.Tick(f.now+g.offset, g.near, g.peers))
		f.poll(i)
	}
	if len(g.followers) > 0 && g.nextAsk <= f.now {
		g.nextAsk = f.now + f.askInterval
		for _, to := range g.followers {
			f.post(i, []Envelope{g.m.Ask(f.now+g.offset, to)})
		}
	}
	if (len(g.followers) == 0 || !g.listed) && g.nextWatch <= f.now {
		g.nextWatch = f.now + f.hold
		f.callStore(i, f.hold)
	}
}

func (f *fleet) poll(i int) {
	for range f.gateways[i].m.Due() {
		f.polls++
		if len(f.gateways[i].followers) > 0 {
			f.relayedPolls++
		}
		f.callStore(i, 0)
	}
}

// callStore begins a call that is held, with some delay on either way. A gateway that is cut
// off gets no answer.
func (f *fleet) callStore(i int, hold time.Duration) {
	g := f.gateways[i]
	if g.cutUntil > f.now {
		return
	}
	served := f.now + hold + f.draw(f.call)
	// What the store held then is drawn when the answer is read.
	f.schedule(simEvent{at: served, to: i, call: &simCall{began: f.now + g.offset, after: g.copy.Position, listed: g.listed}})
}

// apply serves a call whose answer was on its way for up to f.call.
func (f *fleet) apply(g *simGateway, c *simCall) {
	if g.cutUntil > f.now {
		return
	}
	// A frozen gateway reads the answer late: the state is one between the call and now.
	began := c.began - g.offset
	c.at = f.store.revisionAt(began + f.draw(f.now-began))
	f.put(g, c)
}

func (f *fleet) put(g *simGateway, c *simCall) {
	if c.at < c.after {
		// The store served the call before it saw the copy's position: no such answer.
		return
	}
	if c.listed && c.after > g.copy.Position {
		// The kind was listed again meanwhile, at an earlier revision.
		return
	}
	if !c.listed {
		if g.listed && c.at < g.copy.Position {
			return
		}
		g.copy = Copy{Position: c.at, Changed: c.at, Newest: f.newest(0, c.at)}
		g.listed = true
	} else if c.at > g.copy.Position {
		g.copy = f.advance(g.copy, c)
	}
	g.m.Applied(simKind, g.copy)
	g.m.Confirmed(simKind, c.began)
}

// advance returns the copy after a watch's answer, as a follower derives it: the revision of a
// deletion isn't told.
func (f *fleet) advance(x Copy, c *simCall) Copy {
	for i, w := range f.store.changes[c.after:c.at] {
		switch {
		case !w.ofKind:
		case w.deleted:
			x.Changed = c.at
		default:
			x.Changed = max(x.Changed, c.after+uint64(i)+1)
			x.Newest = max(x.Newest, c.after+uint64(i)+1)
		}
	}
	x.Position = c.at
	return x
}

// newest returns the newest change of the kind that a listing shows.
func (f *fleet) newest(from, to uint64) uint64 {
	for i := to; i > from; i-- {
		if w := f.store.changes[i-1]; w.ofKind && !w.deleted {
			return i
		}
	}
	return 0
}

// post sends datagrams, which may be lost, repeated and delayed.
func (f *fleet) post(from int, list []Envelope) {
	for _, e := range list {
		var to int
		_, _ = fmt.Sscanf(e.To, "g%d", &to)
		f.sent++
		f.bytes += size(e.Message)
		for again := true; again; again = f.rnd.Float64() < f.repeats {
			if f.links(from, to) && f.rnd.Float64() >= f.loss {
				f.schedule(simEvent{at: f.now + f.draw(f.delay), to: to, from: from, x: e.Message})
			}
		}
	}
}

// size is the number of bytes of a message in its datagram, as gossip's test prints them.
func size(x Message) int {
	n := 16
	for _, c := range x.Copies {
		n += 14 + len(c.Kind)
	}
	return n
}
