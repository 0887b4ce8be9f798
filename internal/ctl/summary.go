package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// summaryCommand tells what became of all requests in a set of logs.
type summaryCommand struct {
	client *client
	Window time.Duration `long:"window" default:"2s" description:"length of the moments that requests which weren't answered in time are counted by"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log files; - is standard input"`
	} `positional-args:"true"`
}

// Outcomes of a request. One that isn't named here is told by its code.
const (
	outcomeInTime = "in time"
	outcomeLeft   = "caller left"
	outcomeBroken = "broken off by its server"
	outcomeServer = "server's own failure"
	// outcomeOpen is of a request whose last line is missing: its process was lost,
	// or still works on it.
	outcomeOpen = "without an end"
)

// Summary tells what became of requests.
type Summary struct {
	// Routes has the number of requests by route and outcome.
	Routes map[string]map[string]int `json:"routes"`
	// Moments has those that weren't answered in time by when they came.
	Moments []Moment `json:"moments"`
	Unread  int      `json:"unread"`
}

// Moment counts what was lost of the requests whose first line is within a window.
type Moment struct {
	Begin time.Time      `json:"begin"`
	All   int            `json:"all"`
	Lost  map[string]int `json:"lost"`
}

// Execute runs the command.
func (c *summaryCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	lines, unread, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	s := summarize(lines, max(c.Window, time.Second/10))
	s.Unread = unread
	return c.client.print(s, s.text)
}

// story is what the lines of one request tell so far.
type story struct {
	began   time.Time
	route   string
	outcome string
}

// summarize counts the outcomes of all requests in lines.
func summarize(lines []LogLine, window time.Duration) Summary {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	stories := map[string]*story{}
	for _, l := range lines {
		id, _ := l.Fields["request"].(string)
		if id == "" {
			continue
		}
		x := stories[id]
		if x == nil {
			x = &story{began: l.Time, outcome: outcomeOpen}
			stories[id] = x
		}
		x.take(l)
	}
	s := Summary{Routes: map[string]map[string]int{}}
	moments := map[int64]*Moment{}
	for _, x := range stories {
		s.count(x)
		at := x.began.Truncate(window)
		m := moments[at.UnixNano()]
		if m == nil {
			m = &Moment{Begin: at, Lost: map[string]int{}}
			moments[at.UnixNano()] = m
		}
		m.All++
		if x.outcome != outcomeInTime {
			m.Lost[x.outcome]++
		}
	}
	for _, at := range slices.Sorted(maps.Keys(moments)) {
		s.Moments = append(s.Moments, *moments[at])
	}
	return s
}

func (s *Summary) count(x *story) {
	if s.Routes[x.route] == nil {
		s.Routes[x.route] = map[string]int{}
	}
	s.Routes[x.route][x.outcome]++
}

// take goes on with the story by one line.
func (x *story) take(l LogLine) {
	text := func(key string) string {
		v, _ := l.Fields[key].(string)
		return v
	}
	x.route = cmp.Or(x.route, text("route"))
	switch l.Message {
	case "gateway: call answered.":
		x.outcome = answered(l.Fields["status"], text("late"))
	case "gateway: stream ended.":
		x.outcome = answered(nil, text("late"))
	case "gateway: stream left.":
		x.outcome = outcomeLeft
	case "gateway: stream broke off.":
		x.outcome = outcomeBroken
	case "gateway: stream resumed.":
		x.outcome = outcomeOpen
	case "gateway: given up.", "gateway: refused.", "entry: request ended without a whole answer.":
		x.outcome = givenUp(text("code"), text("verdict"))
	}
}

func answered(status any, late string) string {
	if n, ok := status.(float64); ok && n >= 500 {
		return outcomeServer
	}
	if late != "" {
		return "late: " + late
	}
	return outcomeInTime
}

func givenUp(code, verdict string) string {
	switch {
	case code == "cancelled":
		return outcomeLeft
	case verdict == "not-run":
		return "refused: " + code
	}
	return "failed: " + code
}

func (s Summary) text(w io.Writer) error {
	var b strings.Builder
	b.WriteString("route\toutcome\trequests\n")
	for _, route := range slices.Sorted(maps.Keys(s.Routes)) {
		for _, outcome := range slices.Sorted(maps.Keys(s.Routes[route])) {
			fmt.Fprintf(&b, "%s\t%s\t%d\n", cmp.Or(route, "(none)"), outcome, s.Routes[route][outcome])
		}
	}
	b.WriteString("\nfrom\trequests\tnot in time\n")
	for _, m := range s.Moments {
		fmt.Fprintf(&b, "%s\t%d\t%s\n", m.Begin.Format(time.RFC3339Nano), m.All, m.lost())
	}
	if s.Unread > 0 {
		fmt.Fprintf(&b, "%d lines aren't structured log lines.\n", s.Unread)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// lost names what was lost, the most first.
func (m Moment) lost() string {
	keys := slices.SortedFunc(maps.Keys(m.Lost), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.Lost[b], m.Lost[a]), cmp.Compare(a, b))
	})
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%d %s", m.Lost[k], k)
	}
	return strings.Join(parts, ", ")
}
