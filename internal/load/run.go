package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults and bounds of a run.
const (
	DefaultConcurrency = 4096
	DefaultMaxRequests = 200_000
	MaxDuration        = time.Hour
	maxRequests        = 5_000_000
	maxConcurrency     = 20_000
	defaultMaxAnswer   = 8 << 20
	defaultGrace       = 5 * time.Second
	defaultProgress    = 2 * time.Second
	dialTimeout        = 3 * time.Second
	// lateThreshold is the send delay above which the client itself is considered a
	// bottleneck.
	lateThreshold = 10 * time.Millisecond
)

// Options of a run.
type Options struct {
	Workload Workload
	Plan     PlanOptions
	// Targets are the addresses ("ip:port") of the entries' listeners for
	// callers, used round-robin.
	Targets []string
	// AllowRemote permits targets that aren't on loopback.
	AllowRemote bool
	// Concurrency limits the requests in flight. At the limit, sends are
	// delayed, and the delay counts towards their latency.
	Concurrency int
	// Grace is the time after a request's deadline until the client cancels it.
	Grace time.Duration
	// MaxAnswer is the maximum size of an answer in bytes.
	MaxAnswer int64
	// Check, if set, validates each whole answer; an error makes its outcome
	// Wrong. It is called concurrently.
	Check func(Request, Answer) error
	// Prefill, if set, reads the pools' counters of prefill work. It is called
	// before and after the run.
	Prefill func(context.Context) (Prefill, error)
	// Progress, if set, receives a status line every ProgressEvery.
	Progress      io.Writer
	ProgressEvery time.Duration
}

// Result describes one completed request.
type Result struct {
	Arrival Arrival
	// Sent is the time from the start of the run to the actual send.
	Sent   time.Duration
	Cost   int
	Answer Answer
}

// TTFT returns the time from the intended send time to the first token, or to
// the answer of a plain call.
func (r Result) TTFT() time.Duration { return r.Answer.First - r.Arrival.At }

// PerToken returns the mean inter-token latency, or 0 if the answer has fewer
// than two tokens.
func (r Result) PerToken() time.Duration {
	if r.Answer.Tokens < 2 {
		return 0
	}
	return (r.Answer.Last - r.Answer.First) / time.Duration(r.Answer.Tokens-1)
}

// ErrRemote means that a target isn't a loopback address and that remote
// targets aren't allowed.
var ErrRemote = eris.New("load: target isn't on loopback; see --allow-remote")

func (o *Options) setDefaultsAndValidate() error {
	setDefault(&o.Concurrency, DefaultConcurrency)
	setDefault(&o.Plan.MaxRequests, DefaultMaxRequests)
	setDefault(&o.Plan.Rate, 1)
	setDefault(&o.Plan.TimeScale, 1)
	setDefault(&o.Grace, defaultGrace)
	setDefault(&o.MaxAnswer, defaultMaxAnswer)
	setDefault(&o.ProgressEvery, defaultProgress)
	switch {
	case len(o.Targets) == 0:
		return eris.New("load: no target")
	case o.Plan.Duration <= 0 || o.Plan.Duration > MaxDuration:
		return eris.Errorf("load: duration %s isn't in 0 to %s", o.Plan.Duration, MaxDuration)
	case o.Plan.MaxRequests < 0 || o.Plan.MaxRequests > maxRequests:
		return eris.Errorf("load: request count %d isn't in 1 to %d", o.Plan.MaxRequests, maxRequests)
	case o.Concurrency < 0 || o.Concurrency > maxConcurrency:
		return eris.Errorf("load: concurrency %d isn't in 1 to %d", o.Concurrency, maxConcurrency)
	case !isValidFactor(o.Plan.Rate):
		return eris.Errorf("load: rate factor %v isn't in %v to %v", o.Plan.Rate, minFactor, float64(maxFactor))
	case !isValidFactor(o.Plan.TimeScale):
		return eris.Errorf("load: time scale %v isn't in %v to %v", o.Plan.TimeScale, minFactor, float64(maxFactor))
	}
	return o.checkTargets()
}

const minFactor = 0.0001

func isValidFactor(f float64) bool { return f >= minFactor && f <= maxFactor }

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) checkTargets() error {
	for _, t := range o.Targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return eris.Wrapf(err, "load: target %q", t)
		}
		if !o.AllowRemote && !a.Addr().Unmap().IsLoopback() {
			return eris.Wrapf(ErrRemote, "target %s", t)
		}
	}
	return nil
}

