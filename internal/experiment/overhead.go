package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/settings"
)

const (
	overheadModel = "small"
	overheadWords = 100
	// warmUp is the number of calls on each path that aren't counted, because they
	// open connections.
	warmUp      = 50
	callTimeout = 10 * time.Second
	// directAttempts limits the attempts of a direct call, as an entry limits its own.
	directAttempts = 5
)

// Latency is the latency distribution of the calls on one path, in milliseconds.
type Latency struct {
	Calls int     `json:"calls"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
}

// Overhead compares calls through an entry with direct calls to the stand-in, sent
// alternately at the same rate in one run.
type Overhead struct {
	Direct Latency `json:"direct"`
	Entry  Latency `json:"entry"`
	// Median and P99 are the differences of the percentiles (entry minus direct),
	// in milliseconds.
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
}

// MeasureOverhead sends rate calls per second for d, half of them direct. They are
// plain calls or, if completion is set, completions of one token.
func MeasureOverhead(ctx context.Context, rate int, d time.Duration, completion bool) (Overhead, error) {
	c, err := startCluster(ctx, overheadDeployment(), settings.DefaultEntry().Policy)
	if err != nil {
		return Overhead{}, err
	}
	defer c.stop()
	p := newOverheadRun(c, completion)
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	n := int(d.Seconds() * float64(rate))
	for i := range n {
		select {
		case <-ctx.Done():
			return Overhead{}, ctx.Err()
		case <-tick.C:
		}
		p.wait.Go(func() { p.call(ctx, i) })
	}
	p.wait.Wait()
	if p.err != nil {
		return Overhead{}, p.err
	}
	return overheadOf(p.direct, p.entry), nil
}

// overheadDeployment returns a deployment with instant engines. Sleeps of a
// millisecond or less would make the latency depend on the load of the process: an
// idle process wakes only at the next full millisecond, so the engines would be
// slower for the calls of one path than for those of the other.
func overheadDeployment() Deployment {
	w := load.Workload{
		Fleet:   load.Fleet{ModelServers: 2, Services: 1, AvailabilityZones: []string{"a"}},
		Classes: []load.Class{{Kind: load.KindCompletion, Model: overheadModel}},
	}
	return Deployment{Workload: w, Prefill: 1, Decode: 1, Grain: 1, TimeScale: 0.05, Instant: true}
}

// overheadRun sends calls on both paths and records their latencies.
type overheadRun struct {
	c          *cluster
	completion bool
	client     *http.Client
	prefill    *engine.HTTP
	decode     *engine.HTTP
	source     string
	wait       sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	direct, entry []time.Duration
	err           error
}

func newOverheadRun(c *cluster, completion bool) *overheadRun {
	p := &overheadRun{c: c, completion: completion, client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: warmUp}}}
	for _, w := range c.sampledServers {
		if w.role == object.RolePrefill {
			p.source = w.backend
			p.prefill = engine.NewHTTP(w.backend)
			continue
		}
		p.decode = engine.NewHTTP(w.backend)
	}
	return p
}

func (p *overheadRun) call(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	direct := i%2 == 0
	begin := time.Now()
	err := p.send(ctx, i, direct)
	took := time.Since(begin)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.err = err
	case i < 2*warmUp:
	case direct:
		p.direct = append(p.direct, took)
	default:
		p.entry = append(p.entry, took)
	}
}

func (p *overheadRun) send(ctx context.Context, i int, direct bool) error {
	switch {
	case p.completion && direct:
		return p.generate(ctx, i)
	case p.completion:
		return p.complete(ctx, i)
	case direct:
		return p.get(ctx, p.c.services[0])
	}
	return p.get(ctx, p.c.targets[i/2%len(p.c.targets)])
}

func (p *overheadRun) get(ctx context.Context, address string) error {
	return p.do(ctx, http.MethodGet, "http://"+address+"/things/1", nil)
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (p *overheadRun) complete(ctx context.Context, i int) error {
	body, err := json.Marshal(completionBody{Model: overheadModel, Prompt: promptOf(i), MaxTokens: 1})
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	return p.do(ctx, http.MethodPost, "http://"+p.c.targets[i/2%len(p.c.targets)]+"/v1/completions", body)
}

func (p *overheadRun) do(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return eris.Wrap(err, "experiment")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("experiment: %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// generate runs prefill and decode for a completion without an entry. Like an
// entry, it repeats the prefill if its result expired before the decode: on a busy
// machine nearly a second can pass in between.
func (p *overheadRun) generate(ctx context.Context, i int) error {
	var err error
	for try := uint32(1); try <= directAttempts; try++ {
		err = p.generateOnce(ctx, engine.Attempt{Request: fmt.Sprintf("direct-%d", i), Number: try}, promptOf(i))
		if !errors.Is(err, engine.ErrKVGone) {
			return err
		}
	}
	return err
}

func (p *overheadRun) generateOnce(ctx context.Context, a engine.Attempt, prompt string) error {
	kv, err := p.prefill.Prefill(ctx, engine.PrefillRequest{Attempt: a, Model: overheadModel, Prompt: prompt})
	if err != nil {
		return eris.Wrap(err, "experiment: direct prefill")
	}
	err = p.decode.Decode(ctx, engine.DecodeRequest{
		Attempt: a, Model: overheadModel, Prompt: prompt, KV: kv.KV, Source: p.source, MaxTokens: 1,
	}, func(engine.Event) error { return nil })
	return eris.Wrap(err, "experiment: direct decode")
}

func promptOf(i int) string {
	return fmt.Sprintf("%d%s", i, strings.Repeat(" word", overheadWords))
}

func overheadOf(direct, entry []time.Duration) Overhead {
	d, e := latencyOf(direct), latencyOf(entry)
	return Overhead{Direct: d, Entry: e, Median: e.P50 - d.P50, P99: e.P99 - d.P99}
}

func latencyOf(list []time.Duration) Latency {
	if len(list) == 0 {
		return Latency{}
	}
	slices.Sort(list)
	at := func(p float64) float64 {
		return list[min(len(list)-1, int(p*float64(len(list))))].Seconds() * 1000
	}
	return Latency{Calls: len(list), P50: at(0.5), P99: at(0.99)}
}
