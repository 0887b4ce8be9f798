// Package load sends open-loop load to entries and reports the results from the
// callers' side: goodput, time to first token, inter-token latency, refusals,
// attempts, fairness between organisations and wasted prefill.
//
// Send times are drawn from a seed before the run and don't depend on how fast
// answers arrive. All latencies count from the intended send time, so a stall
// shows in every request that it delays (no coordinated omission).
package load

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/strictjson"
)

// WorkloadFormat is the format version of workload files.
const WorkloadFormat = 1

// Kinds of request class.
const (
	KindCompletion = "completion"
	KindCall       = "call"
)

// Priorities of a request.
const (
	Interactive = "interactive"
	Batch       = "batch"
)

// Workload is the content of a workload file.
type Workload struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Fleet is the size of the deployment that the rates are meant for.
	Fleet         Fleet          `json:"fleet"`
	SharedPrompt  SharedPrompt   `json:"sharedPrompt"`
	Organisations []Organisation `json:"organisations"`
	Classes       []Class        `json:"classes"`
}

// Fleet is the number of backend servers and their availability zones.
type Fleet struct {
	ModelServers      int      `json:"modelServers"`
	Services          int      `json:"services"`
	AvailabilityZones []string `json:"availabilityZones"`
}

// SharedPrompt describes the prefixes shared by the prompts of a class.
type SharedPrompt struct {
	Words int `json:"words"`
	// Seed of the prefixes. It is separate from the run's seed, so that all runs
	// use the same prefixes.
	Seed uint64 `json:"seed"`
	// Count is the number of prefixes; each prompt begins with one of them. 0
	// means 1.
	Count int `json:"count,omitempty"`
	// Zipf is the exponent of the Zipf distribution of prefixes: the k-th occurs
	// k^Zipf times less often than the first. 0 means a uniform distribution.
	Zipf float64 `json:"zipf,omitempty"`
}

// Organisation sends requests.
type Organisation struct {
	Name string `json:"name"`
	// Share is its weight in the configured fair shares.
	Share float64 `json:"share"`
	// Demand is its weight in the requests sent.
	Demand float64 `json:"demand"`
}

// Class is one kind of request.
type Class struct {
	Name string `json:"name"`
	// Kind is KindCompletion or KindCall.
	Kind string `json:"kind"`
	// Rate is the mean number of requests per second before Swing is applied.
	Rate  float64 `json:"rate"`
	Burst *Burst  `json:"burst,omitempty"`
	Swing *Swing  `json:"swing,omitempty"`
	// Organisations lists the organisations that send this class; all if empty.
	Organisations []string          `json:"organisations,omitempty"`
	Priority      string            `json:"priority"`
	Deadline      settings.Duration `json:"deadline"`
	Targets       Targets           `json:"targets"`

	// Model, SharedPrompt, PromptWords and MaxTokens are for completions.
	Model        string `json:"model,omitempty"`
	SharedPrompt bool   `json:"sharedPrompt,omitempty"`
	PromptWords  Span   `json:"promptWords"`
	MaxTokens    Span   `json:"maxTokens"`

	// Path of a plain GET; "{n}" is replaced by a number below Items.
	Path  string `json:"path,omitempty"`
	Items int    `json:"items,omitempty"`
}

// Burst groups requests into batches, each from one organisation.
type Burst struct {
	Size int `json:"size"`
	// Spread is the time over which one batch is sent.
	Spread settings.Duration `json:"spread"`
}

// Swing varies the rate as a cosine between Low and High times its mean, such as
// from a quiet summer to a deadline and back. Period is the length of one cycle.
type Swing struct {
	Low    float64           `json:"low"`
	High   float64           `json:"high"`
	Period settings.Duration `json:"period"`
	// Phase from 0 to 1 shifts the start; 0 begins at Low, 0.5 at High.
	Phase float64 `json:"phase,omitempty"`
}

// Targets are the latency targets for goodput. A plain call has only TTFT, the
// limit for its whole answer.
type Targets struct {
	TTFT settings.Duration `json:"ttft"`
	// PerToken limits the mean inter-token latency of an answer.
	PerToken settings.Duration `json:"perToken"`
}

// Span is an inclusive range of integers.
type Span struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Limits of workload files.
const (
	maxRate     = 100_000
	maxBurst    = 100_000
	maxWords    = 200_000
	maxTokens   = 100_000
	maxItems    = 1 << 30
	maxFactor   = 1000
	maxServers  = 100_000
	maxShared   = 10_000
	maxZipf     = 10
	maxPeriod   = 24 * time.Hour
	minPeriod   = 10 * time.Millisecond
	minTarget   = 100 * time.Microsecond
	maxFileSize = 1 << 20
)

