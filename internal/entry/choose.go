package entry

import (
	"math/rand/v2"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/policy/place"
)

// missingHintAge is the age assumed for a server without a load hint.
const missingHintAge = time.Hour

// choose ranks the servers of a phase for a generation, best first.
func (e *Entry) choose(phase pb.Phase, g *generation, zone string) []target {
	all := g.dest.targets.decode
	if phase == pb.Phase_PHASE_PREFILL {
		all = g.dest.targets.prefill
	}
	usable := e.usable(all, g.exclude)
	req := place.Request{
		PromptTokens: g.r.promptTokens, MaxTokens: g.r.maxTokens, AvailabilityZone: zone,
		Interactive: g.dest.choice.Priority == Interactive,
	}
	if zone == "" {
		req.AvailabilityZone = e.settings.AvailabilityZone
	}
	cands := e.candidates(usable)
	opt := e.placeOptions(len(all))
	if phase == pb.Phase_PHASE_PREFILL {
		e.addCached(cands, g.r)
		return ranked(usable, place.Prefill(cands, req, opt, e.random()))
	}
	return ranked(usable, place.Decode(cands, req, opt, e.random()))
}

// chooseService ranks the servers of a plain service, best first.
func (e *Entry) chooseService(all []target, exclude map[string]bool) []target {
	usable := e.usable(all, exclude)
	req := place.Request{AvailabilityZone: e.settings.AvailabilityZone, Interactive: true}
	return ranked(usable, place.Service(e.candidates(usable), req, e.placeOptions(len(all)), e.random()))
}

// usable returns the first servers of all that aren't excluded, at most
// Policy.Subset of them. The list of a large pool is already ranked for this
// entry, so its head is the entry's subset. If every server is excluded, the
// exclusions are ignored: a server that failed once is better than none.
func (e *Entry) usable(all []target, exclude map[string]bool) []target {
	n := min(len(all), e.settings.Policy.Subset)
	out := make([]target, 0, n)
	for _, t := range all {
		if len(out) == n {
			return out
		}
		if !exclude[t.id] {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		out = append(out, all[:n]...)
	}
	return out
}

func (e *Entry) placeOptions(pool int) place.Options {
	p := e.settings.Policy
	return place.Options{
		Mode: p.Placement, Turn: e.roundRobin.Add(1), Subset: p.Subset, Pool: pool, CacheWeight: p.WastedPrefillWeight,
	}
}

func (e *Entry) candidates(list []target) []place.Candidate {
	now := time.Now()
	out := make([]place.Candidate, len(list))
	for i, t := range list {
		out[i] = candidate(t, e.agents.Hint(t.id), now)
		out[i].LastResort = e.rankedLast(t.id)
	}
	return out
}

func candidate(t target, h agents.Hint, now time.Time) place.Candidate {
	c := place.Candidate{ID: t.id, AvailabilityZone: t.zone, Age: missingHintAge, Pending: h.Pending, PendingTokens: h.PendingTokens}
	l := h.Load
	if l == nil {
		return c
	}
	c.Age = now.Sub(h.At)
	c.Slots = int(l.Slots)
	c.Used = int(l.Used)
	c.Queued = int(l.Queued)
	c.QueuedTokens = int64(l.QueuedTokens)
	c.PrefillPerThousand = time.Duration(l.PrefillUs) * time.Microsecond
	c.TokenTime = time.Duration(l.TokenUs) * time.Microsecond
	return c
}

func ranked(list []target, order []int) []target {
	out := make([]target, len(order))
	for i, n := range order {
		out[i] = list[n]
	}
	return out
}

// predictPrefill returns the predicted time until a prefill started now at t
// ends.
func (e *Entry) predictPrefill(t target, r *request) time.Duration {
	c := candidate(t, e.agents.Hint(t.id), time.Now())
	return place.PredictTTFT(c, place.Request{PromptTokens: r.promptTokens, MaxTokens: r.maxTokens})
}

func (e *Entry) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// addCached sets how many of the prompt's tokens each candidate has cached,
// according to the prefix index.
func (e *Entry) addCached(list []place.Candidate, r *request) {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	for i := range list {
		list[i].CachedTokens = e.prefixes.Cached(list[i].ID, r.hashes)
	}
}

// recordCached updates the prefix index with the number of cached tokens that a
// prefill reported.
func (e *Entry) recordCached(id string, r *request, cached int) {
	e.policyMu.Lock()
	defer e.policyMu.Unlock()
	e.prefixes.RecordResponse(id, r.hashes, cached)
}
