package split

import (
	"math"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/stage"
)

const (
	// Interval is how often a Controller is stepped.
	Interval = 500 * time.Millisecond
	// Window is how long an observation counts: a bit longer than the waves of 13 s that
	// have been seen, so that it holds a crest.
	Window = 15 * time.Second
	// firstCorrectionAfter is how much demand is seen before the first correction. Engines
	// are nearly idle then, so a change costs less than later, and callers already wait.
	firstCorrectionAfter = 1500 * time.Millisecond
	// firstHold is how long in total the demand must have reached a level that counts as the
	// crest before the first correction; later it is half of the time of a change.
	firstHold = time.Second
	// unseenCrest is the crest that is assumed until a whole window has been seen, as a
	// multiple of the mean: the waves that have been seen rise to 1.55 times the mean.
	unseenCrest = 1.5
	// objectivePart is the part of the objective that the expected prefill may take.
	objectivePart = 0.5
	// evidencePart is the part of the objective that prefills must have taken on average before
	// more engines prefill, so that a split that suffices is left alone: one prefill in ten takes
	// about twice the average, and the first event needs time beyond it.
	evidencePart = 1.0 / 3
	// orderPeriod is how long orders of a correction are sent. A call for the state of an
	// engine may fail, so there are some tries.
	orderPeriod = 2 * time.Second
	// maxChanging is the part of the engines that may be out of service for changes.
	maxChanging = 0.1
	// minCorrection is the part of the engines below which a correction isn't worth it, minEngines
	// the number below which one engine is too large a part of its stage to be out of service for
	// seconds while callers wait.
	minCorrection = 0.05
	minEngines    = 20
)

// Options of a Controller: the lowest share of the engines that run prefill, the share at
// the start, and the highest. Min 0 stands for Share.
type Options struct{ Min, Share, Max float64 }

// Observation is what a gateway knows at one step.
type Observation struct {
	// PromptRate is the rate of prompt tokens asked of all gateways, in tokens a second. It
	// is known if at least half of the gateways have reported theirs.
	PromptRate float64
	RateKnown  bool
	// Prompt is the mean size of a prompt in tokens, 0 if unknown.
	Prompt float64
	// TokenTime is the time for each token of a prefill that is alone at an engine, Latency the
	// part of its time that doesn't depend on its tokens.
	TokenTime, Latency time.Duration
	// Recent is how long this gateway's recent prefills took on average, 0 if there were too few.
	Recent time.Duration
	// Queued has the prompt tokens at all prefill engines, those being read included.
	Queued float64
	// DecodeNeed is the memory needed at all decode engines, DecodeCapacity that of one, in
	// tokens.
	DecodeNeed, DecodeCapacity float64
	Engines                    []stage.Engine
	// Objective is the mean objective for a first event among the service's routes.
	Objective time.Duration
	// ChangeTime is how long an engine is out of service for a change.
	ChangeTime time.Duration
	// Ordering is set while this gateway may send orders.
	Ordering bool
}

// Decision is the outcome of a step.
type Decision struct {
	// Wanted and Present are numbers of prefill engines.
	Wanted, Present int
	// Changed is set if Wanted differs from the last step because of demand.
	Changed bool
	// Correcting is set while engines are to be changed at once.
	Correcting bool
	// Limit is how many engines may be ordered to change now.
	Limit int
	// Crest is the demand that counts as the highest, in prompt tokens a second, and Expected
	// the prefill time expected at it with the engines present, 0 if unknown.
	Crest    float64
	Expected time.Duration
	// Inefficiency is how many times more work prefills are than TokenTime says.
	Inefficiency float64
}

// Controller holds the state of the split of one service. It isn't safe for concurrent use.
type Controller struct {
	opts     Options
	presence presence
	history  history
	// share is the wanted share of the engines that run prefill.
	share    float64
	ordering bool
	// corrected is set after the first correction. Orders are sent until orderUntil; no
	// correction begins before pausedUntil.
	corrected               bool
	orderUntil, pausedUntil time.Time
}

