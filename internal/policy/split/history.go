package split

import (
	"math"
	"slices"
	"time"
)

const (
	// smoothed is how many samples a rate or queue is averaged over. Gateways report once a
	// second, so single samples of a fleet's rate are off by a sixth.
	smoothed = 3
	// maxInefficiency bounds what the queue may say about the work of a prefill.
	maxInefficiency = 2
	// risingWeight and fallingWeight are the weights of a new sample of the inefficiency. A
	// long queue costs callers at once; a short one may be the trough of a wave.
	risingWeight  = 0.5
	fallingWeight = 0.03
	// spareMemory is the part of decode's memory that must stay free after engines are taken
	// from it. Below scarceMemory decode lacks memory.
	spareMemory  = 0.2
	scarceMemory = 0.15
	// scarcePrompts is how many prompts must fit into the free memory of a decode engine on
	// average. With less, many engines have no room for a whole prompt, and requests are
	// refused though memory is free.
	scarcePrompts = 1.25
	// memoryGap is the ratio between the use of memory up to which engines may be taken from
	// decode, and that above which it lacks memory.
	memoryGap = 0.92
)

type sample struct {
	at time.Time
	// rate is smoothed.
	rate            float64
	rawRate, queued float64
	decodeNeed      float64
	waitForPrefill  time.Duration
}

// history has the observations of the last window.
type history struct {
	samples []sample
	// demandSince is when the demand began, zero while there is none.
	demandSince time.Time
	// inefficiency is how many times more work prefills are than the time of one that is
	// alone says: engines differ in speed, and choices of engines aren't perfect.
	inefficiency float64
}

func newHistory() history { return history{inefficiency: 1} }

// record adds an observation.
func (h *history) record(now time.Time, o Observation, n counts) {
	h.samples = slices.DeleteFunc(h.samples, func(s sample) bool { return now.Sub(s.at) > Window })
	if len(h.samples) == 0 || h.demandFor(now) > Window && h.mean() == 0 {
		h.samples, h.demandSince, h.inefficiency = nil, time.Time{}, 1
	}
	if o.RateKnown && o.PromptRate > 0 && h.demandSince.IsZero() {
		h.demandSince = now
	}
	if o.RateKnown && !h.demandSince.IsZero() {
		h.samples = append(h.samples, h.smooth(now, o))
		h.updateInefficiency(o, n)
	}
}

// smooth returns the sample of an observation.
func (h *history) smooth(now time.Time, o Observation) sample {
	rate, queued, k := o.PromptRate, o.Queued, 1.0
	for _, s := range h.samples[max(0, len(h.samples)-smoothed+1):] {
		rate, queued, k = rate+s.rawRate, queued+s.queued, k+1
	}
	out := sample{at: now, rate: rate / k, rawRate: o.PromptRate, queued: o.Queued, decodeNeed: o.DecodeNeed}
	if rate > 0 {
		// Little's law: tokens stay in the queue for their number over their rate.
		out.waitForPrefill = time.Duration(min(queued/rate, Window.Seconds()) * float64(time.Second))
	}
	return out
}

// updateInefficiency compares how long prefills take with the model.
func (h *history) updateInefficiency(o Observation, n counts) {
	s := h.samples[len(h.samples)-1]
	alone := o.Prompt * o.TokenTime.Seconds()
	load := s.rate * o.TokenTime.Seconds()
	if alone <= 0 || load <= 0 || n.serving == 0 {
		return
	}
	x := 1.0
	if w := (s.waitForPrefill - o.Latency).Seconds(); w > alone {
		x = min(max((1-alone/w)*float64(n.serving)/load, 1), maxInefficiency)
	}
	weight := fallingWeight
	if x > h.inefficiency {
		weight = risingWeight
	}
	h.inefficiency += weight * (x - h.inefficiency)
}

