package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Times are milliseconds.
type Report struct {
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Seconds is the length of the sending period.
	Seconds   float64 `json:"seconds"`
	Rate      float64 `json:"rate"`
	TimeScale float64 `json:"timeScale"`
	// Late counts requests sent over 10 ms after their intended time, and
	// MaxLateMs is the longest such delay. High values mean that the client was
	// the bottleneck.
	Late          int                  `json:"late"`
	MaxLateMs     float64              `json:"maxLateMs"`
	Total         Summary              `json:"total"`
	Classes       []Summary            `json:"classes"`
	Organisations []OrganisationReport `json:"organisations"`
	// MinShareRatio is the lowest ShareRatio of all organisations.
	MinShareRatio float64        `json:"minShareRatio"`
	Refusals      []RefusalCount `json:"refusals"`
	Attempts      []AttemptCount `json:"attempts"`
	Prefill       Prefill        `json:"prefill"`
	Timeline      []Interval     `json:"timeline"`
	// Faults are up to ten examples of answers that were neither whole nor
	// refused.
	Faults []string `json:"faults,omitempty"`
}

// Summary counts requests and gives their latencies.
type Summary struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Whole counts whole answers; Good counts those that met all targets.
	Whole    int `json:"whole"`
	Good     int `json:"good"`
	Refused  int `json:"refused"`
	Broken   int `json:"broken"`
	Cut      int `json:"cut"`
	Failed   int `json:"failed"`
	TimedOut int `json:"timedOut"`
	Wrong    int `json:"wrong"`
	// Goodput is Good per second; GoodShare is Good divided by Sent.
	Goodput   float64 `json:"goodput"`
	GoodShare float64 `json:"goodShare"`
	// TTFT covers whole answers and counts from the intended send time.
	TTFT Percentiles `json:"ttft"`
	// PerToken is the mean inter-token latency of each whole completion.
	PerToken Percentiles `json:"perToken"`
	// MaxGap is the longest time between two parts of each whole completion.
	MaxGap Percentiles `json:"maxGap"`
}

// Percentiles of a latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// OrganisationReport is the service that one organisation received, measured in
// the max_tokens of its completions.
type OrganisationReport struct {
	Name   string  `json:"name"`
	Share  float64 `json:"share"`
	Demand float64 `json:"demand"`
	Served float64 `json:"served"`
	// ShareRatio is Served divided by the organisation's entitlement: its part
	// of all served tokens under max-min fairness weighted by Share. It counts
	// whole answers.
	ShareRatio float64 `json:"shareRatio"`
}

// RefusalCount counts errors with the same verdict, code and status.
type RefusalCount struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
}

// AttemptCount counts the requests that took Attempts attempts; 0 means that the
// answer didn't carry the number.
type AttemptCount struct {
	Attempts int `json:"attempts"`
	Count    int `json:"count"`
}

// Interval counts the requests whose intended send time lies in one interval of
// the run.
type Interval struct {
	// Second is the interval's start.
	Second  float64 `json:"second"`
	Sent    int     `json:"sent"`
	Good    int     `json:"good"`
	Refused int     `json:"refused"`
	// TTFTMs is the 95th percentile of the TTFT of whole answers.
	TTFTMs float64 `json:"ttftMs"`
}

const (
	maxFaults = 10
	intervals = 60
	// Histograms record microseconds with three significant digits, up to a day.
	maxMicroseconds = 24 * 3600 * 1_000_000
	digits          = 3
)

// meetsTargets reports whether a result is a whole answer that met all targets of
// its class.
func (o *Options) meetsTargets(r Result) bool {
	if r.Answer.Outcome != Whole {
		return false
	}
	c := o.Workload.Classes[r.Arrival.Class]
	if r.TTFT() > scale(c.Targets.TTFT.D(), o.Plan.TimeScale) {
		return false
	}
	return c.Kind == KindCall || r.PerToken() <= scale(c.Targets.PerToken.D(), o.Plan.TimeScale)
}

func summarise(o Options, results []Result) Report {
	slices.SortFunc(results, func(a, b Result) int { return cmp.Compare(a.Arrival.At, b.Arrival.At) })
	report := Report{
		Workload: o.Workload.Name, Seed: o.Plan.Seed, Seconds: o.Plan.Duration.Seconds(),
		Rate: o.Plan.Rate, TimeScale: o.Plan.TimeScale,
	}
	report.Total = o.summary("all", results, func(Result) bool { return true })
	for i, c := range o.Workload.Classes {
		s := o.summary(c.Name, results, func(r Result) bool { return r.Arrival.Class == i })
		report.Classes = append(report.Classes, s)
	}
	report.lateness(results)
	report.refusals(results)
	report.attempts(results)
	report.fairness(o, results)
	report.timeline(o, results)
	return report
}

