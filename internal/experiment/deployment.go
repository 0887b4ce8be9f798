// Package experiment measures the routing policy: it runs a deployment of
// simulated backend servers (stand-ins), agents and entries in one process, loads
// it at a multiple of its capacity and reports goodput relative to an upper bound,
// wasted prefill, latencies and fairness.
//
// Everything runs on loopback, so the network latency between availability zones
// (1.5 ms) isn't modelled. A single process uses little processor time and gives
// less noise than dozens of processes that share a machine.
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
	// instantLink is a rate at which every transfer takes less than a nanosecond.
	instantLink = 1 << 60
	// restartAfter is the downtime of a crashed engine.
	restartAfter = 10 * time.Second
)

// Deployment is a workload and the servers that it runs on.
type Deployment struct {
	Workload        load.Workload
	Prefill, Decode int
	// Entries is the number of entries; 0 means three.
	Entries int
	// Grain is the number of workload tokens that one simulated token represents.
	// Token times are multiplied by it, so that an answer takes as long as before
	// while the run needs less processor time.
	Grain int
	// TimeScale multiplies all times of the workload and the engines. The
	// constants inside entries and agents are not scaled.
	TimeScale float64
	// Instant makes engines and links take practically no time.
	Instant bool
}

// demand is the mean demand of a workload per second at rate 1: engine seconds of
// prefill and decode, and the number of requests.
type demand struct {
	prefill, decode, requests float64
}

// NewDeployment splits the workload's model servers between prefill and decode so
// that the capacity is highest, and divides the lengths of answers by grain.
func NewDeployment(w load.Workload, grain int, timeScale float64) Deployment {
	d := Deployment{Workload: coarsen(w, grain), Grain: grain, TimeScale: timeScale}
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

// coarsen divides the lengths of answers by grain and multiplies the targets for
// the inter-token latency by it.
func coarsen(w load.Workload, grain int) load.Workload {
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
		// What remains between prefill and decode are delays of the processes, which
		// TimeScale doesn't scale.
		o.KVTTL = kvTTL
		// Zero would select the defaults.
		o.TokenTime, o.TokenTimePerSlot, o.PrefillPerThousand = 1, 1, 1
		o.LinkBytesPerSecond = instantLink
	}
	return o
}

// slotTime is the time per token on a decode server with all slots in use.
func (d Deployment) slotTime() time.Duration {
	return (tokenTime + (decodeSlots-1)*tokenTimePerSlot) * time.Duration(d.Grain)
}

// prefillTokens returns the number of prompt tokens that must be prefilled with a
// warm prefix cache.
func (d Deployment) prefillTokens(shared bool, words float64) float64 {
	if !shared {
		return words
	}
	all := d.Workload.SharedPrompt.Words
	cached := all / engine.CacheBlock * engine.CacheBlock
	return words + float64(all-cached)
}

func (d Deployment) meanDemand() demand {
	var sum demand
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

// decodeSeconds returns the decode time of an answer on a full server, divided by
// the number of slots.
func (d Deployment) decodeSeconds(tokens float64) float64 {
	return tokens * d.slotTime().Seconds() / decodeSlots
}

// Capacity returns the factor on the workload's rates at which the first of the
// two pools is saturated. The prefill pool is limited by its rate with a warm
// cache, the decode pool by its slots divided by the token time of a full batch.
func (d Deployment) Capacity() float64 {
	w := d.meanDemand()
	return min(float64(d.Prefill)/w.prefill, float64(d.Decode)/w.decode)
}

// Bound returns the share of the offered completions that the pools could serve,
// equal for all classes, if they were busy for the whole window. It is computed
// from the requests actually drawn for the run's seed, not from the mean rates.
func (d Deployment) Bound(plan []load.Arrival, window time.Duration) float64 {
	var sum demand
	for _, a := range plan {
		c := d.Workload.Classes[a.Class]
		if c.Kind != load.KindCompletion {
			continue
		}
		s := load.BuildRequest(d.Workload, a, load.SharedTexts{}, 1)
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
