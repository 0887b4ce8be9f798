package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

func describeFault(r Result) string {
	a := r.Answer
	return fmt.Sprintf("at %.3f s: %s, status %d, code %q, %d tokens: %v",
		r.Arrival.At.Seconds(), a.Outcome, a.Status, a.Code, a.Tokens, a.Err)
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// WriteJSON writes the report as indented JSON.
func (report Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(report), "load: report")
}

// WriteText writes the report as tables.
func (report Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: table}
	p.line("workload %s, seed %d, %.1f s, rate x%g, time scale x%g",
		report.Workload, report.Seed, report.Seconds, report.Rate, report.TimeScale)
	p.line("sent late %d, worst %.1f ms", report.Late, report.MaxLateMs)
	p.line("")
	report.writeOutcomes(p)
	report.writeLatencies(p)
	report.writeOrganisations(p)
	report.writeCounts(p)
	if p.err != nil {
		return eris.Wrap(p.err, "load: report")
	}
	return eris.Wrap(table.Flush(), "load: report")
}

func (report Report) summaries() []Summary { return append([]Summary{report.Total}, report.Classes...) }

func (report Report) writeOutcomes(p *printer) {
	p.line("class\tsent\twhole\tgood\tgoodput/s\tgood %%\trefused\tbroken\tcut\tfailed\ttimed out\twrong\t")
	for _, s := range report.summaries() {
		p.line("%s\t%d\t%d\t%d\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t", s.Name, s.Sent, s.Whole, s.Good, s.Goodput,
			100*s.GoodShare, s.Refused, s.Broken, s.Cut, s.Failed, s.TimedOut, s.Wrong)
	}
	p.line("")
}

func (report Report) writeLatencies(p *printer) {
	p.line("ms\tcount\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	row := func(name, what string, v Percentiles) {
		if v.Count == 0 {
			return
		}
		p.line("%s %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t",
			name, what, v.Count, v.P50, v.P90, v.P95, v.P99, v.P999, v.Max)
	}
	for _, s := range report.summaries() {
		row(s.Name, "ttft", s.TTFT)
		row(s.Name, "per token", s.PerToken)
		row(s.Name, "longest gap", s.MaxGap)
	}
	p.line("")
}

func (report Report) writeOrganisations(p *printer) {
	p.line("organisation\tshare\tdemand tokens\tserved tokens\tof its fair share\t")
	for _, o := range report.Organisations {
		p.line("%s\t%g\t%.0f\t%.0f\t%.3f\t", o.Name, o.Share, o.Demand, o.Served, o.ShareRatio)
	}
	p.line("lowest share ratio %.3f", report.MinShareRatio)
	p.line("")
}

func (report Report) writeCounts(p *printer) {
	p.line("prefill tokens %.0f, wasted %.0f (%.2f%%)",
		report.Prefill.Tokens, report.Prefill.Wasted, 100*report.Prefill.Share)
	for _, a := range report.Attempts {
		p.line("requests with %d attempts: %d", a.Attempts, a.Count)
	}
	for _, r := range report.Refusals {
		p.line("refused %s %s (status %d): %d", r.Verdict, r.Code, r.Status, r.Count)
	}
	for _, f := range report.Faults {
		p.line("fault %s", f)
	}
}
