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

// summaryCommand counts the outcomes of all requests in a set of logs.
type summaryCommand struct {
	client *client
	Window time.Duration `long:"window" default:"2s" description:"length of the intervals in which requests that weren't answered in time are counted"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log files; - is standard input"`
	} `positional-args:"true"`
}

// Outcomes of a request. Other outcomes contain the code of a failure or the
// reason of a late response.
const (
	outcomeInTime    = "in time"
	outcomeCancelled = "caller left"
	outcomeBroken    = "broken off by its server"
	outcomeServer    = "server's own failure"
	// outcomeOpen is the outcome of a request without a final log line: its
	// process was lost or is still working on it.
	outcomeOpen = "without an end"
)

// Summary counts the outcomes of requests.
type Summary struct {
	// Routes is the number of requests by route and outcome.
	Routes map[string]map[string]int `json:"routes"`
	// Moments counts the requests by the time of their first log line, in
	// intervals of the flag --window.
	Moments []Interval `json:"moments"`
	// Unread counts lines that aren't structured log lines.
	Unread int `json:"unread"`
}

// Interval counts the requests whose first log line falls into one interval: All
// of them, and in Lost by outcome those that weren't answered in time.
type Interval struct {
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

// requestState is the state of one request according to the log lines read so far.
type requestState struct {
	begin   time.Time
	route   string
	outcome string
}

// summarize counts the outcomes of all requests in lines.
func summarize(lines []LogLine, window time.Duration) Summary {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	requests := map[string]*requestState{}
	for _, l := range lines {
		id, _ := l.Fields["request"].(string)
		if id == "" {
			continue
		}
		x := requests[id]
		if x == nil {
			x = &requestState{begin: l.Time, outcome: outcomeOpen}
			requests[id] = x
		}
		x.apply(l)
	}
	s := Summary{Routes: map[string]map[string]int{}}
	intervals := map[int64]*Interval{}
	for _, x := range requests {
		s.count(x)
		at := x.begin.Truncate(window)
		m := intervals[at.UnixNano()]
		if m == nil {
			m = &Interval{Begin: at, Lost: map[string]int{}}
			intervals[at.UnixNano()] = m
		}
		m.All++
		if x.outcome != outcomeInTime {
			m.Lost[x.outcome]++
		}
	}
	for _, at := range slices.Sorted(maps.Keys(intervals)) {
		s.Moments = append(s.Moments, *intervals[at])
	}
	return s
}

func (s *Summary) count(x *requestState) {
	if s.Routes[x.route] == nil {
		s.Routes[x.route] = map[string]int{}
	}
	s.Routes[x.route][x.outcome]++
}

// apply updates the state of the request with its next log line.
func (x *requestState) apply(l LogLine) {
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
		x.outcome = outcomeCancelled
	case "gateway: stream broke off.":
		x.outcome = outcomeBroken
	case "gateway: stream resumed.":
		x.outcome = outcomeOpen
	case "gateway: given up.", "gateway: refused.", "entry: request ended without a whole answer.":
		x.outcome = failed(text("code"), text("verdict"))
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

func failed(code, verdict string) string {
	switch {
	case code == "cancelled":
		return outcomeCancelled
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
		fmt.Fprintf(&b, "%s\t%d\t%s\n", m.Begin.Format(time.RFC3339Nano), m.All, m.formatLost())
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

// formatLost lists the outcomes in Lost with their counts, most frequent first.
func (m Interval) formatLost() string {
	keys := slices.SortedFunc(maps.Keys(m.Lost), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.Lost[b], m.Lost[a]), cmp.Compare(a, b))
	})
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%d %s", m.Lost[k], k)
	}
	return strings.Join(parts, ", ")
}
