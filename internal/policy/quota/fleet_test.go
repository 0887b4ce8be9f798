package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet simulates gateways that exchange tokens over a network. Its clock starts well
// after zero, as a boot clock does.
type fleet struct {
	rnd      *rand.Rand
	now      time.Duration
	machines []*Machine
	names    []string
	limits   map[string]Limit
	queue    events
	// latency and loss are the network's; drops reports whether a message between two
	// gateways is cut off.
	latency time.Duration
	loss    float64
	repeats float64
	drops   func(from, to int) bool
	// returned is the part of the granted requests that don't run and give back what they
	// took.
	returned float64
	// ranks is the number of ranks that requests have.
	ranks    int
	spent    []spending
	waiting  []*simRequest
	granted  int
	refused  int
	seq      int
	listings []string
	// credit is each gateway's start credit, started when its process started.
	credit  float64
	started []time.Duration
}

// simWindow is the window in which a gateway has one start credit at most.
const simWindow = 8 * time.Second

type spending struct {
	at     time.Duration
	tokens float64
	rank   int
}

type simRequest struct {
	gateway int
	name    string
	tokens  float64
	rank    int
	until   time.Duration
	nextAsk time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const simOrganisation = "org"

func newFleet(seed uint64, gateways int, l Limit) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: 100 * time.Second, latency: 2 * time.Millisecond,
		limits: map[string]Limit{simOrganisation: l}, drops: func(int, int) bool { return false },
	}
	for i := range gateways {
		f.names = append(f.names, fmt.Sprint("g", i))
		f.machines = append(f.machines, nil)
		f.started = append(f.started, f.now)
	}
	f.listings = f.names
	for i := range gateways {
		f.restart(i)
	}
	for i := range gateways {
		f.tick(i)
	}
	return f
}

// restart starts a new process of a gateway, which holds nothing.
func (f *fleet) restart(i int) {
	m := NewMachine(f.names[i])
	m.SetLimits(f.now, f.limits)
	m.SetListed(f.listings, f.now, f.now)
	if f.now-f.started[i] >= simWindow+CreditLife {
		m.GrantCredit(f.now, f.credit)
	}
	f.machines[i], f.started[i] = m, f.now
}

func (f *fleet) setLimit(i int, l Limit) {
	f.limits = map[string]Limit{simOrganisation: l}
	f.machines[i].SetLimits(f.now, f.limits)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, do})
}

func (f *fleet) tick(i int) {
	f.machines[i].SetListed(f.listings, f.now, f.now)
	f.send(i, f.machines[i].Tick(f.now))
	f.retryWaiting()
	f.after(25*time.Millisecond, func() { f.tick(i) })
}

func (f *fleet) send(from int, list []Envelope) {
	for _, e := range list {
		to := -1
		for k, n := range f.names {
			if n == e.To {
				to = k
			}
		}
		if to < 0 || f.drops(from, to) || f.rnd.Float64() < f.loss {
			continue
		}
		copies := 1
		if f.rnd.Float64() < f.repeats {
			copies = 2
		}
		for range copies {
			delay := time.Duration((0.5 + f.rnd.Float64()) * float64(f.latency))
			f.after(delay, func() {
				f.send(to, f.machines[to].Receive(f.now, f.names[from], e.Message))
				f.retryWaiting()
			})
		}
	}
}

// request begins a request that waits for its tokens at most for patience.
func (f *fleet) request(gateway int, tokens float64, patience time.Duration) {
	rank := 0
	if f.ranks > 1 {
		rank = f.rnd.IntN(f.ranks)
	}
	f.requestOfRank(gateway, tokens, rank, patience)
}

// requestOfRank makes a request that waits behind those of its gateway that are as urgent.
func (f *fleet) requestOfRank(gateway int, tokens float64, rank int, patience time.Duration) {
	r := &simRequest{gateway: gateway, name: simOrganisation, tokens: tokens, rank: rank, until: f.now + patience}
	at := len(f.waiting)
	for at > 0 && f.waiting[at-1].rank > rank {
		at--
	}
	f.waiting = slices.Insert(f.waiting, at, r)
	f.retryWaiting()
}

// retryWaiting does what package quota does for each request that waits.
func (f *fleet) retryWaiting() {
	list := f.waiting
	f.waiting = nil
	for _, r := range list {
		m := f.machines[r.gateway]
		taken, o, later := m.Take(f.now, r.name, r.tokens, r.rank)
		switch {
		case o == Granted && f.rnd.Float64() < f.returned:
			f.after(time.Duration(f.rnd.Float64()*float64(2*time.Second)), func() { m.Return(f.now, r.name, taken) })
		case o == Granted:
			f.granted++
			f.spent = append(f.spent, spending{f.now, r.tokens, r.rank})
		case o == Impossible, f.now >= r.until, o == Denied && later >= r.until-f.now:
			f.refused++
		default:
			if f.now >= r.nextAsk {
				r.nextAsk = f.now + 40*time.Millisecond
				f.send(r.gateway, m.Ask(f.now, r.name, r.tokens, r.rank))
			}
			f.waiting = append(f.waiting, r)
		}
	}
}

// run runs the fleet for a time.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// load sends requests at a mean rate per second, at gateways that choose draws, for a time.
func (f *fleet) load(perSecond float64, d time.Duration, tokens func() float64, choose func() int) {
	var next func()
	end := f.now + d
	next = func() {
		if f.now >= end {
			return
		}
		f.request(choose(), tokens(), 200*time.Millisecond)
		f.after(time.Duration(f.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	f.run(d)
}

// worstWindow returns the most tokens that were spent within any window.
func (f *fleet) worstWindow(w time.Duration) float64 {
	worst, sum, from := 0.0, 0.0, 0
	for _, s := range f.spent {
		sum += s.tokens
		for f.spent[from].at <= s.at-w {
			sum -= f.spent[from].tokens
			from++
		}
		worst = max(worst, sum)
	}
	return worst
}

func (f *fleet) total() float64 {
	sum := 0.0
	for _, s := range f.spent {
		sum += s.tokens
	}
	return sum
}
