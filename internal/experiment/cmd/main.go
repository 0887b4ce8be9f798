// Command cmd runs experiments on the policy, from the workspace's root:
//
//	go run ./internal/experiment/cmd --workload examples/kavango.workload.json \
//	    --load 1.3 --variant least-loaded --variant policy --seeds 5
//
// For each seed, all variants run one after the other, so that other load on the
// machine affects them equally.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/experiment"
	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/settings"
)

type options struct {
	Workload  string        `long:"workload" value-name:"FILE" description:"workload file"`
	Overhead  int           `long:"overhead" value-name:"RATE" description:"instead measure the entries' overhead at so many calls a second"`
	Variants  []string      `long:"variant" default:"policy" value-name:"PLACEMENT[:RESERVE[:WEIGHT]]" description:"policy to measure; may be repeated, ratios are against the first"`
	Loads     []float64     `long:"load" default:"1" description:"offered load as a multiple of capacity; may be repeated"`
	Seeds     int           `long:"seeds" default:"5" description:"number of seeds"`
	FirstSeed uint64        `long:"first-seed" default:"1" description:"first seed"`
	Duration  time.Duration `long:"duration" default:"15s" description:"time in which requests are sent"`
	TimeScale float64       `long:"time-scale" default:"0.25" description:"factor on all times of workload and engines"`
	Grain     int           `long:"grain" default:"4" description:"tokens that one stand-in token stands for"`
	Entries   int           `long:"entries" default:"3" description:"number of entries"`
	KillEvery time.Duration `long:"kill-every" description:"crash an engine so often, before scaling"`
	Results   []string      `long:"results" value-name:"FILE" description:"instead of running, join the results that --json wrote; may be repeated"`
	JSON      string        `long:"json" value-name:"FILE" description:"write all results there"`
	SVG       string        `long:"svg" value-name:"FILE" description:"write a plot there"`
	CPU       string        `long:"cpu-profile" value-name:"FILE" description:"write a processor profile there"`
	Title     string        `long:"title" description:"title of the plot"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	if o.Grain < 1 || o.TimeScale <= 0 || o.Seeds < 1 || o.Entries < 1 {
		return eris.New("--grain, --time-scale, --seeds and --entries must be greater than 0")
	}
	if o.Overhead > 0 {
		return overhead(ctx, o)
	}
	if len(o.Results) > 0 {
		results, err := read(o.Results)
		if err != nil {
			return err
		}
		return write(o, results)
	}
	w, err := load.ReadWorkload(o.Workload)
	if err != nil {
		return err
	}
	policies := make([]settings.Policy, len(o.Variants))
	for i, v := range o.Variants {
		if policies[i], err = experiment.ParseVariant(v); err != nil {
			return err
		}
	}
	d := experiment.NewDeployment(w, o.Grain, o.TimeScale)
	d.Entries = o.Entries
	fmt.Printf("%s: %d prefill and %d decode servers, capacity %.2f times the workload, time scale %g, grain %d.\n",
		w.Name, d.Prefill, d.Decode, d.Capacity(), o.TimeScale, o.Grain)
	if o.CPU != "" {
		f, err := os.Create(o.CPU)
		if err != nil {
			return eris.Wrap(err, "profile")
		}
		defer f.Close() //nolint:errcheck // a truncated profile is detected when it is read
		if err := pprof.StartCPUProfile(f); err != nil {
			return eris.Wrap(err, "profile")
		}
		defer pprof.StopCPUProfile()
	}
	results, err := runAll(ctx, o, d, policies)
	if err != nil {
		return err
	}
	return write(o, results)
}

func runAll(ctx context.Context, o options, d experiment.Deployment, policies []settings.Policy) ([]experiment.Result, error) {
	var results []experiment.Result
	for _, factor := range o.Loads {
		for s := range o.Seeds {
			for i, p := range policies {
				r, err := experiment.Run(ctx, experiment.Options{
					Deployment: d, Policy: p, Load: factor, Seed: o.FirstSeed + uint64(s),
					Duration: o.Duration, KillEvery: o.KillEvery,
				})
				if err != nil {
					return nil, err
				}
				r.Variant = o.Variants[i]
				results = append(results, r)
				fmt.Printf("load %g seed %d %s: good %.3f bound %.3f (steady %.3f) wasted %.4f cached %.3f TTFT p95 %.0f ms decode %.2f (%.2f to %.2f) reserved %.2f prefill %.2f least share %.2f cores %.1f load average %s\n",
					factor, r.Seed, r.Variant, r.GoodShare, r.Bound, r.SteadyBound, r.Waste.Share, r.Waste.CachedShare, r.Report.Total.TTFT.P95,
					r.Use.Decode, r.Use.LeastDecode, r.Use.MostDecode, r.Use.Reserved, r.Use.Prefill, r.MinShareRatio, r.Cores, r.LoadAverage)
			}
		}
	}
	return results, nil
}

// saved is the content of the file that --json writes.
type saved struct {
	Rows    []experiment.Row    `json:"rows"`
	Results []experiment.Result `json:"results"`
}

func read(files []string) ([]experiment.Result, error) {
	var all []experiment.Result
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, eris.Wrap(err, "results")
		}
		var one saved
		if err := json.Unmarshal(text, &one); err != nil {
			return nil, eris.Wrapf(err, "results: %s", f)
		}
		all = append(all, one.Results...)
	}
	return all, nil
}

func write(o options, results []experiment.Result) error {
	rows := experiment.Summarise(results)
	if err := experiment.WriteText(os.Stdout, rows); err != nil {
		return err
	}
	if o.SVG != "" {
		if err := experiment.Plot(o.SVG, o.Title, results); err != nil {
			return err
		}
	}
	if o.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(saved{rows, results}, "", " ")
	if err != nil {
		return eris.Wrap(err, "json")
	}
	return eris.Wrap(os.WriteFile(o.JSON, append(text, '\n'), 0o600), "json")
}

// overhead prints the entries' overhead for plain calls and for completions.
func overhead(ctx context.Context, o options) error {
	for _, kind := range []struct {
		name       string
		completion bool
	}{{"plain call", false}, {"completion", true}} {
		for range o.Seeds {
			r, err := experiment.MeasureOverhead(ctx, o.Overhead, o.Duration, kind.completion)
			if err != nil {
				return err
			}
			fmt.Printf("%s: direct p50 %.2f p99 %.2f ms, by an entry p50 %.2f p99 %.2f ms, more by %.2f and %.2f ms, load average %s\n",
				kind.name, r.Direct.P50, r.Direct.P99, r.Entry.P50, r.Entry.P99, r.Median, r.P99, experiment.LoadAverage())
		}
	}
	return nil
}
