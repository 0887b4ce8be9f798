package retry

import (
	"maps"
	"slices"
	"time"
)

// intervals is the number of intervals into which a WindowBudget divides its window.
const intervals = 20

// WindowBudgetOptions are the options of a WindowBudget.
type WindowBudgetOptions struct {
	// Ratio is how many retries each steady first attempt earns. Steady is the lowest number
	// of first attempts in a Window that ends at most a Window ago.
	Ratio float64
	// GrowthRatio is the same for those beyond the steady ones. They may have moved here from
	// a process that has spent what they brought it, so that Ratio and GrowthRatio together
	// must not exceed the ratio of the whole budget.
	GrowthRatio float64
	// Slack is how many more retries this process may make in any Window. It can be
	// less than one.
	Slack  float64
	Window time.Duration
	// Delay is how long after Allow a retry may arrive at its target. Retries count for so
	// much longer than the window.
	Delay time.Duration
	// Draw returns a random number in [0,1). Where hundreds of processes share a slack of
	// less than one retry each, a remaining budget below one is spent and carried over, and
	// a retry is allowed each time that what was carried makes a whole one. Draw sets what a
	// process begins with, so that all together allow what they spend. If nil, only whole
	// retries are allowed.
	Draw func() float64
}

// WindowBudget is one process's share of a retry budget that holds for any sliding window.
// Retries count for a whole window, so that the budget can be spent all at once, as when
// a server is lost while it runs many requests.
//
// A process has no slack until the retries of one that ended as it started count no longer:
// it may be in the place of that one, which may have spent the same share.
//
// It isn't safe for concurrent use.
type WindowBudget struct {
	opts  WindowBudgetOptions
	began time.Time
	// interval is the index of the current interval, counted from began.
	interval int64
	// retryAges is the number of intervals for which retries count, and kept the number of
	// those that are kept, both including the current one.
	retryAges, kept int64
	// slackAt is the interval from which on the process has its slack.
	slackAt int64
	targets map[string]*history
}

// history is a ring buffer of the counts in the intervals that are kept; at is the latest.
type history struct {
	at     int64
	counts []count
	// carried is the sum of the parts of retries that were spent and not yet used, below 1.
	carried float64
}

// count has the first attempts, the retries and, among those, the ones that were charged.
type count struct{ firsts, retries, charged float64 }

// NewWindowBudget returns the share of a process that starts at now.
func NewWindowBudget(o WindowBudgetOptions, now time.Time) *WindowBudget {
	length := o.intervalLength()
	retryAges := intervals + 1 + int64((o.Delay+length-1)/length)
	return &WindowBudget{
		opts: o, began: now, retryAges: retryAges, kept: max(2*intervals, retryAges),
		slackAt: retryAges - 1, targets: map[string]*history{},
	}
}

func (o WindowBudgetOptions) intervalLength() time.Duration { return max(1, o.Window/intervals) }

// intervalAt uses the monotonic time since began, as a forward step of the wall clock
// would expire the retries made so far.
func (s *WindowBudget) intervalAt(t time.Time) int64 {
	return int64(t.Sub(s.began) / s.opts.intervalLength())
}

// Advance sets the time. Call it before the other methods.
func (s *WindowBudget) Advance(now time.Time) { s.interval = max(s.interval, s.intervalAt(now)) }

// SetSlack sets WindowBudgetOptions.Slack.
func (s *WindowBudget) SetSlack(n float64) { s.opts.Slack = n }

// RecordFirst records a first attempt at a target.
func (s *WindowBudget) RecordFirst(target string) { s.current(target).firsts++ }

// Charge records a retry that was made regardless of the budget.
func (s *WindowBudget) Charge(target string) {
	c := s.current(target)
	c.retries++
	c.charged++
}

// Allow takes a retry at a target and reports whether the budget allowed it.
func (s *WindowBudget) Allow(target string) bool {
	current := s.current(target)
	h := s.targets[target]
	remaining := s.usage(h).Remaining
	switch {
	case remaining >= 1:
		current.retries++
		return true
	case remaining <= 0 || !s.allowsParts():
		return false
	}
	current.retries += remaining
	h.carried += remaining
	if h.carried < 1 {
		return false
	}
	h.carried--
	return true
}

