package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/split"
	"jayford.example/jayford/internal/policy/stage"
)

// splitter has the controller of the split of the one service with engines. With several such
// services the split is fixed, as datagrams give a gateway's prompts of all services together.
type splitter struct {
	mu sync.Mutex
	// All below is guarded by mu.
	controller *split.Controller
	// service is the service of last.
	service     string
	observation split.Observation
	last        split.Decision
	// logged is the wanted number in the last log line.
	logged int
}

// newSplitter returns nil if the split is fixed.
func newSplitter(o StageOptions, b *board.Board) *splitter {
	if o.MaxShare <= o.Share {
		return nil
	}
	x := &splitter{controller: split.New(split.Options{Min: o.MinShare, Share: o.Share, Max: o.MaxShare})}
	b.AddView("split", x.dump)
	return x
}

// dump returns the state for the board's dump.
func (x *splitter) dump() any {
	x.mu.Lock()
	defer x.mu.Unlock()
	o := x.observation
	o.Engines = nil
	return struct {
		Service     string
		Observation split.Observation
		Decision    split.Decision
	}{x.service, o, x.last}
}

// decision returns the last decision for a service, false if there is none.
func (x *splitter) decision(service string) (split.Decision, bool) {
	if x == nil {
		return split.Decision{}, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last, x.service == service && x.last.Wanted > 0
}

// splitPlan says how the engines of a service are to be changed.
type splitPlan struct {
	want, limit int
	// exact: also small deviations are mended.
	exact  bool
	choose func(engines []stage.Engine, want, limit int) []stage.Change
}

// plan returns the plan for n engines of a service; limit and exact are those without a
// controller.
func (s *stages) plan(service string, n, limit int, exact bool) splitPlan {
	p := splitPlan{want: stage.TargetPrefill(n, s.opts.Share), limit: limit, exact: exact, choose: stage.Decide}
	if s.split != nil {
		p.choose = stage.Choose
	}
	d, ok := s.split.decision(service)
	if !ok || exact {
		return p
	}
	p.want, p.limit, p.exact = d.Wanted, min(limit, d.Limit), d.Correcting
	if d.Correcting {
		p.limit = d.Limit
	}
	return p
}

// stepSplit steps the controller, and reports whether its changes are to be ordered at once.
// Only gateways that may hold the lease observe.
func (s *stages) stepSplit(now time.Time, ordering bool) bool {
	if s.split == nil || !s.g.view.complete.Load() || !ordering && !s.mayOrder() {
		return false
	}
	service, ok := engineService(s.g.Config())
	if !ok {
		return false
	}
	o := s.observe(now, service)
	o.Ordering = ordering
	x := s.split
	x.mu.Lock()
	defer x.mu.Unlock()
	x.service, x.observation, x.last = service.Name, o, x.controller.Step(now, o)
	s.reportSplitLocked()
	return x.last.Correcting
}

// reportSplitLocked sets the metrics, and logs a change of the wanted number. s.split.mu must be
// held.
func (s *stages) reportSplitLocked() {
	x := s.split
	d, o := x.last, x.observation
	prefillEngines.Set(uint64(d.Present))
	prefillCrestSeconds.Set(d.Expected.Seconds())
	if !o.Ordering {
		prefillEnginesWanted.Set(0)
		x.logged = 0
		return
	}
	prefillEnginesWanted.Set(uint64(d.Wanted))
	if x.logged == d.Wanted {
		return
	}
	s.g.log.WithFields(logrus.Fields{
		"service": x.service, "wanted": d.Wanted, "before": x.logged, "present": d.Present, "engines": len(o.Engines),
		"correction": d.Changed, "promptRate": round(o.PromptRate), "crest": round(d.Crest), "expected": milliseconds(d.Expected),
		"inefficiency": round(d.Inefficiency), "queued": round(o.Queued), "prompt": round(o.Prompt), "tokenNanoseconds": o.TokenTime.Nanoseconds(), "latency": milliseconds(o.Latency), "recent": milliseconds(o.Recent),
		"decodeNeed": round(o.DecodeNeed), "decodeCapacity": round(o.DecodeCapacity), "objective": milliseconds(o.Objective),
	}).Info("gateway: wanted number of prefill engines changed.")
	x.logged = d.Wanted
}

// observe returns what this gateway knows of a service now.
func (s *stages) observe(now time.Time, service catalog.Service) split.Observation {
	list := s.g.view.list().engines(service.Name)
	o := split.Observation{
		DecodeCapacity: float64(service.Engine.KVTokens), ChangeTime: service.Engine.SwitchTime,
		Objective: meanObjective(s.g.Config(), service.Name), Engines: s.engines(list, service.Engine.SwitchTime, now),
	}
	o.Prompt, o.TokenTime, o.Latency = s.g.prompts.sizes()
	o.Recent = s.g.prompts.recent(now)
	o.PromptRate, o.RateKnown = s.promptRate(now)
	o.RateKnown = o.RateKnown && s.g.loads.complete()
	for _, x := range list {
		need := s.g.loads.need(x.key, s.g.loads.get(x.key))
		if x.Stage == catalog.Prefill {
			o.Queued += need[0]
		} else {
			o.DecodeNeed += need.Peak()
		}
	}
	return o
}

// promptRate returns the rate of prompt tokens of all gateways, and whether at least half of them
// have reported theirs. The others count as the mean of those.
func (s *stages) promptRate(now time.Time) (float64, bool) {
	own := s.g.prompts.rate(now)
	sum, reported, listed := 0.0, 0, 0
	if s.opts.PeerPromptRate != nil {
		sum, reported, listed = s.opts.PeerPromptRate()
	}
	gateways := max(listed+1, int(s.g.view.peers.Load()))
	if reported > 0 {
		sum *= float64(gateways-1) / float64(reported)
	}
	return own + sum, 2*(reported+1) >= gateways
}

// engineService returns the service with engines, false if there is none or several.
func engineService(c *catalog.Config) (out catalog.Service, ok bool) {
	if c == nil {
		return out, false
	}
	for _, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		if ok {
			return out, false
		}
		out, ok = service, true
	}
	return out, ok
}

// meanObjective returns the mean objective of the streaming routes to a service, 0 if there is none.
// Where routes differ in it, the more urgent prompts go first in the engines' queues, so that the
// shortest objective doesn't need short queues.
func meanObjective(c *catalog.Config, service string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, r := range c.Routes {
		if r.Kind != catalog.Streaming || r.LatencyObjective <= 0 {
			continue
		}
		for _, t := range r.Targets {
			if t.Service == service {
				sum, n = sum+r.LatencyObjective, n+1
			}
		}
	}
	return sum / time.Duration(max(1, n))
}
