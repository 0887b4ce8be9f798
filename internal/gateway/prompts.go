package gateway

import (
	"sync"
	"time"

	"jayford.example/jayford/internal/policy/split"
)

// prompts measures the prompts of this gateway's requests.
type prompts struct {
	mu sync.Mutex
	// demand is guarded by mu.
	demand split.Demand
}

// count counts a prompt that is about to be placed. Requests that were refused for their
// organisation's quota aren't counted, as they need no engine.
func (p *prompts) count(now time.Time, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.Count(now, tokens)
}

func (p *prompts) rate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Rate(now)
}

// sizes returns the mean size of a prompt, the prefill time of one token at an engine that has no
// other prompt, and the latency of a prefill besides.
func (p *prompts) sizes() (tokens float64, tokenTime, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokenTime, latency = p.demand.Times()
	return p.demand.Prompt(), tokenTime, latency
}

// PromptRate returns the prompt tokens a second in this gateway's requests.
func (g *Gateway) PromptRate() float64 { return g.prompts.rate(time.Now()) }

// recordPromptTime records how long a prefill took, and whether it was alone at its engine.
func (g *Gateway) recordPromptTime(queued, tokens int, took time.Duration) {
	isAlone := queued == tokens && g.loads.complete()
	g.prompts.mu.Lock()
	defer g.prompts.mu.Unlock()
	g.prompts.demand.RecordPrefill(g.queues.now(), took)
	if isAlone {
		g.prompts.demand.RecordAlone(tokens, took)
	}
}

// recent returns how long recent prefills took on average, 0 if there were too few.
func (p *prompts) recent(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Recent(now)
}