// New returns a controller that wants the share of its options.
func New(o Options) *Controller {
	if o.Min <= 0 {
		o.Min = o.Share
	}
	return &Controller{opts: o, share: o.Share, presence: presence{}, history: newHistory()}
}

// Step takes an observation into account and returns what is wanted now.
func (c *Controller) Step(now time.Time, o Observation) Decision {
	engines := c.presence.count(now, o.Engines)
	c.history.record(now, o, engines)
	d := Decision{Present: engines.prefill, Inefficiency: c.history.inefficiency}
	d.Crest, d.Expected = c.crest(now, o, engines)
	if engines.total() < 2 {
		return d
	}
	if !o.Ordering {
		c.adopt(o, engines)
	} else if !c.ordering {
		// Orders of a predecessor may still be carried out.
		c.pausedUntil = now.Add(o.ChangeTime)
	}
	c.ordering = o.Ordering
	if o.Ordering && o.RateKnown && !now.Before(c.pausedUntil) {
		d.Changed = c.correct(now, o, engines)
	}
	d.Wanted, d.Limit = c.wanted(engines), max(0, tenth(engines.total())-engines.changing)
	if o.Ordering && now.Before(c.orderUntil) {
		d.Correcting = true
	}
	return d
}

// adopt takes the present split as the wanted one while another gateway orders: this one may
// take over, and must not undo what demand that it hasn't seen has asked for.
func (c *Controller) adopt(o Observation, n counts) {
	low, high := c.bounds(n)
	low = max(low, min(stage.TargetPrefill(n.total(), c.opts.Share), c.history.memoryBound(o, n)))
	c.share = share(min(max(n.prefill, low), high), n)
	c.orderUntil = time.Time{}
}

// correct begins a correction if one is due.
func (c *Controller) correct(now time.Time, o Observation, n counts) bool {
	if c.history.demandFor(now) < firstCorrectionAfter || !usable(o) || n.total() < minEngines {
		return false
	}
	wanted := c.wanted(n)
	low, high := c.bounds(n)
	target := wanted
	needed := c.needed(now, o, n)
	if c.history.lacksMemory(now, o, n.total()-wanted) {
		// Where both stages are short, a change would move the shortage to the other one.
		target = max(low, min(wanted, max(needed, c.history.memoryBound(o, n))))
	} else if needed > wanted && c.callersWait(now, o) {
		target = max(wanted, min(needed, high, c.history.memoryBound(o, n)))
		if float64(target-wanted) < minCorrection*float64(n.total()) {
			return false
		}
	}
	step := tenth(n.total())
	if !c.corrected && target > wanted && target < wanted+step && c.history.demandFor(now) < Window {
		// A small correction at a trough would delay the one that the crest needs.
		return false
	}
	target = min(max(target, wanted-step), wanted+step)
	if target == wanted {
		return false
	}
	c.share, c.corrected = share(target, n), true
	c.orderUntil, c.pausedUntil = now.Add(orderPeriod), now.Add(2*o.ChangeTime)
	return true
}

// callersWait reports whether prefills take so long that more engines should prefill. The queues of
// all gateways must show it, and this gateway's own prefills: demand that has just risen is in the
// queues at once, but in the gateways' rates a second later, which makes queues look long.
func (c *Controller) callersWait(now time.Time, o Observation) bool {
	threshold := time.Duration(evidencePart * float64(o.Objective))
	return min(c.history.waited(c.hold(now, o)), o.Recent) >= threshold
}

// wanted returns the wanted number of prefill engines.
func (c *Controller) wanted(n counts) int {
	low, high := c.bounds(n)
	return min(max(stage.TargetPrefill(n.total(), c.share), low), high)
}

