// Package admit implements the bounded queue in which requests wait for admission.
//
// Organisations share the queue by weight, measured in estimated token cost.
// Interactive work is served before batch, subject to two guarantees: an organisation
// with waiting work gets at least half of its share, whatever its class, and batch as a
// whole gets at least Options.BatchFloor. A request that can't be queued, or whose
// deadline can't be met, is refused at once.
//
// The queue is a state machine without clock, random source or lock of its own: time
// and randomness are passed in, and the caller serialises access.
package admit

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// guaranteedFraction is the fraction of its share that an organisation gets
	// whatever the class of its work.
	guaranteedFraction = 0.5
	// boundedFraction of MaxTotal is divided between the waiting organisations by
	// share. The rest is room for organisations that arrive after the others have
	// filled theirs.
	boundedFraction = 0.75
	// defaultShare is the weight of an organisation without a declared one.
	defaultShare = 1
	// minCost keeps an item without an estimate from being free.
	minCost = 1
	// maxIdleOrganisations bounds the organisations that are kept without waiting work.
	maxIdleOrganisations = 1024
)

// Defaults of Options.
const (
	DefaultMaxTotal           = 512
	DefaultMaxPerOrganisation = 128
	DefaultBatchFloor         = 0.1
)

// Item is a waiting request.
type Item struct {
	ID, Organisation string
	Interactive      bool
	// Cost is the estimated work, in tokens.
	Cost float64
	// Deadline is zero if there is none.
	Deadline time.Time
	Enqueued time.Time
	// Predicted is the expected time from admission to the first token.
	Predicted time.Duration
	// clockCharge, dueCharge and batchDueCharge are the amounts by which Pop advanced
	// the queue's clock, the organisation's due time and batchDue. Requeue and Settle
	// use them.
	clockCharge, dueCharge, batchDueCharge float64
	// Fingerprint is a hash of the request's content, 0 for none. Together with
	// Organisation it identifies a caller that retries.
	Fingerprint uint64
	// booked is set if the caller returns at the time that Retry-After gave it.
	booked bool
}

func (it *Item) caller() caller { return caller{it.Organisation, it.Fingerprint} }

// Options of a queue. Zero values stand for the defaults.
type Options struct {
	MaxTotal int
	// MaxPerOrganisation bounds the items of one organisation once the queue is more
	// than half full.
	MaxPerOrganisation int
	// BatchFloor is the least fraction of all cost that goes to batch work while both
	// classes wait.
	BatchFloor float64
}

// Queue holds waiting requests. It isn't safe for concurrent use.
type Queue struct {
	opts   Options
	rnd    *rand.Rand
	shares map[string]float64
	orgs   map[string]*org
	// active are the organisations with waiting work.
	active []*org
	items  map[string]*entry
	// outstanding are the items that were popped and neither settled nor requeued, by
	// ID, as they were charged.
	outstanding map[string]Item
	// outstandingOrgs are the organisations with outstanding items.
	outstandingOrgs map[*org]struct{}
	activeWeight    float64 // sum of the shares of active
	cost            float64 // sum of the costs of items
	// virtual is the queue's virtual time: the start tag of the last item settled, in
	// cost divided by share.
	virtual float64
	// clock advances by popped cost over the sum of the active shares. An organisation
	// whose due time has passed is below its guarantee.
	clock float64
	// outstandingClock is the part of clock that was charged for outstanding items.
	outstandingClock float64
	// served is all cost popped; batch is due when it passes batchDue.
	served, batchDue float64
	batchItems       int
	drain            drain
	inService        *inService
	bookings         *bookings
}

// org is the state of one organisation.
type org struct {
	name        string
	share       float64
	interactive class
	batch       class
	// virtual is the organisation's start tag, in cost divided by share; outstandingVirtual is
	// the part of it that was charged for outstanding items.
	virtual, outstandingVirtual float64
	outstandingItems            int
	// due is the time on the queue's clock at which its guarantee entitles it to the
	// next item.
	due float64
}