// MayAllow reports whether Allow may return true now.
func (s *WindowBudget) MayAllow(target string) bool {
	remaining := s.Usage(target).Remaining
	return remaining >= 1 || remaining > 0 && s.allowsParts()
}

// allowsParts reports whether parts of retries are carried over.
func (s *WindowBudget) allowsParts() bool { return s.opts.Draw != nil && s.opts.Slack < 1 }

// Usage is the state of a process's share of the budget for one target, in retries unless
// noted.
type Usage struct {
	// Firsts are the first attempts in the window, Steady those among them that earn
	// WindowBudgetOptions.Ratio, and Earned the retries that they earn.
	Firsts, Steady, Earned float64
	// Retries are those in the window, Charged the ones among them that were made
	// regardless of the budget.
	Retries, Charged float64
	// Slack is what the process may use at present besides what its first attempts earn.
	Slack float64
	// Remaining is what is left.
	Remaining float64
	// Since is when the process began to count.
	Since time.Time
}

// Usage returns the state of the share for a target.
func (s *WindowBudget) Usage(target string) Usage {
	s.current(target)
	return s.usage(s.targets[target])
}

// Targets returns the targets that are tracked, in no order.
func (s *WindowBudget) Targets() []string { return slices.Collect(maps.Keys(s.targets)) }

// usage returns the state for a history whose current interval is up to date.
func (s *WindowBudget) usage(h *history) Usage {
	u := Usage{Since: s.began}
	for age := range s.kept {
		c := h.counts[(h.at-age+s.kept)%s.kept]
		// The intervals from age intervals on lie at least partly before the window. Retries
		// in them may still count, first attempts don't.
		if age < intervals {
			u.Firsts += c.firsts
		}
		if age < s.retryAges {
			u.Retries += c.retries
			u.Charged += c.charged
		}
	}
	if s.interval >= s.slackAt {
		u.Slack = s.opts.Slack
	}
	u.Steady = s.lowestFirsts(h)
	u.Earned = s.opts.Ratio*u.Steady + s.opts.GrowthRatio*(u.Firsts-u.Steady)
	u.Remaining = u.Earned + u.Slack - u.Retries
	return u
}

// lowestFirsts returns the lowest number of first attempts in a window that ends at most a
// window ago. It bounds the retries of all processes in any window W: when a process makes its
// last one there, W began at most a window ago, so that its lowest number is at most that of the
// window before W. The lowest numbers of all processes together are therefore at most the first
// attempts in one window, however these moved.
func (s *WindowBudget) lowestFirsts(h *history) float64 {
	firsts := func(age int64) float64 { return h.counts[(h.at-age+s.kept)%s.kept].firsts }
	inWindow := 0.0
	for age := range int64(intervals) {
		inWindow += firsts(age)
	}
	lowest := inWindow
	for age := range int64(intervals) {
		inWindow += firsts(age+intervals) - firsts(age)
		lowest = min(lowest, inWindow)
	}
	return lowest
}

// current returns the counts of the current interval.
func (s *WindowBudget) current(target string) *count {
	h := s.targets[target]
	if h == nil {
		if len(s.targets) >= maxKeys {
			s.sweep()
		}
		h = &history{at: s.interval, counts: make([]count, s.kept)}
		if s.opts.Draw != nil {
			h.carried = s.opts.Draw()
		}
		s.targets[target] = h
	}
	for skipped := min(s.interval-h.at, s.kept); skipped > 0; skipped-- {
		h.counts[(s.interval-skipped+1)%s.kept] = count{}
	}
	h.at = s.interval
	return &h.counts[s.interval%s.kept]
}

// sweep evicts targets that weren't used for as long as intervals are kept.
func (s *WindowBudget) sweep() {
	for target, h := range s.targets {
		if s.interval-h.at >= s.kept {
			delete(s.targets, target)
		}
	}
}