// run is the state of one run.
type run struct {
	options Options
	shared  SharedTexts
	sender  *sender
	slots   chan struct{}
	wait    sync.WaitGroup

	inFlight atomic.Int64
	mu       sync.Mutex
	results  []Result // under mu
}

// Run sends the load and reports on it. When ctx ends, Run stops sending,
// cancels the requests in flight and reports on the requests sent so far. If
// only the prefill counters can't be read after the run, Run returns both the
// report and the error.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.setDefaultsAndValidate(); err != nil {
		return Report{}, err
	}
	before, err := o.readPrefill(ctx)
	if err != nil {
		return Report{}, err
	}
	arrivals := Plan(o.Workload, o.Plan)
	transport := newTransport(o.Concurrency)
	defer transport.CloseIdleConnections()
	r := &run{
		options: o,
		shared:  NewSharedTexts(o.Workload.SharedPrompt),
		slots:   make(chan struct{}, o.Concurrency),
	}
	r.sender = &sender{client: &http.Client{Transport: transport}, start: time.Now(), maxAnswer: o.MaxAnswer}
	stopProgress := r.progress(len(arrivals))
	r.dispatch(ctx, arrivals)
	r.wait.Wait()
	stopProgress()
	report := summarise(o, r.results)
	// The counters are read after a cancelled run, too.
	after, err := o.readPrefill(context.WithoutCancel(ctx))
	if err == nil {
		report.Prefill = after.since(before)
	}
	return report, err
}

func newTransport(concurrency int) *http.Transport {
	return &http.Transport{
		// A proxy from the environment would add to the measured latency.
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
		DisableCompression:  true,
	}
}

// dispatch starts each request at its intended time. It doesn't wait for
// answers, only for a free slot; that wait counts towards the request's latency.
func (r *run) dispatch(ctx context.Context, arrivals []Arrival) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, a := range arrivals {
		timer.Reset(a.At - r.sender.since())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case <-ctx.Done():
			return
		case r.slots <- struct{}{}:
		}
		target := r.options.Targets[i%len(r.options.Targets)]
		r.inFlight.Add(1)
		r.wait.Go(func() { r.runRequest(ctx, target, a) })
	}
}

func (r *run) runRequest(ctx context.Context, target string, a Arrival) {
	defer func() {
		r.inFlight.Add(-1)
		<-r.slots
	}()
	request := BuildRequest(r.options.Workload, a, r.shared, r.options.Plan.TimeScale)
	ctx, cancel := context.WithTimeout(ctx, request.Deadline+r.options.Grace)
	defer cancel()
	sent := r.sender.since()
	answer := r.sender.send(ctx, target, request)
	if answer.Outcome == Whole && r.options.Check != nil {
		if err := r.options.Check(request, answer); err != nil {
			answer.Outcome, answer.Err = Wrong, err
		}
	}
	answer.Text = "" // No longer needed; in a long run, kept texts would take up much memory.
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, Result{Arrival: a, Sent: sent, Cost: max(1, request.MaxTokens), Answer: answer})
}

// progress writes a status line every ProgressEvery until the returned function
// is called.
func (r *run) progress(planned int) func() {
	if r.options.Progress == nil {
		return func() {}
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	ticker := time.NewTicker(r.options.ProgressEvery)
	go func() {
		defer close(stopped)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.progressLine(planned)
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func (r *run) progressLine(planned int) {
	r.mu.Lock()
	whole, refused, other, good := 0, 0, 0, 0
	for _, res := range r.results {
		switch res.Answer.Outcome {
		case Whole:
			whole++
		case Refused:
			refused++
		default:
			other++
		}
		if r.options.meetsTargets(res) {
			good++
		}
	}
	ended := len(r.results)
	r.mu.Unlock()
	flight := r.inFlight.Load()
	fmt.Fprintf(r.options.Progress, //nolint:errcheck // progress is not the result
		"load: %.0fs of %.0fs, %d of %d sent, %d in flight, %d whole, %d good, %d refused, %d otherwise.\n",
		r.sender.since().Seconds(), r.options.Plan.Duration.Seconds(),
		int64(ended)+flight, planned, flight, whole, good, refused, other)
}