// class holds an organisation's items of one class, in order.
type class struct {
	items *list.List
	cost  float64
	// outstandingCost is the cost of the outstanding items, which are not in items.
	outstandingCost float64
}

// entry is an item's position in its organisation's lists.
type entry struct {
	item Item
	org  *org
	el   *list.Element
}

// New returns an empty queue. rnd adds jitter to RetryAfter.
func New(o Options, rnd *rand.Rand) *Queue {
	o.MaxTotal = cmp.Or(o.MaxTotal, DefaultMaxTotal)
	o.MaxPerOrganisation = cmp.Or(o.MaxPerOrganisation, DefaultMaxPerOrganisation)
	o.BatchFloor = cmp.Or(o.BatchFloor, DefaultBatchFloor)
	return &Queue{
		opts:            o,
		rnd:             rnd,
		shares:          map[string]float64{},
		orgs:            map[string]*org{},
		items:           map[string]*entry{},
		outstanding:     map[string]Item{},
		outstandingOrgs: map[*org]struct{}{},

		inService: newInService(),
		bookings:  newBookings(),
	}
}

// SetShares replaces the organisations' weights. An organisation without a positive
// weight gets weight 1.
func (q *Queue) SetShares(shares map[string]float64) {
	q.shares = make(map[string]float64, len(shares))
	for name, s := range shares {
		if s > 0 {
			q.shares[name] = s
		}
	}
	for _, o := range q.orgs {
		o.share = q.shareOf(o.name)
	}
	q.activeWeight = 0
	for _, o := range q.active {
		q.activeWeight += o.share
	}
}

func (q *Queue) shareOf(name string) float64 {
	return cmp.Or(q.shares[name], defaultShare)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Push appends it to its organisation's items, or refuses it at once. All refusals are
// NotRun: Overloaded and OverShare for the bounds, Deadline if the deadline can't be
// met at the measured drain rate and Item.Predicted, Duplicate for an ID that already
// waits.
func (q *Queue) Push(now time.Time, it Item) *verdict.Error {
	it.Cost = max(it.Cost, minCost)
	if it.Enqueued.IsZero() {
		it.Enqueued = now
	}
	q.drain.observe(now, q.Len() > 0)
	it.booked = it.Fingerprint != 0 && q.bookings.returnsOnTime(now, it.caller())
	if err := q.refuse(now, &it); err != nil {
		return err
	}
	q.bookings.remove(it.caller())
	q.insert(it, false)
	q.drain.observe(now, true)
	return nil
}

// Pop removes the item to be admitted next. It returns false if none waits. Call Expire
// first: Pop ignores deadlines.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.drain.observe(now, q.Len() > 0)
	o, interactive := q.next()
	if o == nil {
		return Item{}, false
	}
	e, _ := o.class(interactive).items.Front().Value.(*entry)
	total := q.activeWeight
	q.remove(e)
	it := e.item
	it.clockCharge = it.Cost / total
	q.charge(o, &it)
	q.markOutstanding(o, &it)
	q.drain.observe(now, q.Len() > 0)
	return it, true
}

// Remove drops a waiting item, such as one whose caller disconnected. It returns false
// if the item doesn't wait.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.remove(e)
	}
	return ok
}

// Expire removes and returns the items whose deadline has passed, or would pass before
// their first token.
func (q *Queue) Expire(now time.Time) []Item {
	q.drain.observe(now, q.Len() > 0)
	var out []Item
	for _, e := range q.items {
		d := e.item.Deadline
		if !d.IsZero() && !now.Add(e.item.Predicted).Before(d) {
			out = append(out, e.item)
		}
	}
	for i := range out {
		q.Remove(out[i].ID)
	}
	q.drain.observe(now, q.Len() > 0)
	return out
}

