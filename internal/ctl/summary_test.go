package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func logLine(at time.Duration, message string, fields map[string]any) LogLine {
	return LogLine{Time: time.Unix(1000, 0).Add(at), Message: message, Fields: fields}
}

// The outcome of a request comes from its last decisive log line: a stream that
// broke off and was resumed counts as ended, and a request whose process was
// killed has no final line.
func TestSummaryCountsOutcomes(t *testing.T) {
	line := func(at time.Duration, id, message string, fields map[string]any) LogLine {
		if fields == nil {
			fields = map[string]any{}
		}
		fields["request"], fields["route"] = id, "r"
		return logLine(at, message, fields)
	}
	s := summarize([]LogLine{
		line(0, "a", "gateway: room reserved.", nil),
		line(2*time.Second, "a", "gateway: stream broke off.", nil),
		line(3*time.Second, "a", "gateway: stream resumed.", nil),
		line(5*time.Second, "a", "gateway: stream ended.", map[string]any{"late": "pause"}),
		line(1, "b", "gateway: stream ended.", map[string]any{"late": ""}),
		line(2, "c", "gateway: room reserved.", nil),
		line(3, "d", "gateway: given up.", map[string]any{"code": "overloaded", "verdict": "not-run"}),
		line(4, "e", "gateway: given up.", map[string]any{"code": "server-lost", "verdict": "may-have-run"}),
		line(4*time.Second, "f", "gateway: call answered.", map[string]any{"status": 500.0}),
		line(4*time.Second, "g", "gateway: call answered.", map[string]any{"status": 200.0}),
		line(4*time.Second, "h", "gateway: stream left.", nil),
		logLine(5*time.Second, "gateway: server listed.", map[string]any{"server": "i-1"}),
	}, 2*time.Second)
	assert.DeepEqual(t, s.Routes, map[string]map[string]int{"r": {
		"in time": 2, "late: pause": 1, "without an end": 1, "refused: overloaded": 1, "failed: server-lost": 1,
		"server's own failure": 1, "caller left": 1,
	}})
	assert.Equal(t, len(s.Moments), 2)
	assert.Equal(t, s.Moments[0].All, 5)
	assert.Equal(t, s.Moments[1].formatLost(), "1 caller left, 1 server's own failure")
}

func TestSummaryReadsFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "g.log")
	text := `{"time":"2026-01-02T03:04:05Z","msg":"gateway: given up.","request":"a","route":"r","code":"overloaded","verdict":"not-run"}` + "\nno line\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	var out bytes.Buffer
	code := Run(context.Background(), Environment{Stdout: &out, Stderr: &out}, []string{"summary", file})
	assert.Equal(t, code, ExitOK, out.String())
	assert.Assert(t, strings.Contains(out.String(), "refused: overloaded") && strings.Contains(out.String(), "1 lines aren't"), out.String())
}
