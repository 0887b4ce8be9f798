// Package admit holds the bounded queue in which requests wait for admission.
//
// Organisations share it by weight, in estimated token cost. Interactive work
// goes before batch, within two floors: an organisation with waiting work
// gets at least half of its share, whatever its class, and batch as a whole
// gets at least Options.BatchFloor. A request that can't be held, or whose
// deadline can't be met, is refused at once.
//
// The queue is a state machine: time and randomness are passed in, and the
// caller guards it by its own lock.
package admit

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// guaranteed is the part of an organisation's share that it gets whatever
	// the class of its work.
	guaranteed = 0.5
	// boundedPart of MaxTotal is divided between organisations by share; the
	// rest is room for those that come when the others have filled theirs.
	boundedPart = 0.75
	// defaultShare is the weight of an organisation that isn't declared.
	defaultShare = 1
	// minCost keeps an item without an estimate from being free.
	minCost = 1
	// maxIdle bounds the organisations remembered without waiting work.
	maxIdle = 1024
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
	// Predicted is the time to the first token once the item is admitted.
	Predicted time.Duration
	// charged, dueCharged and batchCharged are how far Pop moved the guarantee's
	// clock, the organisation's due time and batch's, for Requeue and Settle.
	charged, dueCharged, batchCharged float64
	// Fingerprint is of the request's content: a caller that was told to come back
	// is known by it and Organisation. 0 is none.
	Fingerprint uint64
	// booked: its caller comes at the time that it was told.
	booked bool
}

func (it *Item) caller() caller { return caller{it.Organisation, it.Fingerprint} }

// Options of a queue. Zero values stand for the defaults.
type Options struct {
	MaxTotal int
	// MaxPerOrganisation bounds an organisation's part once the queue is more
	// than half full.
	MaxPerOrganisation int
	// BatchFloor is batch work's least part of all cost while both classes
	// wait.
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
	// popped are the items that are out, by ID, as they were charged.
	popped map[string]Item
	// asking are the organisations with items that are out.
	asking map[*org]struct{}
	weight float64 // sum of the shares of active
	cost   float64 // sum of the costs of items
	// virtual is the start tag of the last item settled, in cost by share.
	virtual float64
	// clock runs by popped cost over the sum of active shares. An
	// organisation whose due time has passed is below its guarantee.
	clock float64
	// pending is the part of clock charged for items that are out: popped, and
	// neither settled nor requeued.
	pending float64
	// served is all cost popped; batch is due when it passes batchDue.
	served, batchDue float64
	batches          int
	drain            drain
	bookings         *bookings
	// lostUntil is until when a pause of the drain is put down to a lost server.
	lostUntil time.Time
}

// org is one organisation's part of the queue.
type org struct {
	name        string
	share       float64
	interactive class
	batch       class
	// virtual is the organisation's start tag, in cost by share; out is the part
	// of it charged for items that are out.
	virtual, out float64
	// outs is the number of items that are out.
	outs int
	// due is when, on the queue's clock, its guarantee wants the next item.
	due float64
}

// class holds an organisation's items of one class, in order.
type class struct {
	items *list.List
	cost  float64
	// out is the cost of those that are out.
	out float64
}

// entry is an item's place in its organisation's lists.
type entry struct {
	item Item
	org  *org
	el   *list.Element
}

// New returns an empty queue. rnd jitters RetryAfter.
func New(o Options, rnd *rand.Rand) *Queue {
	o.MaxTotal = cmp.Or(o.MaxTotal, DefaultMaxTotal)
	o.MaxPerOrganisation = cmp.Or(o.MaxPerOrganisation, DefaultMaxPerOrganisation)
	o.BatchFloor = cmp.Or(o.BatchFloor, DefaultBatchFloor)
	return &Queue{
		opts:   o,
		rnd:    rnd,
		shares: map[string]float64{},
		orgs:   map[string]*org{},
		items:  map[string]*entry{},
		popped: map[string]Item{},
		asking: map[*org]struct{}{},

		bookings: newBookings(),
	}
}