// next selects the organisation and class to serve: the organisation that is furthest
// below its guarantee, then batch if it is below its floor, then interactive work, then
// batch. Within a class, the organisation with the least service relative to its share
// goes first.
func (q *Queue) next() (*org, bool) {
	var late, interactive, batch *org
	for _, o := range q.active {
		if o.due < q.clock && (late == nil || o.due < late.due) {
			late = o
		}
		if o.interactive.items.Len() > 0 && (interactive == nil || o.virtual < interactive.virtual) {
			interactive = o
		}
		if o.batch.items.Len() > 0 && (batch == nil || o.virtual < batch.virtual) {
			batch = o
		}
	}
	switch {
	case late != nil:
		return late, late.interactive.items.Len() > 0
	case batch != nil && (interactive == nil || q.batchDue < q.served):
		return batch, false
	}
	return interactive, true
}

func (o *org) class(interactive bool) *class {
	if interactive {
		return &o.interactive
	}
	return &o.batch
}

func (o *org) len() int { return o.interactive.items.Len() + o.batch.items.Len() }

func (o *org) cost() float64 { return o.interactive.cost + o.batch.cost }

func (q *Queue) org(name string) *org {
	if o, ok := q.orgs[name]; ok {
		return o
	}
	if len(q.orgs) > maxIdleOrganisations+len(q.active) {
		q.evictIdle()
	}
	o := &org{name: name, share: q.shareOf(name), interactive: class{items: list.New()}, batch: class{items: list.New()}}
	q.orgs[name] = o
	return o
}

// evictIdle drops the organisations without waiting or outstanding items. One that
// returns later starts level with the others.
func (q *Queue) evictIdle() {
	for name, o := range q.orgs {
		if o.len() == 0 && o.outstandingItems == 0 {
			delete(q.orgs, name)
		}
	}
}

func (q *Queue) insert(it Item, head bool) {
	o := q.org(it.Organisation)
	if o.len() == 0 {
		// Idle time earns no credit: neither share nor guarantee is saved up.
		if !head {
			o.virtual = max(o.virtual, q.virtual)
			o.due = max(o.due, q.clock-q.outstandingClock)
		}
		q.active = append(q.active, o)
		q.activeWeight += o.share
	}
	if !it.Interactive {
		if q.batchItems == 0 && !head {
			q.batchDue = max(q.batchDue, q.served)
		}
		q.batchItems++
	}
	e := &entry{item: it, org: o}
	c := o.class(it.Interactive)
	if head {
		e.el = c.insertByAge(e)
	} else {
		e.el = c.items.PushBack(e)
	}
	q.items[it.ID] = e
	c.cost += it.Cost
	q.cost += it.Cost
}

// insertByAge inserts e at the front, behind items that were enqueued earlier. Plain
// insertion at the front would reverse items that are requeued together, and the one
// that has waited longest could miss its deadline though later ones were served.
func (c *class) insertByAge(e *entry) *list.Element {
	for el := c.items.Front(); el != nil; el = el.Next() {
		other, _ := el.Value.(*entry)
		if !other.item.Enqueued.Before(e.item.Enqueued) {
			return c.items.InsertBefore(e, el)
		}
	}
	return c.items.PushBack(e)
}

func (q *Queue) remove(e *entry) {
	o := e.org
	c := o.class(e.item.Interactive)
	c.items.Remove(e.el)
	delete(q.items, e.item.ID)
	c.cost -= e.item.Cost
	q.cost -= e.item.Cost
	if !e.item.Interactive {
		q.batchItems--
	}
	if o.len() > 0 {
		return
	}
	q.activeWeight -= o.share
	for i := range q.active {
		if q.active[i] == o {
			last := len(q.active) - 1
			q.active[i], q.active[last] = q.active[last], nil
			q.active = q.active[:last]
			break
		}
	}
	// Reset the sums so that rounding errors don't accumulate.
	o.interactive.cost, o.batch.cost = 0, 0
	if len(q.active) == 0 {
		q.activeWeight, q.cost = 0, 0
	}
}

// Lost records that a server of the pool was lost.
func (q *Queue) Lost(now time.Time) { q.drain.lost(now) }
