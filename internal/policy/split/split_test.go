package split

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/stage"
)

// fleet simulates the engines of a service and the gateway that orders. Prefill is a queue with
// a rate of work; what a prefill takes more than that is given by inefficiency.
type fleet struct {
	t   require
	rnd *rand.Rand
	now time.Time
	// elapsed is the time since the demand began.
	elapsed      time.Duration
	engines      []stage.Engine
	back         []time.Time
	options      Options
	controller   *Controller
	demand       func(time.Duration) (prompts float64, prompt, answer float64)
	tokenTime    time.Duration
	inefficiency float64
	capacity     float64
	objective    time.Duration
	changeTime   time.Duration
	noise        float64
	crashes      float64
	// mute: the demand of too few gateways is known. standby: another gateway orders.
	mute, standby bool
	backlog       float64
	need          float64
	last          Decision
	changes       []time.Time
	wanted        []int
}

type require interface {
	assert.TestingT
	Helper()
}

func newFleet(t require, n, zones int, share, maxShare float64) *fleet {
	f := &fleet{
		t: t, rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), tokenTime: 19 * time.Microsecond, inefficiency: 1.7,
		capacity: 40210, objective: 900 * time.Millisecond, changeTime: 6 * time.Second,
		options: Options{Share: share, Max: maxShare}, back: make([]time.Time, n),
	}
	f.controller = New(f.options)
	for i := range n {
		f.engines = append(f.engines, stage.Engine{ID: fmt.Sprint("e", i), AvailabilityZone: fmt.Sprint("az", i%zones), Stage: catalog.Decode})
	}
	for _, c := range stage.Choose(f.engines, stage.TargetPrefill(n, share), n) {
		f.engines[f.index(c.ID)].Stage = c.To
	}
	return f
}

func (f *fleet) index(id string) int {
	var i int
	_, err := fmt.Sscanf(id, "e%d", &i)
	assert.NilError(f.t, err)
	return i
}

func (f *fleet) serving(s catalog.Stage) (n float64) {
	for _, e := range f.engines {
		if e.Stage == s && !e.Unavailable {
			n++
		}
	}
	return n
}

// step simulates one interval and carries out the controller's orders.
func (f *fleet) step() {
	prompts, prompt, answer := f.demand(f.elapsed)
	prompts *= 1 + f.noise*f.rnd.NormFloat64()
	prompts = max(0, prompts)
	rate := prompts * prompt
	f.returnEngines()
	m := model{prompt: prompt, tokenTime: f.tokenTime.Seconds(), inefficiency: f.inefficiency}
	n := f.serving(catalog.Prefill)
	f.backlog = max(0, f.backlog+(m.load(rate)-n)*Interval.Seconds())
	queued := rate*m.expected(rate, int(n)).Seconds() + f.backlog/(f.tokenTime.Seconds()*f.inefficiency)
	// Generations run for a second and 20 ms for each token.
	full := prompts * (prompt + answer) * (1 + 0.02*answer)
	f.need += (min(full, f.serving(catalog.Decode)*f.capacity*0.9) - f.need) * 0.25
	recent := time.Duration(0)
	if rate > 0 {
		recent = time.Duration(queued / rate * float64(time.Second))
	}
	f.last = f.controller.Step(f.now, Observation{
		PromptRate: rate, RateKnown: !f.mute, Prompt: prompt, Recent: recent, TokenTime: f.tokenTime, Queued: queued, DecodeNeed: f.need,
		DecodeCapacity: f.capacity, Engines: f.engines, Objective: f.objective, ChangeTime: f.changeTime, Ordering: !f.standby,
	})
	f.order()
	f.now, f.elapsed = f.now.Add(Interval), f.elapsed+Interval
}

func (f *fleet) returnEngines() {
	for i := range f.engines {
		e := &f.engines[i]
		if e.Unavailable && !f.now.Before(f.back[i]) {
			e.Unavailable, e.Changing = false, false
		}
		if !e.Unavailable && f.rnd.Float64() < f.crashes*Interval.Seconds() {
			e.Unavailable, f.back[i] = true, f.now.Add(time.Duration(4+f.rnd.IntN(20))*time.Second)
		}
	}
}

