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
	// lateStart is the lateness of a send from which the client itself counts
	// as a bottleneck.
	lateStart = 10 * time.Millisecond
)

// Options of a run.
type Options struct {
	Workload Workload
	Plan     PlanOptions
	// Targets are "ip:port" of the entries' listeners for callers, used in turn.
	Targets []string
	// AllowRemote permits targets that aren't on loopback.
	AllowRemote bool
	// Concurrency bounds the requests in flight. At the bound, sends wait and
	// their wait counts.
	Concurrency int
	// Grace is how long after its deadline a request is given up.
	Grace time.Duration
	// MaxAnswer bounds one answer in bytes.
	MaxAnswer int64
	// Check judges a whole answer, if set; an error makes it Wrong. It is
	// called concurrently.
	Check func(Sent, Answer) error
	// Prefill reads the pools' counts of prefill work, if set. It is called
	// before and after the run.
	Prefill func(context.Context) (Prefill, error)
	// Progress gets a line each ProgressEvery, if set.
	Progress      io.Writer
	ProgressEvery time.Duration
}

// Result is the end of one request.
type Result struct {
	Arrival Arrival
	// Sent is the time at which the request left, after the run's start.
	Sent   time.Duration
	Cost   int
	Answer Answer
}

// TTFT is the time to the first token, or to a plain call's answer, from the
// intended send time.
func (r Result) TTFT() time.Duration { return r.Answer.First - r.Arrival.At }

// PerToken is the mean time between tokens; 0 for an answer of one token.
func (r Result) PerToken() time.Duration {
	if r.Answer.Tokens < 2 {
		return 0
	}
	return (r.Answer.Last - r.Answer.First) / time.Duration(r.Answer.Tokens-1)
}

// ErrRemote means that a target isn't on loopback and that remote targets
// aren't allowed.
var ErrRemote = eris.New("load: target isn't on loopback; see --allow-remote")

func (o *Options) complete() error {
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
	case !inside(o.Plan.Rate):
		return eris.Errorf("load: rate factor %v isn't in %v to %v", o.Plan.Rate, minFactor, float64(maxFactor))
	case !inside(o.Plan.TimeScale):
		return eris.Errorf("load: time scale %v isn't in %v to %v", o.Plan.TimeScale, minFactor, float64(maxFactor))
	}
	return o.checkTargets()
}

const minFactor = 0.0001

func inside(f float64) bool { return f >= minFactor && f <= maxFactor }

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

// Run sends the load and reports on it. If ctx ends, sending stops, requests
// in flight are cancelled, and the report covers what was sent. If only the
// counts of prefill work fail after the run, the report comes with the error.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.complete(); err != nil {
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
	// The counts are read also after a cancelled run.
	after, err := o.readPrefill(context.WithoutCancel(ctx))
	if err == nil {
		report.Prefill = after.since(before)
	}
	return report, err
}

func newTransport(concurrency int) *http.Transport {
	return &http.Transport{
		// No proxy from the environment: it would stand in the measured path.
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
		DisableCompression:  true,
	}
}

// dispatch starts each request at its time. It never waits for answers, but
// for a free slot, and the time of that counts against the request.
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
		r.wait.Go(func() { r.one(ctx, target, a) })
	}
}

func (r *run) one(ctx context.Context, target string, a Arrival) {
	defer func() {
		r.inFlight.Add(-1)
		<-r.slots
	}()
	content := Content(r.options.Workload, a, r.shared, r.options.Plan.TimeScale)
	ctx, cancel := context.WithTimeout(ctx, content.Deadline+r.options.Grace)
	defer cancel()
	sent := r.sender.since()
	answer := r.sender.send(ctx, target, content)
	if answer.Outcome == Whole && r.options.Check != nil {
		if err := r.options.Check(content, answer); err != nil {
			answer.Outcome, answer.Err = Wrong, err
		}
	}
	answer.Text = "" // Checked; kept texts would add up over a long run.
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, Result{Arrival: a, Sent: sent, Cost: max(1, content.MaxTokens), Answer: answer})
}

// progress writes a line now and then until the returned function is called.
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
		if r.options.good(res) {
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