// demandFor returns for how long there has been demand.
func (h *history) demandFor(now time.Time) time.Duration {
	if h.demandSince.IsZero() {
		return 0
	}
	return now.Sub(h.demandSince)
}

// crest returns the highest rate that was reached for so long in total within the window.
func (h *history) crest(hold time.Duration) float64 {
	return h.highest(hold, func(s sample) float64 { return s.rate })
}

// waited returns the longest prefill time that was reached for so long in total within the window.
func (h *history) waited(hold time.Duration) time.Duration {
	return time.Duration(h.highest(hold, func(s sample) float64 { return float64(s.waitForPrefill) }))
}

func (h *history) highest(hold time.Duration, of func(sample) float64) float64 {
	if len(h.samples) == 0 {
		return 0
	}
	list := make([]float64, 0, len(h.samples))
	for _, s := range h.samples {
		list = append(list, of(s))
	}
	slices.Sort(list)
	slices.Reverse(list)
	return list[min(len(list), max(1, int(hold/Interval)))-1]
}

// mean returns the mean rate in the window.
func (h *history) mean() float64 {
	return h.average(func(s sample) float64 { return s.rawRate })
}

func (h *history) average(of func(sample) float64) float64 {
	if len(h.samples) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range h.samples {
		sum += of(s)
	}
	return sum / float64(len(h.samples))
}

// decodeNeed returns the mean memory that decode has needed in the window. A wave's crest
// doesn't count more than its trough: memory that is short for a moment delays requests,
// and following it would change stages with each wave.
func (h *history) decodeNeed() float64 {
	return h.average(func(s sample) float64 { return s.decodeNeed })
}

// lacksMemory reports whether so many decode engines have too little memory. It is unknown
// before demand has lasted for the time of a change.
func (h *history) lacksMemory(now time.Time, o Observation, decode int) bool {
	if h.demandFor(now) < o.ChangeTime {
		return false
	}
	return h.decodeNeed() > scarceUse(o)*o.DecodeCapacity*float64(decode)
}

// scarceUse is the part of decode's memory above whose use it lacks memory.
func scarceUse(o Observation) float64 {
	return max(0.1, min(1-scarceMemory, 1-scarcePrompts*o.Prompt/o.DecodeCapacity))
}

// memoryBound returns the most prefill engines that leave decode enough memory.
func (h *history) memoryBound(o Observation, n counts) int {
	if o.DecodeCapacity <= 0 {
		return n.total()
	}
	use := min(1-spareMemory, memoryGap*scarceUse(o))
	return max(1, n.total()-int(math.Ceil(h.decodeNeed()/(use*o.DecodeCapacity))))
}

// model says how long prefills take: a queue in which the time grows with the inverse of the
// engines' idle part.
type model struct {
	// tokenTime and latency are in seconds.
	prompt, tokenTime, latency, inefficiency float64
}

// load returns how many engines a rate of prompt tokens keeps busy.
func (m model) load(rate float64) float64 { return rate * m.tokenTime * m.inefficiency }

// maxBusy bounds the busy part of engines in the model.
const maxBusy = 0.98

// expected returns the expected time of a prefill and its queue.
func (m model) expected(rate float64, engines int) time.Duration {
	if engines < 1 {
		return Window
	}
	idle := 1 - min(maxBusy, m.load(rate)/float64(engines))
	return time.Duration((m.latency + m.prompt*m.tokenTime/idle) * float64(time.Second))
}

// minIdle is the idle part of engines that is aimed for at least where even a prefill that is
// alone takes longer than the limit, or nearly so.
const minIdle = 0.2

// engines returns the number of engines with which a prefill is expected within a limit.
func (m model) engines(rate float64, limit time.Duration) int {
	idle := minIdle
	if left := limit.Seconds() - m.latency; left > 0 {
		idle = max(idle, 1-m.prompt*m.tokenTime/left)
	}
	return int(math.Ceil(m.load(rate) / idle))
}