func (f *fleet) order() {
	if f.last.Changed {
		f.changes = append(f.changes, f.now)
	}
	f.wanted = append(f.wanted, f.last.Wanted)
	if !f.last.Correcting {
		return
	}
	for _, c := range stage.Choose(f.engines, f.last.Wanted, f.last.Limit) {
		i := f.index(c.ID)
		f.engines[i].Stage, f.engines[i].Unavailable, f.engines[i].Changing = c.To, true, true
		f.back[i] = f.now.Add(f.changeTime)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// start runs the processes without demand, as long as they run before there are callers.
func (f *fleet) start() {
	f.demand = func(time.Duration) (float64, float64, float64) { return 0, 5200, 70 }
	f.run(14 * time.Second)
	f.elapsed = 0
}

// wave returns a demand in waves around a mean of prompts a second.
func wave(mean, amplitude float64, phase time.Duration) func(time.Duration) (float64, float64, float64) {
	return func(at time.Duration) (float64, float64, float64) {
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(at+phase).Seconds()/13)), 5200, 70
	}
}

// withBursts multiplies a demand for four seconds of each eleven.
func withBursts(d func(time.Duration) (float64, float64, float64), factor float64) func(time.Duration) (float64, float64, float64) {
	return func(at time.Duration) (float64, float64, float64) {
		prompts, prompt, answer := d(at)
		if at%(11*time.Second) > 7*time.Second {
			prompts *= factor
		}
		return prompts, prompt, answer
	}
}

// The deployment with uneven load: the first correction must come within two seconds of the
// demand, as each late first event is lost, and nothing may swing afterwards.
func TestUnevenLoadIsCorrectedOnceAndSoon(t *testing.T) {
	for _, phase := range []time.Duration{0, time.Second, 3 * time.Second, 11 * time.Second} {
		f := newFleet(t, 40, 3, 0.2, 0.35)
		f.start()
		began := f.now
		f.demand, f.noise = withBursts(wave(35, 0.55, phase), 1.8), 0.1
		within := 2 * time.Second
		if phase == 11*time.Second {
			// The demand begins at a trough, and is half of its mean for two seconds.
			within = 4 * time.Second
		}
		f.run(within + Interval)
		assert.Equal(t, f.last.Wanted, 12, "phase %s: %+v", phase, f.last)
		assert.Assert(t, f.changes[0].Sub(began) <= within)
		f.run(120 * time.Second)
		assert.Assert(t, f.last.Wanted >= 12 && f.last.Wanted <= 14, "phase %s: %v", phase, f.wanted)
		assert.Assert(t, len(f.changes) <= 2, "phase %s: %v", phase, f.wanted)
	}
}

// Guards against changes in fleets whose split suffices: engines out of service for a change
// would be missed there.
func TestSufficientSplitIsLeftAlone(t *testing.T) {
	for _, n := range []int{9, 18, 44, 58, 78} {
		f := newFleet(t, n, 3, 0.2, 0.4)
		f.start()
		f.demand, f.noise, f.inefficiency = withBursts(wave(0.35*float64(n), 0.3, 0), 1.3), 0.15, 1.2
		f.run(90 * time.Second)
		assert.Equal(t, len(f.changes), 0, "%d engines: %+v", n, f.last)
		assert.Equal(t, f.last.Wanted, stage.TargetPrefill(n, 0.2))
	}
}

// Demand moves from long prompts with short answers to short prompts with long answers. The
// engines must follow it down to the lowest share, and decode must get its memory back.
func TestSplitFollowsAShiftToLongAnswers(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.4)
	f.controller = New(Options{Min: 0.1, Share: 0.2, Max: 0.4})
	f.demand = func(at time.Duration) (float64, float64, float64) {
		if at < 40*time.Second {
			return 45, 5200, 40
		}
		return 30, 1200, 1000
	}
	f.run(40 * time.Second)
	high := f.last.Wanted
	assert.Assert(t, high > 8, "%v", f.wanted)
	f.run(120 * time.Second)
	assert.Assert(t, f.last.Wanted < high && f.last.Wanted >= 4, "%v", f.wanted)
	f.run(60 * time.Second)
	settled := len(f.changes)
	f.run(60 * time.Second)
	assert.Equal(t, len(f.changes), settled, "%v", f.wanted)
}

