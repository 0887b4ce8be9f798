package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/wait"
)

// sampleEvery is short against the life of an answer at all time scales in use.
const sampleEvery = 200 * time.Millisecond

// Use is how busy the pools were while requests were sent, from samples of the
// engines and the agents.
type Use struct {
	// Decode is the part of the decode slots with a running stream, Reserved
	// the part that agents had given away, with or without one.
	Decode   float64 `json:"decode"`
	Reserved float64 `json:"reserved"`
	// LeastDecode and MostDecode are the means of the least and most used server.
	LeastDecode float64 `json:"leastDecode"`
	MostDecode  float64 `json:"mostDecode"`
	// Prefill is the part of samples in which a prefill server had work.
	Prefill float64 `json:"prefill"`
}

// watched is a model server that is sampled.
type watched struct {
	role, backend, operator string
	samples, used, reserved float64
}

// agentState is what the samples need of an agent's state dump.
type agentState struct {
	Agent struct {
		Load struct{ Used int }
	} `json:"agent"`
}

// sample watches the servers until d has passed or ctx ends.
func (c *cluster) sample(ctx context.Context, d time.Duration) Use {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for wait.Sleep(ctx, sampleEvery) {
		for _, w := range c.watched {
			w.take(ctx)
		}
	}
	return useOf(c.watched)
}

func (w *watched) take(ctx context.Context) {
	var l engine.Load
	var s agentState
	if get(ctx, "http://"+w.backend+engine.PathLoad, &l) != nil {
		return
	}
	if get(ctx, "http://"+w.operator+operator.PathState, &s) != nil {
		return
	}
	w.samples++
	if w.role == object.RolePrefill {
		w.used += float64(min(1, l.Queued))
		return
	}
	w.used += float64(l.Used) / decodeSlots
	w.reserved += float64(s.Agent.Load.Used) / decodeSlots
}

func useOf(list []*watched) Use {
	var prefill, decode, reserved []float64
	for _, w := range list {
		n := max(w.samples, 1)
		if w.role == object.RolePrefill {
			prefill = append(prefill, w.used/n)
			continue
		}
		decode = append(decode, w.used/n)
		reserved = append(reserved, w.reserved/n)
	}
	d := spread(decode)
	return Use{
		Decode: d.Mean, LeastDecode: d.Min, MostDecode: d.Max,
		Reserved: spread(reserved).Mean, Prefill: spread(prefill).Mean,
	}
}

func get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	defer resp.Body.Close()
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(v), "experiment")
}
