// Package logs writes structured log lines without blocking the caller: lines go
// through a bounded buffer to a writer goroutine, the rate of each kind of line
// (level and message) is limited, and the fields of long lines are cut.
//
// Dropped lines are counted, and one line reports their number as soon as one can be
// written. The first lines of each kind in a second are kept, as they show how a
// problem begins.
//
// A line whose write fails is dropped. A pipe whose reader has ended fails each write for
// good, a FIFO until it has a reader again. The process must ignore SIGPIPE, which would end
// it at the first such write.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// DefaultBuffer is the number of lines buffered for a slow reader: at a few
	// hundred bytes each, well under a megabyte.
	DefaultBuffer = 2048
	// DefaultPerSecond limits the lines of one kind per second. Ten requests a
	// second per gateway, each with one line of a kind, stay far below it.
	DefaultPerSecond = 60
	// maxKinds bounds the kinds that are counted separately in a second. Further
	// kinds share one count.
	maxKinds = 512
)

var (
	droppedSlowReader = metrics.NewCounter(`jayford_log_lines_dropped_total{reason="slow_reader"}`)
	droppedByError    = metrics.NewCounter(`jayford_log_lines_dropped_total{reason="write_error"}`)
	droppedByRate     = metrics.NewCounter(`jayford_log_lines_dropped_total{reason="rate"}`)
	written           = metrics.NewCounter("jayford_log_lines_written_total")
)

// Options of a logger. A Buffer or PerSecond of 0 stands for the default.
type Options struct {
	Buffer    int
	PerSecond int
	Level     logrus.Level
}

// Install makes log write JSON lines to out. It returns a function that flushes
// the buffered lines, waiting at most for within; call it when the process ends.
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
		limit: o.PerSecond, counts: map[string]int{}, onDrop: w.countDropped,
	})
	return w.flush
}

// formatter drops lines over the rate limit of their kind. Errors and warnings
// count separately, so that ordinary lines can't displace them.
type formatter struct {
	inner logrus.Formatter
	limit int
	// onDrop is called for each dropped line.
	onDrop func()

	mu sync.Mutex
	// The fields below are guarded by mu: the lines of each kind in the current
	// second.
	second int64
	counts map[string]int
}

// Format returns the line, or nil if it is over the rate limit.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.allow(e) {
		droppedByRate.Inc()
		f.onDrop()
		return nil, nil
	}
	line, err := f.inner.Format(e)
	if err != nil {
		e = withTextFields(e, err)
		line, err = f.inner.Format(e)
	}
	if len(line) > maxLineBytes {
		return f.inner.Format(cutLine(e))
	}
	return line, err
}

// withTextFields returns e with its fields as one text, for fields that have no JSON. An error
// of the formatter would be written to standard error, past the buffer.
func withTextFields(e *logrus.Entry, err error) *logrus.Entry {
	out := logrus.NewEntry(e.Logger).WithFields(logrus.Fields{"fields": fmt.Sprint(e.Data), "formatError": err.Error()})
	out.Time, out.Level, out.Message = e.Time, e.Level, e.Message
	return out
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

// writer hands lines to a goroutine, the only one that blocks on a slow reader.
type writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	flushRequests chan chan struct{}
	// cut: an error has cut off the last line. It belongs to run.
	cut bool
}

func newWriter(out io.Writer, buffer int) *writer {
	w := &writer{out: out, lines: make(chan []byte, buffer), flushRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write never blocks. If the buffer is full, the line is dropped and counted.
func (w *writer) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		droppedSlowReader.Inc()
		w.countDropped()
	}
	return len(b), nil
}

func (w *writer) countDropped() { w.dropped.Add(1) }

func (w *writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case done := <-w.flushRequests:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			close(done)
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped before it, if
// any.
func (w *writer) writeLine(line []byte) {
	dropped := w.dropped.Swap(0)
	if dropped > 0 && w.write(droppedLine(dropped)) {
		dropped = 0
	}
	if dropped > 0 || !w.write(line) {
		droppedByError.Inc()
		w.dropped.Add(dropped + 1)
		return
	}
	written.Inc()
}

// write writes one line and reports whether it was written whole.
func (w *writer) write(line []byte) bool {
	if w.cut {
		line = append([]byte{'\n'}, line...)
	}
	n, err := w.out.Write(line)
	if n > 0 {
		w.cut = line[n-1] != '\n'
	}
	return err == nil
}

func droppedLine(n int64) []byte {
	f := &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	e := logrus.NewEntry(logrus.StandardLogger()).WithField("lines", n)
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "logs: lines were dropped."
	b, err := f.Format(e)
	if err != nil {
		return nil
	}
	return b
}

// flush waits until the buffered lines are written, at most for within.
func (w *writer) flush(within time.Duration) {
	timeout := time.After(within)
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