func (o *Options) summary(name string, results []Result, take func(Result) bool) Summary {
	s := Summary{Name: name}
	ttft, perToken, gap := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		if !take(r) {
			continue
		}
		s.count(r.Answer.Outcome)
		if o.meetsTargets(r) {
			s.Good++
		}
		if r.Answer.Outcome != Whole {
			continue
		}
		record(ttft, r.TTFT())
		if r.Answer.Tokens > 1 {
			record(perToken, r.PerToken())
			record(gap, r.Answer.MaxGap)
		}
	}
	s.TTFT, s.PerToken, s.MaxGap = percentiles(ttft), percentiles(perToken), percentiles(gap)
	s.Goodput = float64(s.Good) / o.Plan.Duration.Seconds()
	if s.Sent > 0 {
		s.GoodShare = float64(s.Good) / float64(s.Sent)
	}
	return s
}

func (s *Summary) count(o Outcome) {
	s.Sent++
	switch o {
	case Whole:
		s.Whole++
	case Refused:
		s.Refused++
	case Broken:
		s.Broken++
	case Cut:
		s.Cut++
	case TimedOut:
		s.TimedOut++
	case Wrong:
		s.Wrong++
	default:
		s.Failed++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / 1000,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (report *Report) lateness(results []Result) {
	worst := time.Duration(0)
	for _, r := range results {
		late := r.Sent - r.Arrival.At
		worst = max(worst, late)
		if late > lateThreshold {
			report.Late++
		}
	}
	report.MaxLateMs = milliseconds(worst)
}

func (report *Report) refusals(results []Result) {
	counts := map[RefusalCount]int{}
	for _, r := range results {
		a := r.Answer
		if a.Outcome == Whole {
			continue
		}
		if a.Outcome != Refused && len(report.Faults) < maxFaults {
			report.Faults = append(report.Faults, describeFault(r))
		}
		if a.Verdict != "" || a.Code != "" {
			counts[RefusalCount{Verdict: a.Verdict, Code: a.Code, Status: a.Status}]++
		}
	}
	for kind, n := range counts {
		kind.Count = n
		report.Refusals = append(report.Refusals, kind)
	}
	slices.SortFunc(report.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict), a.Status-b.Status)
	})
}

func (report *Report) attempts(results []Result) {
	counts := map[int]int{}
	for _, r := range results {
		counts[r.Answer.Attempts]++
	}
	for attempts, n := range counts {
		report.Attempts = append(report.Attempts, AttemptCount{attempts, n})
	}
	slices.SortFunc(report.Attempts, func(a, b AttemptCount) int { return a.Attempts - b.Attempts })
}

func (report *Report) fairness(o Options, results []Result) {
	list := make([]OrganisationReport, len(o.Workload.Organisations))
	for i, org := range o.Workload.Organisations {
		list[i] = OrganisationReport{Name: org.Name, Share: org.Share}
	}
	for _, r := range results {
		if o.Workload.Classes[r.Arrival.Class].Kind != KindCompletion {
			continue
		}
		org := &list[r.Arrival.Organisation]
		org.Demand += float64(r.Cost)
		if r.Answer.Outcome == Whole {
			org.Served += float64(r.Cost)
		}
	}
	report.Organisations = list
	report.MinShareRatio = shareRatios(list)
}

// shareRatios sets each ShareRatio and returns the lowest. An organisation
// without demand has the ratio 1.
func shareRatios(list []OrganisationReport) float64 {
	entitled := maxMin(list)
	lowest := 1.0
	for i := range list {
		list[i].ShareRatio = 1
		if entitled[i] > 0 {
			list[i].ShareRatio = list[i].Served / entitled[i]
		}
		lowest = min(lowest, list[i].ShareRatio)
	}
	return lowest
}

// maxMin returns each organisation's entitlement to the total of served tokens
// under max-min fairness: tokens are divided by share, no organisation gets more
// than its demand, and the remainder is divided among the others.
func maxMin(list []OrganisationReport) []float64 {
	remaining := 0.0
	for _, o := range list {
		remaining += o.Served
	}
	entitled := make([]float64, len(list))
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	// Organisations with the lowest demand relative to their share come first.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(list[a].Demand/list[a].Share, list[b].Demand/list[b].Share)
	})
	shares := 0.0
	for _, o := range list {
		shares += o.Share
	}
	for _, i := range order {
		part := remaining * list[i].Share / shares
		entitled[i] = min(part, list[i].Demand)
		remaining -= entitled[i]
		shares -= list[i].Share
	}
	return entitled
}

func (report *Report) timeline(o Options, results []Result) {
	width := max(o.Plan.Duration/intervals, time.Millisecond)
	n := int(math.Ceil(float64(o.Plan.Duration) / float64(width)))
	list := make([]Interval, n)
	histograms := make([]*hdrhistogram.Histogram, n)
	for i := range list {
		list[i].Second = (time.Duration(i) * width).Seconds()
		histograms[i] = newHistogram()
	}
	for _, r := range results {
		i := min(int(r.Arrival.At/width), n-1)
		list[i].Sent++
		switch r.Answer.Outcome {
		case Whole:
			record(histograms[i], r.TTFT())
		case Refused:
			list[i].Refused++
		}
		if o.meetsTargets(r) {
			list[i].Good++
		}
	}
	for i := range list {
		list[i].TTFTMs = percentiles(histograms[i]).P95
	}
	report.Timeline = list
}
