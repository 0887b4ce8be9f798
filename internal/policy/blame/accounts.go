package blame

import (
	"container/list"
	"slices"
	"time"
)

// accounts holds what is known of the suspects of one kind, by their hashes.
type accounts struct {
	limit   int
	records map[uint64]*list.Element
	// suspects and convicted are separate, each with the latest loss first, so that
	// many suspects don't evict a conviction.
	suspects, convicted *list.List
	// onRemove is called with each account that is dropped.
	onRemove func(*account)
}

// account has the losses of one suspect, a request or a part of prompts.
type account struct {
	id uint64
	// losses are sorted by the time of the loss.
	losses []*heldLoss
	// until is when the account ends.
	until     time.Time
	convicted bool
	// reported: a peer has convicted the suspect.
	reported bool
	// heldFor is the number of losses in sequence for which a request was last held back.
	heldFor int
	// All below is of parts only. refusedWith has the parts that are refused together with it
	// while it is convicted, itself included, and told those that peers know of.
	refusedWith, told []uint64
	// proven is the latest proof of the part, provenAtPeers the latest that peers know of,
	// toldAt when this gateway last told them of one.
	proven, provenAtPeers, toldAt time.Time
}

// heldLoss is a loss as the accounts of all its suspects share it.
type heldLoss struct {
	Loss
	// void: the loss no longer counts against the request, for the reason why. It is kept to
	// recognise repeated reports.
	void bool
	why  ChangeKind
}

// isDisproved reports whether the server hadn't crashed, or not under this request.
func (x *heldLoss) isDisproved() bool { return x.void && x.why != ChangeOtherConvicted }

func newAccounts(limit int, onRemove func(*account)) *accounts {
	return &accounts{
		limit: limit, records: map[uint64]*list.Element{}, suspects: list.New(), convicted: list.New(), onRemove: onRemove,
	}
}

// find returns the account of a suspect, nil if it has none or an expired one.
func (b *accounts) find(id uint64, now time.Time) *account {
	el, ok := b.records[id]
	if !ok {
		return nil
	}
	a := accountOf(el)
	if !a.until.IsZero() && !now.Before(a.until) {
		b.remove(el)
		return nil
	}
	return a
}

// open returns the account of a suspect, a new one if it has none.
func (b *accounts) open(id uint64, now time.Time) *account {
	if a := b.find(id, now); a != nil {
		return a
	}
	a := &account{id: id}
	b.records[id] = b.suspects.PushFront(a)
	b.evict(b.suspects)
	return a
}

// touch marks an account as the one with the latest loss.
func (b *accounts) touch(a *account) {
	if el, ok := b.records[a.id]; ok {
		b.listOf(a).MoveToFront(el)
	}
}

// setConvicted moves an account between the lists.
func (b *accounts) setConvicted(a *account, convicted bool) {
	el, ok := b.records[a.id]
	if !ok {
		return
	}
	b.listOf(a).Remove(el)
	a.convicted = convicted
	to := b.listOf(a)
	b.records[a.id] = to.PushFront(a)
	b.evict(to)
}

func (b *accounts) listOf(a *account) *list.List {
	if a.convicted {
		return b.convicted
	}
	return b.suspects
}

func (b *accounts) evict(from *list.List) {
	if from.Len() > max(1, b.limit/2) {
		b.remove(from.Back())
	}
}

func (b *accounts) remove(el *list.Element) {
	a := accountOf(el)
	b.listOf(a).Remove(el)
	delete(b.records, a.id)
	b.onRemove(a)
}

// all returns the accounts, the convicted ones first, each with the latest loss first.
func (b *accounts) all() []*account { return b.latest(len(b.records)) }

// latest is all with at most limit accounts of each list.
func (b *accounts) latest(limit int) []*account {
	out := make([]*account, 0, min(2*limit, len(b.records)))
	for _, l := range []*list.List{b.convicted, b.suspects} {
		for el, n := l.Front(), 0; el != nil && n < limit; el, n = el.Next(), n+1 {
			out = append(out, accountOf(el))
		}
	}
	return out
}

func accountOf(el *list.Element) *account {
	a, _ := el.Value.(*account)
	return a
}

// hold adds a loss in the order of time.
func (a *account) hold(x *heldLoss) {
	a.losses = append(a.losses, x)
	slices.SortStableFunc(a.losses, func(a, b *heldLoss) int { return a.Lost.Compare(b.Lost) })
}
