// Package experiment measures the policy: it builds a deployment of stand-ins,
// agents and entries in one process, loads it at a multiple of its capacity and
// reports goodput against a bound, wasted prefill, latencies and fairness.
//
// The wire between availability zones (1.5 ms) is left out: all runs on
// loopback. One process for all gives less noise with little processor use than
// dozens of processes that share a machine.
package experiment

import (
	"time"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// Timing of one model server at time scale 1.
const (
	decodeSlots        = 20
	tokenTime          = 20 * time.Millisecond
	tokenTimePerSlot   = time.Millisecond
	prefillPerThousand = 100 * time.Millisecond
	kvTTL              = 800 * time.Millisecond
	linkBytesPerSecond = 10_000_000_000
	// instantLink is a rate at which no transfer of a test takes a nanosecond.
	instantLink = 1 << 60
	// restartAfter is how long a killed engine is away.
	restartAfter = 10 * time.Second
)

// Deployment is a workload with the split of its model servers.
type Deployment struct {
	Workload        load.Workload
	Prefill, Decode int
	// Entries before the servers; 0 for three.
	Entries int
	// Grain is how many tokens of the workload one stand-in token stands for.
	// Token times are multiplied by it, so that an answer lasts as long and the
	// run needs less processor time.
	Grain int
	// TimeScale multiplies all times of the workload and the engines. The
	// constants inside entries and agents are not scaled.
	TimeScale float64
	// Instant engines and links take no time, whatever the workload is.
	Instant bool
}

// work is the mean engine time that a workload asks for in a second at rate 1.
type work struct {
	prefill, decode, requests float64
}

// NewDeployment splits the workload's model servers between prefill and decode
// so that the capacity is greatest, and coarsens its answers by grain.
func NewDeployment(w load.Workload, grain int, timeScale float64) Deployment {
	d := Deployment{Workload: coarse(w, grain), Grain: grain, TimeScale: timeScale}
	best := 0.0
	for p := 1; p < w.Fleet.ModelServers; p++ {
		try := d
		try.Prefill, try.Decode = p, w.Fleet.ModelServers-p
		if c := try.Capacity(); c > best {
			best = c
			d.Prefill, d.Decode = try.Prefill, try.Decode
		}
	}
	return d
}

// coarse divides the lengths of answers by grain and multiplies the targets
// between tokens by it.
func coarse(w load.Workload, grain int) load.Workload {
	classes := append([]load.Class(nil), w.Classes...)
	for i := range classes {
		c := &classes[i]
		if c.Kind != load.KindCompletion {
			continue
		}
		c.MaxTokens.Min = max(1, c.MaxTokens.Min/grain)
		c.MaxTokens.Max = max(c.MaxTokens.Min, c.MaxTokens.Max/grain)
		c.Targets.PerToken *= settings.Duration(grain)
	}
	w.Classes = classes
	return w
}

// engine returns the options of one model server.
func (d Deployment) engine(role string) enginestandin.Options {
	s := func(t time.Duration) time.Duration { return time.Duration(float64(t) * d.TimeScale) }
	o := enginestandin.Options{
		Role:               role,
		DecodeSlots:        decodeSlots,
		TokenTime:          s(tokenTime) * time.Duration(d.Grain),
		TokenTimePerSlot:   s(tokenTimePerSlot) * time.Duration(d.Grain),
		PrefillPerThousand: s(prefillPerThousand),
		KVTTL:              s(kvTTL),
		LinkBytesPerSecond: int64(linkBytesPerSecond / d.TimeScale),
		RestartAfter:       s(restartAfter),
		RecordLimit:        recordLimit,
		OmitTokenEntries:   true,
	}
	if d.Instant {
		// Zero would stand for the defaults.
		o.TokenTime, o.TokenTimePerSlot, o.PrefillPerThousand = 1, 1, 1
		o.LinkBytesPerSecond = instantLink
	}
	return o
}

// slotTime is how long a token takes on a full server.
func (d Deployment) slotTime() time.Duration {
	return (tokenTime + (decodeSlots-1)*tokenTimePerSlot) * time.Duration(d.Grain)
}

// prefillTokens are the tokens of a prompt that a warm cache doesn't spare.
func (d Deployment) prefillTokens(shared bool, words float64) float64 {
	if !shared {
		return words
	}
	all := d.Workload.SharedPrompt.Words
	cached := all / engine.CacheBlock * engine.CacheBlock
	return words + float64(all-cached)
}

func (d Deployment) work() work {
	var sum work
	for _, c := range d.Workload.Classes {
		if c.Kind != load.KindCompletion {
			continue
		}
		rate := c.Rate * meanSwing(c.Swing)
		sum.requests += rate
		sum.prefill += rate * d.prefillSeconds(d.prefillTokens(c.SharedPrompt, mean(c.PromptWords)))
		sum.decode += rate * d.decodeSeconds(mean(c.MaxTokens))
	}
	return sum
}

func (d Deployment) prefillSeconds(tokens float64) float64 {
	return tokens / 1000 * prefillPerThousand.Seconds()
}

// decodeSeconds is the part of a full decode server's time that an answer takes.
func (d Deployment) decodeSeconds(tokens float64) float64 {
	return tokens * d.slotTime().Seconds() / decodeSlots
}

// Capacity is the factor on the workload's rates at which the first of the two
// pools is just full: prefill servers by their rate on a warm cache, decode
// servers by slots through the token time of a full batch.
func (d Deployment) Capacity() float64 {
	w := d.work()
	return min(float64(d.Prefill)/w.prefill, float64(d.Decode)/w.decode)
}

// Bound is the part of the offered completions that the pools could serve, of
// all classes alike, if they worked without a pause during the window: for the
// requests that the run's seed really drew, not for the mean.
func (d Deployment) Bound(plan []load.Arrival, window time.Duration) float64 {
	var sum work
	for _, a := range plan {
		c := d.Workload.Classes[a.Class]
		if c.Kind != load.KindCompletion {
			continue
		}
		s := load.Content(d.Workload, a, load.SharedTexts{}, 1)
		sum.prefill += d.prefillSeconds(d.prefillTokens(c.SharedPrompt, float64(wordsOf(s.Prompt))))
		sum.decode += d.decodeSeconds(float64(s.MaxTokens))
	}
	seconds := window.Seconds() / d.TimeScale
	return min(1, seconds*float64(d.Prefill)/sum.prefill, seconds*float64(d.Decode)/sum.decode)
}

func mean(s load.Span) float64 { return float64(s.Min+s.Max) / 2 }

func meanSwing(s *load.Swing) float64 {
	if s == nil {
		return 1
	}
	return (s.Low + s.High) / 2
}
