package experiment

import (
	"jayford.example/jayford/internal/engine"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// Waste counts prefill work, taken from the engines' records, in prompt tokens that
// weren't served from the cache. Prefills cancelled before their end aren't
// included, because the records don't show their progress.
type Waste struct {
	Tokens float64 `json:"tokens"`
	// Wasted counts the tokens of results that no decode server pulled because
	// they expired, were cancelled or were lost in a crash.
	Wasted float64 `json:"wasted"`
	Share  float64 `json:"share"`
	// Cancelled counts the prefills that were cancelled before their end.
	Cancelled int `json:"cancelled"`
	// CachedShare is the share of all prompt tokens served from the cache.
	CachedShare float64 `json:"cachedShare"`
}

// waste evaluates the records of all engines after a run.
func waste(engines []*enginestandin.Engine) Waste {
	var w Waste
	prompt, cached := 0, 0
	for _, e := range engines {
		pending := map[engine.Attempt]int{}
		for _, x := range e.Record().Entries {
			switch x.Kind {
			case enginestandin.EntryPrefilled:
				prompt += x.Tokens
				cached += x.Cached
				pending[x.Attempt] = x.Tokens - x.Cached
			case enginestandin.EntryPulled:
				delete(pending, x.Attempt)
			case enginestandin.EntryCancel:
				if x.Phase == engine.PhasePrefill {
					w.Cancelled++
				}
			}
		}
		for _, tokens := range pending {
			w.Wasted += float64(tokens)
		}
	}
	w.Tokens = float64(prompt - cached)
	if prompt > 0 {
		w.CachedShare = float64(cached) / float64(prompt)
	}
	if w.Tokens > 0 {
		w.Share = w.Wasted / w.Tokens
	}
	return w
}