// Guards against engines taken from decode when it has no memory to spare: prefill becomes slower
// while decode uses four fifths of its memory.
func TestDecodeKeepsItsMemory(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.5)
	f.start()
	f.tokenTime = 8 * time.Microsecond
	f.demand = func(time.Duration) (float64, float64, float64) { return 70, 4000, 130 }
	f.run(30 * time.Second)
	f.tokenTime = 30 * time.Microsecond
	f.run(60 * time.Second)
	assert.Assert(t, f.last.Expected > f.objective, "prefill has enough engines: %+v", f.last)
	assert.Equal(t, len(f.changes), 0, "%v", f.wanted)
}

// withLongerAnswers makes answers longer after a time.
func withLongerAnswers(d func(time.Duration) (float64, float64, float64), after time.Duration) func(time.Duration) (float64, float64, float64) {
	return func(at time.Duration) (float64, float64, float64) {
		prompts, prompt, answer := d(at)
		if at > after {
			answer = 150
		}
		return prompts, prompt, answer
	}
}

// Guards against a split that follows the demand of a few gateways.
func TestUnknownDemandChangesNothing(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.4)
	f.start()
	f.demand, f.mute = wave(60, 0.3, 0), true
	f.run(30 * time.Second)
	assert.Equal(t, len(f.changes), 0)
	assert.Equal(t, f.last.Wanted, 8)

	f = newFleet(t, 40, 3, 0.2, 0.4)
	f.start()
	f.demand, f.standby = wave(45, 0, 0), true
	f.run(8 * time.Second)
	f.standby, f.mute = false, true
	f.run(30 * time.Second)
	assert.Equal(t, len(f.changes), 0, "%v", f.wanted)
}

// Engines whose orders aren't visible yet, those of the last holder's included, count towards the
// tenth that may be out of service.
func TestLimitCountsEnginesThatChange(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.4)
	f.start()
	for i := range 3 {
		f.engines[i].Changing, f.engines[i].Unavailable, f.back[i] = true, true, f.now.Add(time.Minute)
	}
	f.demand = wave(50, 0, 0)
	for !f.last.Changed {
		f.step()
		assert.Assert(t, f.elapsed < 5*time.Second)
	}
	assert.Equal(t, f.last.Limit, 1)
}

// Guards against engines that go back and forth where both prefill and decode are short: taking
// them from one makes the other one lack them.
func TestShortageOfBothStagesDoesntOscillate(t *testing.T) {
	// Bursts need engines for prefill, and fill the memory of those that are left for decode.
	f := newFleet(t, 40, 3, 0.2, 0.35)
	f.start()
	f.demand, f.noise, f.capacity = withBursts(wave(40, 0.55, 0), 2.2), 0.1, 34000
	f.demand = withLongerAnswers(f.demand, 20*time.Second)
	f.run(300 * time.Second)
	assert.Assert(t, len(f.changes) <= 2, "%v", f.wanted)
	assert.Assert(t, f.last.Wanted >= 12, "%v", f.wanted)

	for _, prompts := range []float64{50, 55, 60, 65, 70, 75, 80} {
		f := newFleet(t, 40, 3, 0.2, 0.5)
		f.controller = New(Options{Min: 0.1, Share: 0.2, Max: 0.5})
		f.start()
		f.demand, f.noise, f.tokenTime = func(time.Duration) (float64, float64, float64) { return prompts, 4000, 100 }, 0.1, 30*time.Microsecond
		f.run(60 * time.Second)
		early := len(f.changes)
		f.run(300 * time.Second)
		assert.Assert(t, len(f.changes)-early <= 1, "%f prompts/s: %v", prompts, f.wanted)
	}
}

