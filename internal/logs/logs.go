// Package logs writes structured log lines without ever making the process
// wait: lines go through a bounded buffer to a writer of their own, and each
// kind of line is bounded a second.
//
// What is lost is counted, and told by one line as soon as there is room. The
// first lines of each kind in a second are kept, as they show a cause's begin.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// DefaultBuffer is how many lines wait for a slow reader: at some hundred
	// bytes each, well under a megabyte.
	DefaultBuffer = 2048
	// DefaultPerSecond bounds the lines of one kind a second. Ten requests a
	// second and gateway, each with a line of a kind, are far below it.
	DefaultPerSecond = 60
	// maxKinds bounds the kinds that are counted apart.
	maxKinds = 512
)

var (
	dropped    = metrics.NewCounter(`jayford_log_lines_dropped_total{reason="slow_reader"}`)
	suppressed = metrics.NewCounter(`jayford_log_lines_dropped_total{reason="rate"}`)
	written    = metrics.NewCounter("jayford_log_lines_written_total")
)

// Options of a logger. Zero values stand for the defaults.
type Options struct {
	Buffer    int
	PerSecond int
	Level     logrus.Level
}

// Install makes log write JSON lines to out, and returns what flushes them
// within a bound at the process's end.
func Install(log *logrus.Logger, out io.Writer, o Options) (flush func(within time.Duration)) {
	if o.Buffer <= 0 {
		o.Buffer = DefaultBuffer
	}
	if o.PerSecond <= 0 {
		o.PerSecond = DefaultPerSecond
	}
	w := newWriter(out, o.Buffer)
	log.SetOutput(w)
	log.SetLevel(o.Level)
	log.SetFormatter(&formatter{
		inner: &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true},
		limit: o.PerSecond, counts: map[string]int{}, dropped: w.note,
	})
	return w.flush
}

// formatter drops lines over the bound of their kind. Errors and warnings have
// a bound of their own, so that ordinary lines can't push them out.
type formatter struct {
	inner logrus.Formatter
	limit int
	// dropped notes a lost line.
	dropped func()

	mu sync.Mutex
	// All below is guarded by mu: the lines of each kind in the present second.
	second int64
	counts map[string]int
}

// Format returns the line, or nothing if it is over the bound.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.allow(e) {
		suppressed.Inc()
		f.dropped()
		return nil, nil
	}
	return f.inner.Format(e)
}

func (f *formatter) allow(e *logrus.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := e.Time.Unix(); s != f.second {
		f.second = s
		clear(f.counts)
	}
	key := e.Level.String() + e.Message
	if len(f.counts) >= maxKinds {
		key = ""
	}
	f.counts[key]++
	return f.counts[key] <= f.limit
}

// writer hands lines to a goroutine that alone waits for the reader.
type writer struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	idle  chan chan struct{}
}

func newWriter(out io.Writer, buffer int) *writer {
	w := &writer{out: out, lines: make(chan []byte, buffer), idle: make(chan chan struct{})}
	go w.run()
	return w
}

// Write never waits. A line that finds the buffer full is lost and counted.
func (w *writer) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		dropped.Inc()
		w.note()
	}
	return len(b), nil
}

func (w *writer) note() { w.lost.Add(1) }

func (w *writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case done := <-w.idle:
			for len(w.lines) > 0 {
				w.put(<-w.lines)
			}
			close(done)
		}
	}
}

// put writes a line, and with it how many were lost before. A reader that is
// gone takes no lines; there is nobody left to tell.
func (w *writer) put(line []byte) {
	if n := w.lost.Swap(0); n > 0 {
		_, _ = w.out.Write(lostLine(n))
	}
	if _, err := w.out.Write(line); err == nil {
		written.Inc()
	}
}

func lostLine(n int64) []byte {
	f := &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	e := logrus.NewEntry(logrus.StandardLogger()).WithField("lines", n)
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "logs: lines were dropped."
	b, err := f.Format(e)
	if err != nil {
		return nil
	}
	return b
}

// flush waits until the lines so far are written, or for within.
func (w *writer) flush(within time.Duration) {
	timeout := time.After(within)
	done := make(chan struct{})
	select {
	case w.idle <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