// SetShares replaces the organisations' weights. An organisation that isn't
// named, or not with a positive weight, has weight 1.
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
	q.weight = 0
	for _, o := range q.active {
		q.weight += o.share
	}
}

func (q *Queue) shareOf(name string) float64 {
	return cmp.Or(q.shares[name], defaultShare)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Push adds it at the end of its organisation's part, or refuses it at once.
// All refusals are NotRun: Overloaded and OverShare for the bounds, Deadline if
// it can't be met by the measured drain rate and Item.Predicted, Duplicate for
// an ID that waits already.
func (q *Queue) Push(now time.Time, it Item) *verdict.Error {
	it.Cost = max(it.Cost, minCost)
	if it.Enqueued.IsZero() {
		it.Enqueued = now
	}
	q.drain.observe(now, q.Len() > 0)
	it.booked = it.Fingerprint != 0 && q.bookings.comes(now, it.caller())
	if err := q.refuse(now, &it); err != nil {
		return err
	}
	q.bookings.remove(it.caller())
	q.insert(it, false)
	q.drain.observe(now, true)
	return nil
}

// Pop removes the item to be admitted next. It returns false if none waits.
// Call Expire first: Pop doesn't look at deadlines.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.drain.observe(now, q.Len() > 0)
	o, interactive := q.next()
	if o == nil {
		return Item{}, false
	}
	e, _ := o.class(interactive).items.Front().Value.(*entry)
	total := q.weight
	q.remove(e)
	it := e.item
	it.charged = it.Cost / total
	q.charge(o, &it)
	q.goOut(o, &it)
	q.drain.observe(now, q.Len() > 0)
	return it, true
}

// goOut notes that a popped item is out.
func (q *Queue) goOut(o *org, it *Item) {
	q.popped[it.ID] = *it
	q.pending += it.charged
	q.asking[o] = struct{}{}
	o.outs++
	o.class(it.Interactive).out += it.Cost
	o.out += it.Cost / o.share
}

// charge accounts for a popped item.
func (q *Queue) charge(o *org, it *Item) {
	o.virtual += it.Cost / o.share
	// Work beyond the guarantee doesn't use it up: an organisation that had
	// the queue for itself would otherwise be without one for as long again.
	due := min(o.due, q.clock) + it.Cost/(guaranteed*o.share)
	it.dueCharged = due - o.due
	o.due = due
	q.clock += it.charged
	q.served += it.Cost
	if !it.Interactive {
		due := min(q.batchDue, q.served) + it.Cost/q.opts.BatchFloor
		it.batchCharged = due - q.batchDue
		q.batchDue = due
	}
}

// Requeue puts a popped item that found no server back to the head of its
// organisation's part, behind those that came before it, and takes back what Pop
// charged. No bound applies.
func (q *Queue) Requeue(it Item) {
	if _, ok := q.items[it.ID]; ok {
		return
	}
	out, o := q.back(it.ID)
	if o != nil {
		q.refund(o, &out)
	}
	it.Cost = max(it.Cost, minCost)
	q.insert(it, true)
}

// refund takes back what Pop charged.
func (q *Queue) refund(o *org, it *Item) {
	o.virtual -= it.Cost / o.share
	o.due -= it.dueCharged
	q.clock -= it.charged
	q.served -= it.Cost
	q.batchDue -= it.batchCharged
}

// Served notes that a popped item was served, which settles it. Only what was
// served counts for the drain rate.
func (q *Queue) Served(now time.Time, id string) {
	q.drain.observe(now, q.Len() > 0)
	if it, ok := q.popped[id]; ok {
		q.drain.served(now, it.Cost)
	}
	q.Settle(id)
}

// Settle notes that a popped item was given up: its charge stands. Each popped
// item is served, settled or requeued.
//
// Only what was settled moves the queue's virtual time, which is where an
// organisation without waiting work starts. Items that are out to ask servers
// may come back; with many of them out a newcomer would otherwise start behind
// all of them, and wait as long as if they had been served.
func (q *Queue) Settle(id string) {
	it, o := q.back(id)
	if o != nil {
		q.virtual = max(q.virtual, o.virtual-o.out-it.Cost/o.share)
	}
}

