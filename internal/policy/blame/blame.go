// Package blame distinguishes requests that crash backend servers (poison pills)
// from those that only ran on the same server, by the fingerprint of their content, and
// the parts of prompts that do so from those that only were in the same prompts.
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
	// Clean: no crash is known, or the request has succeeded since.
	Clean State = iota
	// Seen: it ran on one server that crashed. It may run as before, since most
	// crashes have other causes, such as the machine.
	Seen
	// Suspect: it ran on two servers that crashed. It may only run alone on a
	// server.
	Suspect
	// Convicted: at least two servers crashed while they ran it, the last one while
	// it ran alone. Further attempts are refused.
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
	// DefaultConvictedFor ends the conviction of a request that was alone on a
	// server when the server crashed for another reason. In return, a request that
	// does crash servers can crash one per hour.
	DefaultConvictedFor = time.Hour
)

// Options of a Detector. Zero values select the defaults.
type Options struct {
	// Limit is the maximum number of fingerprints held.
	Limit int
	// SuspectFor and ConvictedFor are how long a state lasts after the last crash.
	// SuspectFor applies to Seen, too.
	SuspectFor, ConvictedFor time.Duration
}

// Detector tracks the fingerprints of requests that ran on servers when they crashed.
// Nothing distinguishes the requests on a crashed server, and convicting all of them
// would refuse harmless ones, so a crash with several requests convicts none.
//
// The first crash has no effect, since servers also crash for other reasons, and
// running twenty requests alone, one after the other, costs more than another crash.
// A request that was on two crashed servers runs alone, and only another crash while
// it is alone convicts it. A poison pill thus costs three crashes, or two where
// requests run alone anyway. The first crash doesn't convict a request that ran
// alone: in an idle pool each request does.
//
// It isn't safe for concurrent use.
type Detector struct {
	opts    Options
	records map[uint64]*list.Element
	// suspects (Seen and Suspect) and convicted are separate lists, each with the
	// latest crash first, so that many suspects don't evict a conviction.
	suspects, convicted *list.List
}

type record struct {
	fp    uint64
	state State
	until time.Time
}

// New returns an empty Detector.
func New(o Options) *Detector {
	o.Limit = cmp.Or(o.Limit, DefaultLimit)
	o.SuspectFor = cmp.Or(o.SuspectFor, DefaultSuspectFor)
	o.ConvictedFor = cmp.Or(o.ConvictedFor, DefaultConvictedFor)
	return &Detector{opts: o, records: map[uint64]*list.Element{}, suspects: list.New(), convicted: list.New()}
}

// RecordCrash records that a server crashed while it ran fp, alone or with other
// requests, and returns the new state.
func (b *Detector) RecordCrash(fp uint64, alone bool, now time.Time) State {
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

// Convict sets the state of fp to Convicted.
func (b *Detector) Convict(fp uint64, now time.Time) {
	b.set(fp, Convicted, now.Add(b.opts.ConvictedFor))
}

// RecordSuccess records that a request succeeded. A conviction stays.
func (b *Detector) RecordSuccess(fp uint64) {
	if el, ok := b.records[fp]; ok && recordOf(el).state != Convicted {
		b.remove(el)
	}
}

// State returns the state of fp.
func (b *Detector) State(fp uint64, now time.Time) State {
	el, ok := b.records[fp]
	if !ok {
		return Clean
	}
	r := recordOf(el)
	if !now.Before(r.until) {
		b.remove(el)
		return Clean
	}
	return r.state
}

// Convicted returns the convicted fingerprints, the latest first.
func (b *Detector) Convicted(now time.Time) []uint64 {
	var out []uint64
	for el := b.convicted.Front(); el != nil; el = el.Next() {
		if r := recordOf(el); now.Before(r.until) {
			out = append(out, r.fp)
		}
	}
	return out
}

// Len returns the number of fingerprints held.
func (b *Detector) Len() int { return len(b.records) }

func recordOf(el *list.Element) *record {
	r, _ := el.Value.(*record)
	return r
}

func (b *Detector) list(s State) *list.List {
	if s == Convicted {
		return b.convicted
	}
	return b.suspects
}

func (b *Detector) set(fp uint64, s State, until time.Time) {
	if el, ok := b.records[fp]; ok {
		b.remove(el)
	}
	l := b.list(s)
	b.records[fp] = l.PushFront(&record{fp: fp, state: s, until: until})
	if l.Len() > max(1, b.opts.Limit/2) {
		b.remove(l.Back())
	}
}

func (b *Detector) remove(el *list.Element) {
	r := recordOf(el)
	b.list(r.state).Remove(el)
	delete(b.records, r.fp)
}
