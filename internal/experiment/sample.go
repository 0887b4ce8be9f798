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

// sampleEvery is short compared with the duration of an answer at all time scales
// in use.
const sampleEvery = 200 * time.Millisecond

// Use is the utilisation of the pools during the sending period, sampled from the
// engines and agents.
type Use struct {
	// Decode is the share of decode slots with a running stream; Reserved is the
	// share reserved by agents, with or without a stream.
	Decode   float64 `json:"decode"`
	Reserved float64 `json:"reserved"`
	// LeastDecode and MostDecode are the means of the least and most used decode
	// server.
	LeastDecode float64 `json:"leastDecode"`
	MostDecode  float64 `json:"mostDecode"`
	// Prefill is the share of samples in which a prefill server had work.
	Prefill float64 `json:"prefill"`
}

// sampledServer accumulates the samples of one model server.
type sampledServer struct {
	role, backend, operator string
	samples, used, reserved float64
}

// agentState is the part of an agent's state dump that is sampled.
type agentState struct {
	Agent struct {
		Load struct{ Used int }
	} `json:"agent"`
}

// sample samples all model servers until d has passed or ctx ends.
func (c *cluster) sample(ctx context.Context, d time.Duration) Use {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for wait.Sleep(ctx, sampleEvery) {
		for _, w := range c.sampledServers {
			w.takeSample(ctx)
		}
	}
	return summariseUse(c.sampledServers)
}

func (w *sampledServer) takeSample(ctx context.Context) {
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

func summariseUse(list []*sampledServer) Use {
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