// needed returns how many prefill engines the demand needs.
func (c *Controller) needed(now time.Time, o Observation, n counts) int {
	limit := time.Duration(objectivePart * float64(o.Objective))
	m := c.model(o)
	seen := c.history.crest(c.hold(now, o))
	needed := m.engines(seen, limit)
	if c.history.demandFor(now) < Window {
		needed = max(needed, m.engines(unseenCrest*c.history.mean(), limit))
	}
	return min(needed, n.total())
}

// crest returns the demand that counts as the highest and the prefill time expected at it.
func (c *Controller) crest(now time.Time, o Observation, n counts) (float64, time.Duration) {
	seen := c.history.crest(c.hold(now, o))
	if seen == 0 || !usable(o) {
		return seen, 0
	}
	return seen, c.model(o).expected(seen, n.prefill)
}

// hold returns how long demand must have reached a level within the window for it to count.
// A level that is reached for less isn't expected to outlast the cost of a change.
func (c *Controller) hold(now time.Time, o Observation) time.Duration {
	if !c.corrected && c.history.demandFor(now) < Window {
		return firstHold
	}
	return max(firstHold, o.ChangeTime/2)
}

func (c *Controller) model(o Observation) model {
	return model{prompt: o.Prompt, tokenTime: o.TokenTime.Seconds(), latency: o.Latency.Seconds(), inefficiency: c.history.inefficiency}
}

// bounds returns the lowest and the highest number of prefill engines that may be wanted. Zones
// don't raise the lowest above the share at the start, so that a small fleet isn't changed for them.
func (c *Controller) bounds(n counts) (low, high int) {
	total := n.total()
	low = max(stage.TargetPrefill(total, c.opts.Min), min(n.zones, stage.TargetPrefill(total, c.opts.Share)))
	high = min(stage.TargetPrefill(total, c.opts.Max), max(1, total-n.zones))
	return min(low, max(high, 1)), max(high, 1)
}

// usable reports whether an observation has what the model needs.
func usable(o Observation) bool {
	return o.Prompt > 0 && o.TokenTime > 0 && o.Objective > 0 && o.DecodeCapacity > 0
}

// share returns the share that makes stage.TargetPrefill return prefill for n engines.
func share(prefill int, n counts) float64 { return float64(prefill) / float64(n.total()) }

// tenth returns how many of n engines may be out of service for changes.
func tenth(n int) int { return max(1, int(math.Floor(maxChanging*float64(n)))) }

// crashedFor is how long a crashed engine counts towards its stage: within it one that
// restarts is listed again.
const crashedFor = 10 * time.Second

// presence has the time since which each unavailable engine has been so, by ID.
type presence map[string]time.Time

// counts are numbers of engines that count towards the capacity of their stages.
type counts struct {
	prefill, decode int
	// serving counts the prefill engines that are available, changing the engines that are
	// changing their stage, zones those with at least two engines.
	serving, changing, zones int
}

func (n counts) total() int { return n.prefill + n.decode }

func (p presence) count(now time.Time, engines []stage.Engine) counts {
	var n counts
	zones, listed := map[string]int{}, map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
		if e.Changing {
			n.changing++
		}
		if !p.counts(now, e) {
			continue
		}
		zones[e.AvailabilityZone]++
		if zones[e.AvailabilityZone] == 2 {
			n.zones++
		}
		switch e.Stage {
		case catalog.Prefill:
			n.prefill++
			if !e.Unavailable {
				n.serving++
			}
		case catalog.Decode:
			n.decode++
		case catalog.NoStage:
		}
	}
	for id := range p {
		if !listed[id] {
			delete(p, id)
		}
	}
	return n
}

// counts reports whether the engine counts towards the capacity of its stage.
func (p presence) counts(now time.Time, e stage.Engine) bool {
	if !e.Unavailable || e.Changing {
		delete(p, e.ID)
		return true
	}
	since, ok := p[e.ID]
	if !ok {
		p[e.ID] = now
		return true
	}
	return now.Sub(since) < crashedFor
}