// A gateway that takes over finds the split of its predecessor and must not undo it: it hasn't
// seen the demand that asked for it.
func TestSuccessorKeepsThePresentSplit(t *testing.T) {
	f := newFleet(t, 40, 3, 0.3, 0.4)
	f.demand = func(time.Duration) (float64, float64, float64) { return 10, 5200, 70 }
	f.controller = New(Options{Share: 0.2, Max: 0.4})
	o := Observation{
		PromptRate: 50000, RateKnown: true, Prompt: 5200, TokenTime: 20 * time.Microsecond, DecodeCapacity: 40210,
		Engines: f.engines, Objective: 900 * time.Millisecond, ChangeTime: f.changeTime,
	}
	assert.Equal(t, f.controller.Step(f.now, o).Wanted, 12)
	f.now = f.now.Add(Interval)
	f.run(60 * time.Second)
	assert.Equal(t, f.last.Wanted, 12)
	assert.Equal(t, len(f.changes), 0)
}

// A predecessor's last orders may still be carried out. Further ones would put more than a tenth
// of the engines out of service.
func TestSuccessorPausesForAChange(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.4)
	f.demand, f.standby = wave(45, 0, 0), true
	f.run(20 * time.Second)
	assert.Equal(t, len(f.changes), 0)
	began := f.now
	f.standby = false
	f.run(20 * time.Second)
	assert.Assert(t, len(f.changes) > 0, "%+v", f.last)
	after := f.changes[0].Sub(began)
	assert.Assert(t, after >= f.changeTime && after <= f.changeTime+Interval, "after %s", after)
}

// Crashed engines count towards their stage while they may restart, and no longer.
func TestCrashedEnginesCountForTenSeconds(t *testing.T) {
	p, now := presence{}, time.Unix(1000, 0)
	es := []stage.Engine{
		{ID: "a", Stage: catalog.Prefill, Unavailable: true},
		{ID: "b", Stage: catalog.Prefill, Unavailable: true, Changing: true},
		{ID: "c", Stage: catalog.Decode},
	}
	assert.Equal(t, p.count(now, es), counts{prefill: 2, decode: 1, changing: 1, zones: 1})
	assert.Equal(t, p.count(now.Add(crashedFor-1), es).prefill, 2)
	assert.Equal(t, p.count(now.Add(crashedFor), es).prefill, 1)
	es[0].Unavailable = false
	assert.Equal(t, p.count(now.Add(crashedFor), es), counts{prefill: 2, decode: 1, serving: 1, changing: 1, zones: 1})
}

// Any fleet and demand: the wanted number stays within its bounds, changes no more often than the
// pause allows, at most a tenth of the engines change at a time, each zone keeps both stages, and
// a steady demand settles.
func TestSplitOnRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones := rapid.IntRange(6, 78).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "zones")
		f := newFleet(t, n, zones, rapid.Float64Range(0.15, 0.4).Draw(t, "share"), 0)
		f.rnd = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f.options.Min = rapid.Float64Range(0.05, f.options.Share).Draw(t, "min")
		f.options.Max = rapid.Float64Range(f.options.Share, 0.7).Draw(t, "max")
		f.controller = New(f.options)
		f.inefficiency = rapid.Float64Range(1, 2).Draw(t, "inefficiency")
		mean := rapid.Float64Range(0.1, 2).Draw(t, "promptsPerEngine") * float64(n)
		amplitude := rapid.SampledFrom([]float64{0, 0.3, 0.55}).Draw(t, "amplitude")
		shift := time.Duration(rapid.IntRange(10, 200).Draw(t, "shift")) * time.Second
		answer := rapid.Float64Range(50, 800).Draw(t, "answer")
		bursts := rapid.SampledFrom([]float64{1, 1, 1.6, 2.5}).Draw(t, "bursts")
		f.noise = rapid.SampledFrom([]float64{0, 0.1, 0.2}).Draw(t, "noise")
		f.crashes = rapid.SampledFrom([]float64{0, 0, 0.002, 0.01}).Draw(t, "crashes")
		before := withBursts(wave(mean, amplitude, time.Duration(rapid.IntRange(0, 12).Draw(t, "phase"))*time.Second), bursts)
		f.demand = func(at time.Duration) (float64, float64, float64) {
			prompts, prompt, _ := before(at)
			if at > shift {
				return prompts * 0.3, 1200, answer
			}
			return prompts, prompt, 70
		}
		for range 200 {
			f.step()
			f.checkBounds()
		}
		for i := 1; i < len(f.changes); i++ {
			assert.Assert(t, f.changes[i].Sub(f.changes[i-1]) >= 2*f.changeTime)
		}
		f.checkSettled(mean)
	})
}

