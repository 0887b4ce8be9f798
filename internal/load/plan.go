package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the intended send time, counted from the start of the run.
	At time.Duration
	// Class and Organisation are indices into the workload's lists.
	Class        int
	Organisation int
	// Seed determines the request's content.
	Seed uint64
}

// PlanOptions are the parameters of Plan.
type PlanOptions struct {
	Seed uint64
	// Duration is the length of the sending period. TimeScale doesn't apply to
	// it.
	Duration time.Duration
	// Rate multiplies all rates of the workload.
	Rate float64
	// TimeScale multiplies all times of the workload and divides its rates: 0.1
	// makes the workload run ten times as fast.
	TimeScale float64
	// MaxRequests is the maximum number of arrivals.
	MaxRequests int
}

// Plan returns the arrivals of a run, sorted by time. It is deterministic for a
// given workload and options. Each class has its own random stream, so changing
// one class doesn't affect the others.
func Plan(w Workload, o PlanOptions) []Arrival {
	var all []Arrival
	for i := range w.Classes {
		p := classPlan{
			workload: w, class: i, options: o,
			random: rand.New(rand.NewPCG(o.Seed, uint64(i))),
		}
		p.organisations = p.senders()
		all = append(all, p.draw()...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	if len(all) > o.MaxRequests {
		all = all[:o.MaxRequests]
	}
	return all
}

type classPlan struct {
	workload      Workload
	class         int
	options       PlanOptions
	random        *rand.Rand
	organisations []int
}

// senders returns the organisations that send the class.
func (p *classPlan) senders() []int {
	named := p.workload.Classes[p.class].Organisations
	var list []int
	for i, o := range p.workload.Organisations {
		if len(named) == 0 || slices.Contains(named, o.Name) {
			list = append(list, i)
		}
	}
	return list
}

// draw generates a Poisson process at the peak rate and thins it to the rate that
// Swing gives at each time.
func (p *classPlan) draw() []Arrival {
	c := p.workload.Classes[p.class]
	size, spread := 1, time.Duration(0)
	if c.Burst != nil {
		size, spread = c.Burst.Size, scale(c.Burst.Spread.D(), p.options.TimeScale)
	}
	peak := 1.0
	if c.Swing != nil {
		peak = c.Swing.High
	}
	rate := c.Rate * p.options.Rate / p.options.TimeScale * peak / float64(size)
	if rate <= 0 {
		return nil
	}
	var list []Arrival
	for at := p.interarrivalTime(rate); at < p.options.Duration; at += p.interarrivalTime(rate) {
		keep := p.random.Float64()*peak < p.swingFactor(c.Swing, at)
		if !keep {
			continue
		}
		list = p.appendBurst(list, at, size, spread)
		if len(list) >= p.options.MaxRequests {
			return list[:p.options.MaxRequests]
		}
	}
	return list
}

func (p *classPlan) appendBurst(list []Arrival, at time.Duration, size int, spread time.Duration) []Arrival {
	organisation := p.drawOrganisation()
	for range size {
		a := Arrival{At: at, Class: p.class, Organisation: organisation, Seed: p.random.Uint64()}
		if spread > 0 {
			a.At += time.Duration(p.random.Int64N(int64(spread)))
		}
		if a.At < p.options.Duration {
			list = append(list, a)
		}
	}
	return list
}

func (p *classPlan) interarrivalTime(rate float64) time.Duration {
	seconds := min(p.random.ExpFloat64()/rate, p.options.Duration.Seconds()+1)
	// At least a nanosecond, so that draw terminates at any rate.
	return max(1, time.Duration(seconds*float64(time.Second)))
}

func (p *classPlan) swingFactor(s *Swing, at time.Duration) float64 {
	if s == nil {
		return 1
	}
	period := scale(s.Period.D(), p.options.TimeScale)
	turn := float64(at)/float64(period) + s.Phase
	return s.Low + (s.High-s.Low)*(1-math.Cos(2*math.Pi*turn))/2
}

func (p *classPlan) drawOrganisation() int {
	sum := 0.0
	for _, i := range p.organisations {
		sum += p.workload.Organisations[i].Demand
	}
	pick := p.random.Float64() * sum
	for _, i := range p.organisations {
		pick -= p.workload.Organisations[i].Demand
		if pick < 0 {
			return i
		}
	}
	return p.organisations[len(p.organisations)-1]
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Request is the content of one request.
type Request struct {
	Class        string
	Kind         string
	Organisation string
	Priority     string
	Deadline     time.Duration
	// Model, Prompt and MaxTokens are set for completions.
	Model     string
	Prompt    string
	MaxTokens int
	// Path is set for plain calls.
	Path string
}

// BuildRequest builds the request of an arrival. If shared is empty, prompts get
// no shared prefix.
func BuildRequest(w Workload, a Arrival, shared SharedTexts, timeScale float64) Request {
	c := w.Classes[a.Class]
	r := rand.New(rand.NewPCG(a.Seed, uint64(a.Class)))
	s := Request{
		Class: c.Name, Kind: c.Kind, Priority: c.Priority,
		Organisation: w.Organisations[a.Organisation].Name,
		Deadline:     scale(c.Deadline.D(), timeScale),
	}
	if c.Kind == KindCall {
		n := r.IntN(max(c.Items, 1))
		s.Path = strings.ReplaceAll(c.Path, "{n}", strconv.Itoa(n))
		return s
	}
	s.Model = c.Model
	s.MaxTokens = c.MaxTokens.draw(r)
	s.Prompt = words(r, c.PromptWords.draw(r))
	if c.SharedPrompt && len(shared.texts) > 0 {
		s.Prompt = shared.draw(r) + " " + s.Prompt
	}
	return s
}

// SharedTexts holds the shared prompt prefixes. The zero value is empty.
type SharedTexts struct {
	texts []string
	// cumulativeWeights[i] is the sum of the weights of texts[0] to texts[i].
	cumulativeWeights []float64
}

// NewSharedTexts generates the shared prefixes: independent random texts of the
// same number of words.
func NewSharedTexts(p SharedPrompt) SharedTexts {
	r := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var s SharedTexts
	sum := 0.0
	for i := range max(1, p.Count) {
		s.texts = append(s.texts, words(r, p.Words))
		sum += math.Pow(float64(i+1), -p.Zipf)
		s.cumulativeWeights = append(s.cumulativeWeights, sum)
	}
	return s
}

// draw returns a text chosen at random by weight. With a single text it consumes
// no random number, so that the rest of the prompt is the same with and without
// the shared prefix.
func (s SharedTexts) draw(r *rand.Rand) string {
	if len(s.texts) == 1 {
		return s.texts[0]
	}
	pick := r.Float64() * s.cumulativeWeights[len(s.cumulativeWeights)-1]
	i, _ := slices.BinarySearch(s.cumulativeWeights, pick)
	return s.texts[min(i, len(s.texts)-1)]
}

func (s Span) draw(r *rand.Rand) int { return s.Min + r.IntN(s.Max-s.Min+1) }

var vocabulary = strings.Fields(`a the of and to in for with on by from at as is are was dial hand
bezel crown strap lume index marker date moon phase steel gold black white blue green round square
thin bold minimal classic sport field diver pilot summary caption describe style match reader screen
light dark hour minute second battery step heart rate weather crew vessel port rig shift rotation
flight hotel visa medical desk manifest deck engineer cook medic captain transfer arrival departure
delay connection seat booking night morning windhoek zurich coast harbour station list note review`)

func words(r *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(vocabulary[r.IntN(len(vocabulary))])
	}
	return b.String()
}
