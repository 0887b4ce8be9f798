// Package blame tells a request that crashes backend servers from those that
// merely ran beside it, by the fingerprint of its content.
package blame

import (
	"cmp"
	"container/list"
	"time"
)

// State of a fingerprint.
type State int

// The states of a fingerprint.
const (
	// Clean: no crash is known, or it was cleared.
	Clean State = iota
	// Seen: it ran on one server that crashed. It may run as before: most
	// crashes are the machine's own.
	Seen
	// Suspect: it ran on two servers that crashed. It may run only alone on
	// its server.
	Suspect
	// Convicted: two servers crashed under it, and it had the last one for
	// itself. It runs nowhere.
	Convicted
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Seen:
		return "seen"
	case Suspect:
		return "suspect"
	case Convicted:
		return "convicted"
	}
	return "clean"
}

// Defaults of Options.
const (
	DefaultLimit      = 4096
	DefaultSuspectFor = 10 * time.Minute
	// DefaultConvictedFor lets a request go that was alone on a server when
	// the server died of something else; the price is that a bad one costs a
	// crash an hour.
	DefaultConvictedFor = time.Hour
)

// Options of a Blame. Zero values stand for the defaults.
type Options struct {
	// Limit bounds the fingerprints remembered.
	Limit int
	// SuspectFor and ConvictedFor are how long a state lasts after the last
	// crash.
	SuspectFor, ConvictedFor time.Duration
}

// Blame remembers fingerprints of requests that were on servers when they
// crashed. Each request on a crashed server looks alike, and convicting all
// would refuse innocent ones. So no crash among several convicts. One crash
// changes nothing, since servers also die by themselves and running twenty
// neighbours alone, one after the other, costs more than another crash. Who was
// there at two crashes runs alone, and only a further crash alone convicts. One
// bad request thus costs three crashes, or two where it runs alone anyhow. A
// crash alone is no proof the first time: in an idle pool each request is alone.
// It isn't safe for concurrent use.
type Blame struct {
	opts    Options
	records map[uint64]*list.Element
	// recent has suspects and convicted apart, each with the last crash in
	// front, so that many suspects push out no conviction.
	suspects, convicted *list.List
}

type record struct {
	fp    uint64
	state State
	until time.Time
}

// New returns an empty Blame.
func New(o Options) *Blame {
	o.Limit = cmp.Or(o.Limit, DefaultLimit)
	o.SuspectFor = cmp.Or(o.SuspectFor, DefaultSuspectFor)
	o.ConvictedFor = cmp.Or(o.ConvictedFor, DefaultConvictedFor)
	return &Blame{opts: o, records: map[uint64]*list.Element{}, suspects: list.New(), convicted: list.New()}
}

// Crashed notes that a server crashed while it ran fp, alone or among others,
// and returns the new state.
func (b *Blame) Crashed(fp uint64, alone bool, now time.Time) State {
	before := b.State(fp, now)
	switch {
	case before == Convicted, before != Clean && alone:
		b.Convict(fp, now)
		return Convicted
	case before == Clean:
		b.set(fp, Seen, now.Add(b.opts.SuspectFor))
		return Seen
	}
	b.set(fp, Suspect, now.Add(b.opts.SuspectFor))
	return Suspect
}

// Convict takes over another process's conviction.
func (b *Blame) Convict(fp uint64, now time.Time) {
	b.set(fp, Convicted, now.Add(b.opts.ConvictedFor))
}

// Cleared notes that a request ended well. A conviction stays.
func (b *Blame) Cleared(fp uint64) {
	if el, ok := b.records[fp]; ok && recordOf(el).state != Convicted {
		b.drop(el)
	}
}

// State returns the state of fp.
func (b *Blame) State(fp uint64, now time.Time) State {
	el, ok := b.records[fp]
	if !ok {
		return Clean
	}
	r := recordOf(el)
	if !now.Before(r.until) {
		b.drop(el)
		return Clean
	}
	return r.state
}

// Convicted returns the convicted fingerprints, the latest first, for other
// processes.
func (b *Blame) Convicted(now time.Time) []uint64 {
	var out []uint64
	for el := b.convicted.Front(); el != nil; el = el.Next() {
		if r := recordOf(el); now.Before(r.until) {
			out = append(out, r.fp)
		}
	}
	return out
}

// Len returns the number of fingerprints remembered.
func (b *Blame) Len() int { return len(b.records) }

func recordOf(el *list.Element) *record {
	r, _ := el.Value.(*record)
	return r
}

func (b *Blame) list(s State) *list.List {
	if s == Convicted {
		return b.convicted
	}
	return b.suspects
}

func (b *Blame) set(fp uint64, s State, until time.Time) {
	if el, ok := b.records[fp]; ok {
		b.drop(el)
	}
	l := b.list(s)
	b.records[fp] = l.PushFront(&record{fp: fp, state: s, until: until})
	if l.Len() > max(1, b.opts.Limit/2) {
		b.drop(l.Back())
	}
}

func (b *Blame) drop(el *list.Element) {
	r := recordOf(el)
	b.list(r.state).Remove(el)
	delete(b.records, r.fp)
}
