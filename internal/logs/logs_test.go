package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// The reader of standard output has stopped and the pipe is full. Logging must
// not block requests: lines are dropped, and one line reports their number once
// the reader is back.
func TestStoppedReaderCostsLinesNotTime(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	log := logrus.New()
	flush := Install(log, w, Options{Buffer: 64, PerSecond: 1 << 20, Level: logrus.InfoLevel})
	began := time.Now()
	for range 20000 {
		log.WithField("request", "r1").Info("gateway: answered.")
	}
	took := time.Since(began)
	assert.Assert(t, took < 5*time.Second, "20000 lines took %s", took)

	var out bytes.Buffer
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		_, _ = io.Copy(&out, r)
	}()
	time.Sleep(50 * time.Millisecond)
	log.Info("gateway: back.")
	flush(time.Second)
	assert.NilError(t, w.Close())
	wg.Wait()
	assert.Assert(t, strings.Contains(out.String(), `"lines were dropped`) || strings.Contains(out.String(), "lines were dropped"), "the dropped lines are not reported")
	assert.Assert(t, strings.Contains(out.String(), "gateway: back."))
}

// One problem logs the same line a thousand times a second. The first lines are
// kept, the rest are counted, and lines of another kind are not displaced.
func TestEachKindIsBounded(t *testing.T) {
	var out syncBuffer
	log := logrus.New()
	flush := Install(log, &out, Options{PerSecond: 5, Level: logrus.InfoLevel})
	at := time.Unix(1000, 0)
	for i := range 1000 {
		log.WithTime(at).WithField("n", i).Warn("gateway: server lost.")
	}
	log.WithTime(at).Info("gateway: answered.")
	flush(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	kinds := map[string]int{}
	for _, l := range lines {
		var v map[string]any
		assert.NilError(t, json.Unmarshal([]byte(l), &v), l)
		msg, _ := v["msg"].(string)
		kinds[msg]++
	}
	assert.Equal(t, kinds["gateway: server lost."], 5)
	assert.Equal(t, kinds["gateway: answered."], 1)
	assert.Assert(t, kinds["logs: lines were dropped."] >= 1)
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func BenchmarkLine(b *testing.B) {
	log := logrus.New()
	Install(log, io.Discard, Options{PerSecond: 1 << 30, Level: logrus.InfoLevel})
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"request": "9c41d07be2a35f68", "server": "i-7f3a91c2", "tokens": 5200}).Info("gateway: reserved.")
	}
}

// Guards against lines that vanish uncounted while the output has no reader.
func TestLinesWithoutAReaderAreCounted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	openReader := func() *os.File {
		r, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
		assert.NilError(t, err)
		return r
	}
	r := openReader()
	w, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	defer func() { _ = w.Close() }()
	assert.NilError(t, r.Close())
	log := logrus.New()
	flush := Install(log, w, Options{Level: logrus.InfoLevel})
	before := droppedByError.Get()
	const lost = 20
	for range lost {
		log.Info("gateway: unread.")
	}
	flush(time.Second)
	assert.Equal(t, droppedByError.Get()-before, uint64(lost))

	r = openReader()
	defer func() { _ = r.Close() }()
	log.Info("gateway: read.")
	flush(time.Second)
	out := make([]byte, 1<<16)
	n, err := r.Read(out)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(out[:n])), "\n")
	assert.Equal(t, len(lines), 2, "%q", lines)
	assert.Assert(t, strings.Contains(lines[0], `"lines":20`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "gateway: read."), lines[1])
}

// limitedWriter accepts a number of bytes and then fails.
type limitedWriter struct {
	bytes.Buffer
	room int
}

func (w *limitedWriter) Write(b []byte) (int, error) {
	n := min(len(b), w.room)
	w.room -= n
	_, _ = w.Buffer.Write(b[:n])
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Guards against a line that is joined to the rest of one that an error has cut off.
func TestLineAfterACutOneBeginsAnew(t *testing.T) {
	out := &limitedWriter{room: 10}
	w := &writer{out: out}
	w.writeLine([]byte("first line\n"))
	w.writeLine([]byte("second\n"))
	out.room = 1 << 10
	w.writeLine([]byte("third\n"))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, len(lines), 4, "%q", lines)
	assert.Equal(t, lines[0], "first line")
	assert.Assert(t, strings.Contains(lines[1], `"lines":2`), lines[1])
	assert.Equal(t, lines[2], "third")
}

// Guards against a line that is lost, and written about on standard error, as a field has no JSON.
func TestFieldWithoutJSONIsLogged(t *testing.T) {
	var out syncBuffer
	log := logrus.New()
	flush := Install(log, &out, Options{Level: logrus.InfoLevel})
	log.WithField("rate", math.Inf(1)).Info("gateway: odd.")
	flush(time.Second)
	var v map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &v), out.String())
	assert.Equal(t, v["msg"], "gateway: odd.")
	assert.Equal(t, v["fields"], "map[rate:+Inf]")
}

// Guards against log lines as long as what another writer left in the store, or a server sent: the
// buffer of lines would take gigabytes.
func TestLongFieldsAreCut(t *testing.T) {
	long := strings.Repeat("ä", 500_000)
	log := logrus.New()
	var out bytes.Buffer
	flush := Install(log, &out, Options{Level: logrus.InfoLevel})
	log.WithError(errors.New(long)).WithFields(logrus.Fields{"name": long, "list": []string{long, long}, "count": 7, "short": "s"}).Warn("gateway: " + long)
	log.WithField("whole", strings.Repeat("w", 2000)).Info("gateway: second.")
	flush(time.Second)
	assert.Assert(t, out.Len() < 16<<10, "%d", out.Len())
	first, second, _ := strings.Cut(out.String(), "\n")
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(first), &line))
	assert.Equal(t, line["count"], 7.0)
	assert.Equal(t, line["short"], "s")
	assert.Equal(t, line["level"], "warning")
	for _, key := range []string{"msg", "name", "error", "list"} {
		text, _ := line[key].(string)
		assert.Assert(t, strings.Contains(text, "ää") && strings.HasSuffix(text, "..."), "%s: %.100q", key, text)
	}
	assert.Assert(t, strings.Contains(second, strings.Repeat("w", 2000)))
}
