package admit

import "time"

// markOutstanding records a popped item as outstanding.
func (q *Queue) markOutstanding(o *org, it *Item) {
	q.outstanding[it.ID] = *it
	q.outstandingClock += it.clockCharge
	q.outstandingOrgs[o] = struct{}{}
	o.outstandingItems++
	o.class(it.Interactive).outstandingCost += it.Cost
	o.outstandingVirtual += it.Cost / o.share
}

// charge accounts for a popped item.
func (q *Queue) charge(o *org, it *Item) {
	o.virtual += it.Cost / o.share
	// Service beyond the guarantee is not charged against it. Otherwise an organisation
	// that had the queue to itself would be without a guarantee for as long again.
	due := min(o.due, q.clock) + it.Cost/(guaranteedFraction*o.share)
	it.dueCharge = due - o.due
	o.due = due
	q.clock += it.clockCharge
	q.served += it.Cost
	if !it.Interactive {
		due := min(q.batchDue, q.served) + it.Cost/q.opts.BatchFloor
		it.batchDueCharge = due - q.batchDue
		q.batchDue = due
	}
}

// Requeue puts a popped item that found no server back at the front of its
// organisation's items, behind those that were enqueued earlier, and takes back what
// Pop charged. Bounds don't apply.
func (q *Queue) Requeue(it Item) {
	if _, ok := q.items[it.ID]; ok {
		return
	}
	out, o := q.clearOutstanding(it.ID)
	if o != nil {
		q.refund(o, &out)
	}
	it.Cost = max(it.Cost, minCost)
	q.insert(it, true)
	q.drain.requeued = true
}

// refund takes back what Pop charged.
func (q *Queue) refund(o *org, it *Item) {
	o.virtual -= it.Cost / o.share
	o.due -= it.dueCharge
	q.clock -= it.clockCharge
	q.served -= it.Cost
	q.batchDue -= it.batchDueCharge
}

// Served settles a popped item that was served. Only served items count towards the
// drain rate. Call Ended when its service ends.
func (q *Queue) Served(now time.Time, id string) {
	q.drain.observe(now, q.Len() > 0)
	if it, ok := q.outstanding[id]; ok {
		q.drain.served(now, it.Cost)
		q.inService.begin(now, id, it.Cost)
	}
	q.Settle(id)
}

// Ended records that the service of an item has ended, whatever its result. It does
// nothing for an item that wasn't served.
func (q *Queue) Ended(now time.Time, id string) { q.inService.end(now, id) }

// Settle makes the charge of a popped item final, including one that was abandoned.
// Each popped item must be served, settled or requeued.
//
// Only settled items advance the queue's virtual time, at which an organisation without
// waiting work starts. Outstanding items may be requeued; if they advanced it, a newly
// active organisation would start behind all of them and wait as if they had been
// served.
func (q *Queue) Settle(id string) {
	it, o := q.clearOutstanding(id)
	if o != nil {
		q.virtual = max(q.virtual, o.virtual-o.outstandingVirtual-it.Cost/o.share)
	}
}

// clearOutstanding removes an item from the outstanding ones. It returns the item as it
// was charged and its organisation, which is nil if the item wasn't outstanding.
func (q *Queue) clearOutstanding(id string) (Item, *org) {
	it, ok := q.outstanding[id]
	if !ok {
		return it, nil
	}
	delete(q.outstanding, id)
	q.outstandingClock = max(0, q.outstandingClock-it.clockCharge)
	o := q.org(it.Organisation)
	o.outstandingVirtual = max(0, o.outstandingVirtual-it.Cost/o.share)
	o.outstandingItems--
	o.class(it.Interactive).outstandingCost -= it.Cost
	if o.outstandingItems == 0 {
		delete(q.outstandingOrgs, o)
		o.interactive.outstandingCost, o.batch.outstandingCost = 0, 0
	}
	return it, o
}

// Charge corrects an organisation's account by the difference, in tokens, between what
// its request used and the estimate it was popped with.
func (q *Queue) Charge(organisation string, tokens float64) {
	o, ok := q.orgs[organisation]
	if !ok {
		return
	}
	o.virtual += tokens / o.share
	o.due += tokens / (guaranteedFraction * o.share)
	if q.activeWeight > 0 {
		q.clock += tokens / q.activeWeight
	}
}