// checkSettled lets a steady demand go on until corrections could have reached any split, and
// checks that none follows.
func (f *fleet) checkSettled(mean float64) {
	f.noise, f.crashes = 0, 0
	f.demand = func(time.Duration) (float64, float64, float64) { return mean, 5200, 70 }
	f.run(150 * time.Second)
	n := len(f.changes)
	f.run(100 * time.Second)
	assert.Equal(f.t, len(f.changes), n, "%v", f.wanted)
}

func (f *fleet) checkBounds() {
	n, changing := len(f.engines), 0
	total := f.controller.presence.count(f.now, f.engines)
	for _, e := range f.engines {
		if e.Changing {
			changing++
		}
	}
	assert.Assert(f.t, changing <= tenth(n), "%d of %d engines change", changing, n)
	if total.total() < n {
		return
	}
	low, high := stage.TargetPrefill(n, f.options.Min), stage.TargetPrefill(n, f.options.Max)
	assert.Assert(f.t, f.last.Wanted >= min(low, n-total.zones) && f.last.Wanted <= max(high, total.zones), "%+v", f.last)
	prefill, decode := map[string]int{}, map[string]int{}
	for _, e := range f.engines {
		if e.Stage == catalog.Prefill {
			prefill[e.AvailabilityZone]++
		} else {
			decode[e.AvailabilityZone]++
		}
	}
	if f.last.Wanted < total.zones || f.crashes > 0 {
		return
	}
	assert.Equal(f.t, len(prefill), total.zones, "%v", prefill)
	assert.Equal(f.t, len(decode), total.zones, "%v", decode)
}

// Guards against a correction for queues that only look long: the demand has risen, and the rates
// that gateways report lag behind it, while prefills take as long as before.
func TestQueuesAloneAreNoReasonForAChange(t *testing.T) {
	f := newFleet(t, 40, 3, 0.2, 0.4)
	c := New(Options{Share: 0.2, Max: 0.4})
	o := Observation{
		PromptRate: 300000, RateKnown: true, Prompt: 5200, TokenTime: 20 * time.Microsecond, Latency: 140 * time.Millisecond,
		DecodeCapacity: 40210, Queued: 240000,
		Engines: f.engines, Objective: 900 * time.Millisecond, ChangeTime: f.changeTime, Ordering: true, Recent: 140 * time.Millisecond,
	}
	now := f.now
	for range 40 {
		assert.Equal(t, c.Step(now, o).Wanted, 8)
		now = now.Add(Interval)
	}
	o.Recent = 350 * time.Millisecond
	assert.Assert(t, c.Step(now, o).Wanted > 8)
}

// Guards against an engine that is out of service for seconds in a fleet that misses it.
func TestSmallFleetsAreLeftAlone(t *testing.T) {
	f := newFleet(t, 18, 3, 0.2, 0.4)
	c := New(Options{Share: 0.2, Max: 0.4})
	o := Observation{
		PromptRate: 300000, RateKnown: true, Prompt: 5200, TokenTime: 20 * time.Microsecond, DecodeCapacity: 40210, Queued: 240000,
		Engines: f.engines, Objective: 900 * time.Millisecond, ChangeTime: f.changeTime, Ordering: true, Recent: 800 * time.Millisecond,
	}
	for i := range 60 {
		assert.Equal(t, c.Step(f.now.Add(time.Duration(i)*Interval), o).Wanted, 4)
	}
}
