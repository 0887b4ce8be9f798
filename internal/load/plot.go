package load

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 7 * vg.Inch
)

// WriteSVG plots the run over time: the rates of sent, good and refused requests
// at the top, the 95th percentile of the time to first token below.
func (report Report) WriteSVG(w io.Writer) error {
	rates, err := report.ratePlot()
	if err != nil {
		return eris.Wrap(err, "load: plot")
	}
	latencies, err := report.latencyPlot()
	if err != nil {
		return eris.Wrap(err, "load: plot")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4}
	plots := [][]*plot.Plot{{rates}, {latencies}}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err = canvas.WriteTo(w)
	return eris.Wrap(err, "load: plot")
}

func (report Report) ratePlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d, rate x%g, time scale x%g",
		report.Workload, report.Seed, report.Rate, report.TimeScale)
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	width := report.intervalSeconds()
	err := plotutil.AddLines(p,
		"sent", report.points(func(i Interval) float64 { return float64(i.Sent) / width }),
		"good", report.points(func(i Interval) float64 { return float64(i.Good) / width }),
		"refused", report.points(func(i Interval) float64 { return float64(i.Refused) / width }))
	return p, err
}

func (report Report) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	err := plotutil.AddLines(p, "time to first token, p95",
		report.points(func(i Interval) float64 { return i.TTFTMs }))
	return p, err
}

// intervalSeconds returns the length of one interval in seconds.
func (report Report) intervalSeconds() float64 {
	if len(report.Timeline) < 2 {
		return report.Seconds
	}
	return report.Timeline[1].Second
}

func (report Report) points(value func(Interval) float64) plotter.XYs {
	list := make(plotter.XYs, len(report.Timeline))
	for i, t := range report.Timeline {
		list[i].X, list[i].Y = t.Second, value(t)
	}
	return list
}