// back notes that a popped item is no longer out. It returns the item as it was
// charged and its organisation, nil if the item isn't out.
func (q *Queue) back(id string) (Item, *org) {
	it, ok := q.popped[id]
	if !ok {
		return it, nil
	}
	delete(q.popped, id)
	q.pending = max(0, q.pending-it.charged)
	o := q.org(it.Organisation)
	o.out = max(0, o.out-it.Cost/o.share)
	o.outs--
	o.class(it.Interactive).out -= it.Cost
	if o.outs == 0 {
		delete(q.asking, o)
		o.interactive.out, o.batch.out = 0, 0
	}
	return it, o
}

// Charge corrects an organisation's account by the difference, in tokens,
// between what its request used and the estimate it was popped with.
func (q *Queue) Charge(organisation string, tokens float64) {
	o, ok := q.orgs[organisation]
	if !ok {
		return
	}
	o.virtual += tokens / o.share
	o.due += tokens / (guaranteed * o.share)
	if q.weight > 0 {
		q.clock += tokens / q.weight
	}
}

// Remove takes a waiting item out, as its caller left. It returns false if the
// item doesn't wait.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.remove(e)
	}
	return ok
}

// Expire removes and returns the items whose deadline has come, or would pass
// before their first token.
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

// next returns whose turn it is, and of which class: an organisation below its
// guarantee, then batch if it is below its floor, then interactive work, then
// batch; within each the organisation that had least by its share.
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
	if len(q.orgs) > maxIdle+len(q.active) {
		q.sweep()
	}
	o := &org{name: name, share: q.shareOf(name), interactive: class{items: list.New()}, batch: class{items: list.New()}}
	q.orgs[name] = o
	return o
}

// sweep forgets the organisations without work that waits or is out. An organisation that
// comes back starts level with the others.
func (q *Queue) sweep() {
	for name, o := range q.orgs {
		if o.len() == 0 && o.outs == 0 {
			delete(q.orgs, name)
		}
	}
}

func (q *Queue) insert(it Item, head bool) {
	o := q.org(it.Organisation)
	if o.len() == 0 {
		// Rest earns nothing: neither share nor guarantee is saved up.
		if !head {
			o.virtual = max(o.virtual, q.virtual)
			o.due = max(o.due, q.clock-q.pending)
		}
		q.active = append(q.active, o)
		q.weight += o.share
	}
	if !it.Interactive {
		if q.batches == 0 && !head {
			q.batchDue = max(q.batchDue, q.served)
		}
		q.batches++
	}
	e := &entry{item: it, org: o}
	c := o.class(it.Interactive)
	if head {
		e.el = c.putBack(e)
	} else {
		e.el = c.items.PushBack(e)
	}
	q.items[it.ID] = e
	c.cost += it.Cost
	q.cost += it.Cost
}

// putBack puts e to the head, behind what has waited longer. Of items that come
// back together the last would else be the next, and the one that waited longest
// would be found late though others that came after it were served.
func (c *class) putBack(e *entry) *list.Element {
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
		q.batches--
	}
	if o.len() > 0 {
		return
	}
	q.weight -= o.share
	for i := range q.active {
		if q.active[i] == o {
			last := len(q.active) - 1
			q.active[i], q.active[last] = q.active[last], nil
			q.active = q.active[:last]
			break
		}
	}
	// Rounding must not add up over the queue's life.
	o.interactive.cost, o.batch.cost = 0, 0
	if len(q.active) == 0 {
		q.weight, q.cost = 0, 0
	}
}

// lostFor is how long a lost server explains that nothing is served: its requests
// are tried elsewhere by then, or it is back.
const lostFor = time.Second

// Lost notes that a server of the pool was lost.
func (q *Queue) Lost(now time.Time) { q.lostUntil = now.Add(lostFor) }
