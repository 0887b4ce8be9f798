package experiment

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	"jayford.example/jayford/internal/wait"
)

// Options of a run.
type Options struct {
	Deployment Deployment
	Policy     settings.Policy
	// Load is the offered load as a multiple of Deployment.Capacity. The rate of
	// plain calls isn't changed.
	Load float64
	Seed uint64
	// Duration is the length of the sending period. It isn't scaled.
	Duration time.Duration
	// KillEvery is the interval at which a random engine is crashed; it is scaled.
	// 0 means never.
	KillEvery time.Duration
	Progress  io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Variant string  `json:"variant"`
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Prefill int     `json:"prefillServers"`
	Decode  int     `json:"decodeServers"`
	// Bound is the share of the offered completions that the pools could serve if
	// they worked until the longest TTFT target after the sending period;
	// SteadyBound counts only the sending period.
	Bound       float64 `json:"bound"`
	SteadyBound float64 `json:"steadyBound"`
	// GoodShare is the share of the offered completions that met both targets.
	GoodShare float64 `json:"goodShare"`
	// OfBound is GoodShare divided by Bound.
	OfBound       float64 `json:"ofBound"`
	Waste         Waste   `json:"waste"`
	Use           Use     `json:"use"`
	MinShareRatio float64 `json:"minShareRatio"`
	// Attempts is the mean over the answers that carried the number.
	Attempts float64 `json:"attempts"`
	Kills    int     `json:"kills"`
	// Cores is the processor time of the whole process divided by the run's
	// elapsed time; LoadAverage is the machine's load average at the end.
	Cores       float64     `json:"cores"`
	LoadAverage string      `json:"loadAverage"`
	Report      load.Report `json:"report"`
}

// Run measures one policy with one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	d := o.Deployment
	d.Workload = d.scaledTo(o.Load * d.Capacity())
	policy := o.Policy
	policy.TTFTTarget = settings.Duration(float64(policy.TTFTTarget) * d.TimeScale)
	c, err := startCluster(ctx, d, policy)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	plan := load.PlanOptions{
		Seed: o.Seed, Duration: o.Duration, Rate: 1, TimeScale: d.TimeScale, MaxRequests: load.DefaultMaxRequests,
	}
	begun, used := time.Now(), cpuTime()
	use := make(chan Use, 1)
	go func() { use <- c.sample(ctx, o.Duration) }()
	kills := c.killEngines(ctx, o.scaled(o.KillEvery), o.Seed)
	report, err := load.Run(ctx, load.Options{
		Workload: d.Workload, Plan: plan, Targets: c.targets, Progress: o.Progress,
		// All entries share the metrics of this process, so one is scraped.
		Prefill: load.ScrapePrefill(c.operators[:1]),
	})
	killed := kills()
	if err == nil {
		err = c.err()
	}
	if err != nil {
		return Result{}, err
	}
	r := Result{
		Load: o.Load, Seed: o.Seed, Prefill: d.Prefill, Decode: d.Decode, Report: report, Kills: killed,
		Use:           <-use,
		MinShareRatio: report.MinShareRatio, Attempts: meanAttempts(report), Waste: waste(c.engines),
		Cores:       (cpuTime() - used).Seconds() / time.Since(begun).Seconds(),
		LoadAverage: LoadAverage(),
	}
	arrivals := load.Plan(d.Workload, plan)
	r.SteadyBound = d.Bound(arrivals, o.Duration)
	r.Bound = d.Bound(arrivals, o.Duration+o.scaled(d.longestTarget()))
	r.GoodShare = goodShare(d.Workload, report)
	r.OfBound = r.GoodShare / r.Bound
	return r, nil
}

func (o Options) scaled(t time.Duration) time.Duration {
	return time.Duration(float64(t) * o.Deployment.TimeScale)
}

// scaledTo returns the workload with the rates of completions multiplied by factor.
func (d Deployment) scaledTo(factor float64) load.Workload {
	w := d.Workload
	w.Classes = append([]load.Class(nil), w.Classes...)
	for i := range w.Classes {
		if w.Classes[i].Kind == load.KindCompletion {
			w.Classes[i].Rate *= factor
		}
	}
	return w
}

func (d Deployment) longestTarget() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Workload.Classes {
		if c.Kind == load.KindCompletion {
			longest = max(longest, c.Targets.TTFT.D())
		}
	}
	return longest
}

func goodShare(w load.Workload, r load.Report) float64 {
	good, sent := 0, 0
	for i, c := range w.Classes {
		if c.Kind == load.KindCompletion {
			good += r.Classes[i].Good
			sent += r.Classes[i].Sent
		}
	}
	return float64(good) / float64(max(sent, 1))
}

func meanAttempts(r load.Report) float64 {
	sum, n := 0, 0
	for _, a := range r.Attempts {
		if a.Attempts > 0 {
			sum += a.Attempts * a.Count
			n += a.Count
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// killEngines crashes a random engine, chosen by seed, at each interval until the
// returned function is called, which returns the number of crashes.
func (c *cluster) killEngines(ctx context.Context, every time.Duration, seed uint64) func() int {
	if every <= 0 {
		return func() int { return 0 }
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan int)
	go func() {
		rnd := rand.New(rand.NewPCG(seed, seed))
		n := 0
		for ; wait.Sleep(ctx, every); n++ {
			c.engines[rnd.IntN(len(c.engines))].Control(enginestandin.Control{Crash: true})
		}
		done <- n
	}()
	return func() int {
		cancel()
		return <-done
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LoadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

func wordsOf(prompt string) int { return len(strings.Fields(prompt)) }
