package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Spread is the mean, minimum and maximum of a list of values.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spread(list []float64) Spread {
	if len(list) == 0 {
		return Spread{}
	}
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range list {
		s.Mean += v / float64(len(list))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

// String formats the spread as "mean (min to max)".
func (s Spread) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Mean, s.Min, s.Max) }

// Row summarises the runs of one variant at one load over all seeds.
type Row struct {
	Variant string  `json:"variant"`
	Load    float64 `json:"load"`
	Seeds   int     `json:"seeds"`
	Bound   Spread  `json:"bound"`
	Good    Spread  `json:"good"`
	OfBound Spread  `json:"ofBound"`
	Waste   Spread  `json:"waste"`
	// Cached is the share of all prompt tokens served from the prefix cache.
	Cached Spread `json:"cached"`
	// Ratio is the goodput divided by that of the first variant with the same
	// seed.
	Ratio    Spread `json:"ratio"`
	Fairness Spread `json:"fairness"`
	Attempts Spread `json:"attempts"`
	TTFTMs   Spread `json:"ttftP95Ms"`
	TokenMs  Spread `json:"tokenP95Ms"`
	Refused  Spread `json:"refused"`
	Cores    Spread `json:"cores"`
}

// Summarise groups the results by variant and load, in order of appearance.
func Summarise(results []Result) []Row {
	type key struct {
		variant string
		load    float64
	}
	var order []key
	groups := map[key][]Result{}
	for _, r := range results {
		k := key{r.Variant, r.Load}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	rows := make([]Row, 0, len(order))
	for _, k := range order {
		of := func(f func(Result) float64) Spread {
			var list []float64
			for _, r := range groups[k] {
				list = append(list, f(r))
			}
			return spread(list)
		}
		first := groups[key{order[0].variant, k.load}]
		rows = append(rows, Row{
			Variant: k.variant, Load: k.load, Seeds: len(groups[k]),
			Bound:    of(func(r Result) float64 { return r.Bound }),
			Good:     of(func(r Result) float64 { return r.GoodShare }),
			OfBound:  of(func(r Result) float64 { return r.OfBound }),
			Waste:    of(func(r Result) float64 { return r.Waste.Share }),
			Cached:   of(func(r Result) float64 { return r.Waste.CachedShare }),
			Ratio:    of(func(r Result) float64 { return ratio(r, first) }),
			Fairness: of(func(r Result) float64 { return r.MinShareRatio }),
			Attempts: of(func(r Result) float64 { return r.Attempts }),
			TTFTMs:   of(func(r Result) float64 { return r.Report.Total.TTFT.P95 }),
			TokenMs:  of(func(r Result) float64 { return r.Report.Total.PerToken.P95 }),
			Refused: of(func(r Result) float64 {
				return float64(r.Report.Total.Refused) / float64(max(r.Report.Total.Sent, 1))
			}),
			Cores: of(func(r Result) float64 { return r.Cores }),
		})
	}
	return rows
}

// ratio returns r's goodput divided by that of the result with the same seed in
// first, or 0 if there is none.
func ratio(r Result, first []Result) float64 {
	for _, f := range first {
		if f.Seed == r.Seed && f.GoodShare > 0 {
			return r.GoodShare / f.GoodShare
		}
	}
	return 0
}

// WriteText writes the rows as a table.
func WriteText(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tvariant\tseeds\tgood share\tof bound\tratio\twasted\tcached\tleast share\tattempts\tTTFT p95 ms\ttoken p95 ms\trefused\tcores") //nolint:errcheck // Flush returns the error
	for _, r := range rows {
		fmt.Fprintf(t, "%g\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.0f\t%.1f\t%.3f\t%.1f\n", //nolint:errcheck // Flush returns the error
			r.Load, r.Variant, r.Seeds, r.Good, r.OfBound, r.Ratio, r.Waste, r.Cached, r.Fairness,
			r.Attempts.Mean, r.TTFTMs.Mean, r.TokenMs.Mean, r.Refused.Mean, r.Cores.Mean)
	}
	return eris.Wrap(t.Flush(), "experiment: table")
}

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws goodput against wasted prefill, with a point for each run and a
// colour for each variant and load. The extension of file selects the format.
func Plot(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "wasted share of prefill"
	p.Y.Label.Text = "goodput, share of the offered completions"
	p.Legend.Top = true
	var series []any
	for _, row := range Summarise(results) {
		var points plotter.XYs
		for _, r := range results {
			if r.Variant == row.Variant && r.Load == row.Load {
				points = append(points, plotter.XY{X: r.Waste.Share, Y: r.GoodShare})
			}
		}
		series = append(series, fmt.Sprintf("%s, load %g", row.Variant, row.Load), points)
	}
	if err := plotutil.AddScatters(p, series...); err != nil {
		return eris.Wrap(err, "experiment: plot")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "experiment: plot")
}
