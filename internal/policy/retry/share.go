package retry

import "time"

const (
	// parts is into how many parts a Share divides its window.
	parts = 20
	// startPart is the part of the slack that a process has when it starts. Its
	// predecessor may have spent its own share just before.
	startPart = 0.25
)

// ShareOptions of a Share.
type ShareOptions struct {
	// Ratio is how many repeats each first try earns.
	Ratio float64
	// Slack is how many this process may make besides, in any Window. It can be less
	// than one.
	Slack  float64
	Window time.Duration
	// Draw returns a random number in [0,1). Less than a whole repeat is spent as one
	// with that probability, and is gone either way: so hundreds of processes share a
	// budget that has less than one repeat for each. Without it (nil) a whole one must
	// be left.
	Draw func() float64
}

// Share is the part that one of several processes has of a budget for repeats, which is
// counted over any window. What was spent is remembered for a whole window, so that all
// of it can be spent at once, as when a server is lost under many requests.
// It isn't safe for concurrent use.
type Share struct {
	opts  ShareOptions
	began time.Time
	// part is the number of the part of time that runs, counted from began.
	part    int64
	targets map[string]*history
}

// history counts by parts of the last window and the part that runs.
type history struct {
	at     int64
	counts [parts + 1]count
}

type count struct{ firsts, repeats float64 }

// NewShare returns a share of a process that starts at now.
func NewShare(o ShareOptions, now time.Time) *Share {
	return &Share{opts: o, began: now, targets: map[string]*history{}}
}

// partOf counts by the time since began, which a step of the time of day doesn't change:
// a step forward would forget what was spent.
func (s *Share) partOf(t time.Time) int64 { return int64(t.Sub(s.began) / max(1, s.opts.Window/parts)) }

// Advance sets the time. Call it before the other methods.
func (s *Share) Advance(now time.Time) { s.part = max(s.part, s.partOf(now)) }

// SetSlack changes what this process may make besides.
func (s *Share) SetSlack(n float64) { s.opts.Slack = n }

// First notes a first try at a target.
func (s *Share) First(target string) { s.now(target).firsts++ }

// Charge takes a repeat that has happened already, whether there was one or not.
func (s *Share) Charge(target string) { s.now(target).repeats++ }

// Allow takes a repeat at a target, if there is one.
func (s *Share) Allow(target string) bool {
	now := s.now(target)
	left := s.left(target)
	if left >= 1 {
		now.repeats++
		return true
	}
	if left <= 0 || s.opts.Draw == nil {
		return false
	}
	now.repeats += left
	return s.opts.Draw() < left
}

// left is how many repeats may be made now.
func (s *Share) left(target string) float64 {
	var sum count
	h := s.targets[target]
	for i, c := range h.counts {
		sum.repeats += c.repeats
		// The oldest part lies partly before the window: what was spent in it counts, and
		// what was earned doesn't.
		if int64(i) != (h.at+1)%(parts+1) {
			sum.firsts += c.firsts
		}
	}
	since := min(1, startPart+(1-startPart)*float64(s.part)/parts)
	return s.opts.Ratio*sum.firsts + since*s.opts.Slack - sum.repeats
}

// now returns the counts of the part that runs.
func (s *Share) now(target string) *count {
	h := s.targets[target]
	if h == nil {
		if len(s.targets) >= maxKeys {
			s.sweep()
		}
		h = &history{at: s.part}
		s.targets[target] = h
	}
	for gone := min(s.part-h.at, parts+1); gone > 0; gone-- {
		h.counts[(s.part-gone+1)%(parts+1)] = count{}
	}
	h.at = s.part
	return &h.counts[s.part%(parts+1)]
}

// sweep forgets targets that weren't used for a window.
func (s *Share) sweep() {
	for target, h := range s.targets {
		if s.part-h.at > parts {
			delete(s.targets, target)
		}
	}
}