// ReadWorkload reads and validates a workload file. For an invalid file it
// returns all problems as strictjson.Problems.
func ReadWorkload(path string) (Workload, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "workload")
	}
	if info.Size() > maxFileSize {
		return Workload{}, strictjson.Problems{{File: path, Line: 1, Key: "file", Expected: "expected at most 1 MB"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "workload")
	}
	return ParseWorkload(path, text)
}

// ParseWorkload parses and validates text like ReadWorkload; problems refer to it
// as file.
func ParseWorkload(file string, text []byte) (Workload, error) {
	var w Workload
	d := strictjson.Parse(file, text, &w)
	checkWorkload(d, w)
	if err := d.Err(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

func checkWorkload(d *strictjson.Document, w Workload) {
	strictjson.Range(d, "format", w.Format, WorkloadFormat, WorkloadFormat)
	d.ID("name", w.Name)
	strictjson.Range(d, "fleet.modelServers", w.Fleet.ModelServers, 0, maxServers)
	strictjson.Range(d, "fleet.services", w.Fleet.Services, 0, maxServers)
	strictjson.Range(d, "sharedPrompt.words", w.SharedPrompt.Words, 0, maxWords)
	strictjson.Range(d, "sharedPrompt.count", w.SharedPrompt.Count, 0, maxShared)
	strictjson.Range(d, "sharedPrompt.zipf", w.SharedPrompt.Zipf, 0, maxZipf)
	names := map[string]bool{}
	for i, o := range w.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		checkName(d, names, key+".name", o.Name)
		d.Positive(key+".share", o.Share, maxFactor)
		d.Positive(key+".demand", o.Demand, maxFactor)
	}
	if len(w.Organisations) == 0 {
		d.Reject("organisations", "expected at least one")
	}
	if len(w.Classes) == 0 {
		d.Reject("classes", "expected at least one")
	}
	classes := map[string]bool{}
	for i, c := range w.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		checkName(d, classes, key+".name", c.Name)
		checkClass(d, key, c, names)
	}
}

func checkName(d *strictjson.Document, seen map[string]bool, key, name string) {
	d.ID(key, name)
	if seen[name] {
		d.Reject(key, "expected a name that isn't taken")
	}
	seen[name] = true
}

func checkClass(d *strictjson.Document, key string, c Class, organisations map[string]bool) {
	d.OneOf(key+".kind", c.Kind, KindCompletion, KindCall)
	d.OneOf(key+".priority", c.Priority, Interactive, Batch)
	d.Positive(key+".rate", c.Rate, maxRate)
	strictjson.Range(d, key+".deadline", c.Deadline.D(), time.Millisecond, maxPeriod)
	strictjson.Range(d, key+".targets.ttft", c.Targets.TTFT.D(), minTarget, maxPeriod)
	for i, o := range c.Organisations {
		if !organisations[o] {
			d.Reject(fmt.Sprintf("%s.organisations[%d]", key, i), "expected a name of organisations")
		}
	}
	if b := c.Burst; b != nil {
		strictjson.Range(d, key+".burst.size", b.Size, 1, maxBurst)
		strictjson.Range(d, key+".burst.spread", b.Spread.D(), 0, maxPeriod)
	}
	if s := c.Swing; s != nil {
		strictjson.Range(d, key+".swing.low", s.Low, 0, maxFactor)
		strictjson.Range(d, key+".swing.high", s.High, s.Low, maxFactor)
		strictjson.Range(d, key+".swing.period", s.Period.D(), minPeriod, maxPeriod)
		strictjson.Range(d, key+".swing.phase", s.Phase, 0, 1)
	}
	if c.Kind == KindCall {
		checkCall(d, key, c)
		return
	}
	checkCompletion(d, key, c)
}

func checkCall(d *strictjson.Document, key string, c Class) {
	if !strings.HasPrefix(c.Path, "/") {
		d.Reject(key+".path", `expected a path that begins with "/"`)
	}
	strictjson.Range(d, key+".items", c.Items, 0, maxItems)
}

func checkCompletion(d *strictjson.Document, key string, c Class) {
	if c.Model == "" {
		d.Reject(key+".model", "expected the name of a model")
	}
	strictjson.Range(d, key+".targets.perToken", c.Targets.PerToken.D(), minTarget, maxPeriod)
	checkSpan(d, key+".promptWords", c.PromptWords, maxWords)
	checkSpan(d, key+".maxTokens", c.MaxTokens, maxTokens)
}

func checkSpan(d *strictjson.Document, key string, s Span, limit int) {
	strictjson.Range(d, key+".min", s.Min, 1, limit)
	strictjson.Range(d, key+".max", s.Max, max(s.Min, 1), limit)
}
