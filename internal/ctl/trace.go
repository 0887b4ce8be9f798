package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLogLine is the maximum length of a line in a log file.
	maxLogLine = 1 << 20
	// traceMargin is how long before and after the request's own lines the log
	// lines about its servers are included in the trace.
	traceMargin = 5 * time.Second
)

// traceCommand collects the log lines of one request and those of other
// processes about the servers that its lines name.
type traceCommand struct {
	client *client
	Args   struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"the request's ID"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"log files; - is standard input"`
	} `positional-args:"true"`
}

// LogLine is one structured log line.
type LogLine struct {
	Time    time.Time      `json:"time"`
	Source  string         `json:"source"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Trace is the sequence of log lines that concern one request.
type Trace struct {
	Request string    `json:"request"`
	Lines   []LogLine `json:"lines"`
	// Dropped is how many lines the processes reported as dropped during the
	// time of the trace.
	Dropped int `json:"dropped"`
	// Unread counts lines that aren't structured log lines.
	Unread int `json:"unread"`
}

// Execute runs the command.
func (c *traceCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	all, unread, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	t := Trace{Request: c.Args.ID, Unread: unread}
	t.collect(all)
	if len(t.Lines) == 0 {
		return eris.Wrapf(errInvalid, "no line of request %s in %d lines (%d of them not structured)", t.Request, len(all)+t.Unread, t.Unread)
	}
	return c.client.print(t, t.text)
}

// readLogs reads all files and counts the lines that aren't structured log
// lines.
func readLogs(paths []string) (all []LogLine, unread int, err error) {
	for _, p := range paths {
		lines, n, err := readLog(p)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, lines...)
		unread += n
	}
	return all, unread, nil
}

func readLog(path string) ([]LogLine, int, error) {
	var r io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, 0, eris.Wrap(errUsage, err.Error())
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	return parseLog(filepath.Base(path), r)
}

// parseLog reads log lines. Log collectors may prefix the JSON of a line, for
// instance with a host name; the last word of such a prefix replaces source.
func parseLog(source string, r io.Reader) (lines []LogLine, unread int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		l, ok := parseLogLine(source, s.Bytes())
		if !ok {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return lines, unread + 1, nil
	}
	return lines, unread, eris.Wrap(s.Err(), "read log")
}

func parseLogLine(source string, text []byte) (LogLine, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[i:], &fields) != nil {
		return LogLine{}, false
	}
	l := LogLine{Source: source, Fields: fields}
	if before := strings.Fields(string(text[:i])); len(before) > 0 {
		l.Source = before[len(before)-1]
	}
	l.Message, _ = fields["msg"].(string)
	l.Level, _ = fields["level"].(string)
	at, _ := fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, at); err != nil || l.Message == "" {
		return LogLine{}, false
	}
	for _, k := range []string{"msg", "level", "time", "part"} {
		delete(fields, k)
	}
	return l, true
}

// collect selects the request's own lines, and the lines about its servers within
// traceMargin of them.
func (t *Trace) collect(all []LogLine) {
	servers := map[string]bool{}
	var from, to time.Time
	for _, l := range all {
		if l.Fields["request"] != t.Request {
			continue
		}
		if from.IsZero() || l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
		for _, k := range []string{"server", "from", "best"} {
			if s, ok := l.Fields[k].(string); ok && s != "" {
				servers[serverID(s)] = true
			}
		}
	}
	if from.IsZero() {
		return
	}
	from, to = from.Add(-traceMargin), to.Add(traceMargin)
	for _, l := range all {
		if l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if n, ok := l.Fields["lines"].(float64); ok && strings.HasPrefix(l.Message, "logs:") {
			t.Dropped += int(n)
		}
		if t.includes(l, servers) {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
}

func (t *Trace) includes(l LogLine, servers map[string]bool) bool {
	if r, ok := l.Fields["request"]; ok {
		return r == t.Request
	}
	s, ok := l.Fields["server"].(string)
	return ok && servers[serverID(s)]
}

// serverID returns the instance ID of a server that is logged as "ID#START".
func serverID(s string) string {
	id, _, _ := strings.Cut(s, "#")
	return id
}

func (t Trace) text(w io.Writer) error {
	var b strings.Builder
	first := t.Lines[0].Time
	for _, l := range t.Lines {
		if l.Fields["request"] == t.Request {
			first = l.Time
			break
		}
	}
	fmt.Fprintf(&b, "request %s, first line at %s\n", t.Request, first.Format(time.RFC3339Nano))
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%+9.3f s  %-20s %s", l.Time.Sub(first).Seconds(), l.Source, l.Message)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if k != "request" {
				fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
			}
		}
		b.WriteByte('\n')
	}
	if t.Dropped > 0 {
		fmt.Fprintf(&b, "%d log lines were dropped during this time; the trace may be incomplete.\n", t.Dropped)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
