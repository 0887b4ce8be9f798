package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/logs"
)

func runTrace(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	code := Run(context.Background(), Environment{Stdout: &out, Stderr: &out}, append([]string{"trace"}, args...))
	return out.String(), code
}

// The logs of two gateways, one of them with a collector's prefix, contain lines
// of other requests, a truncated line and a report of dropped lines. The trace
// must have the request's own lines in order, the lines about its server, and
// the number of dropped lines.
func TestTraceJoinsOneRequest(t *testing.T) {
	var first, second bytes.Buffer
	write := func(out *bytes.Buffer, f func(log *logrus.Logger)) {
		log := logrus.New()
		flush := logs.Install(log, out, logs.Options{Level: logrus.InfoLevel})
		f(log)
		flush(time.Second)
	}
	write(&first, func(log *logrus.Logger) {
		log.WithFields(logrus.Fields{"request": "r1", "server": "i-7#5", "tokens": 5200}).Info("gateway: room reserved.")
		log.WithFields(logrus.Fields{"request": "r2", "server": "i-8#5"}).Info("gateway: room reserved.")
		time.Sleep(3 * time.Millisecond)
		log.WithFields(logrus.Fields{"request": "r1", "server": "i-7#5", "cause": "reset"}).Info("gateway: decode failed.")
	})
	write(&second, func(log *logrus.Logger) {
		log.WithFields(logrus.Fields{"server": "i-7#5", "state": "doubted"}).Info("gateway: server's health changed.")
		log.WithFields(logrus.Fields{"server": "i-9#5", "state": "doubted"}).Info("gateway: server's health changed.")
		log.WithField("lines", 12).Warn("logs: lines were dropped.")
	})
	dir := t.TempDir()
	a, b := filepath.Join(dir, "g1.log"), filepath.Join(dir, "g2.log")
	assert.NilError(t, os.WriteFile(a, append(first.Bytes(), []byte(`{"msg":"torn`)...), 0o600))
	assert.NilError(t, os.WriteFile(b, bytes.ReplaceAll(second.Bytes(), []byte("{"), []byte("12.5 host-2 {")), 0o600))

	out, code := runTrace(t, "r1", a, b)
	assert.Equal(t, code, ExitOK, out)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 5, out)
	assert.Assert(t, strings.Contains(out, "host-2") && strings.Contains(out, "doubted"), out)
	assert.Assert(t, strings.Index(out, "room reserved") < strings.Index(out, "decode failed"), out)
	assert.Assert(t, !strings.Contains(out, "i-8#5") && !strings.Contains(out, "i-9#5"), out)
	assert.Assert(t, strings.Contains(out, "12 log lines were dropped"), out)

	out, code = runTrace(t, "r9", a, b)
	assert.Equal(t, code, ExitInvalid, out)
	_, code = runTrace(t, "r1", filepath.Join(dir, "none.log"))
	assert.Equal(t, code, ExitUsage)
}
