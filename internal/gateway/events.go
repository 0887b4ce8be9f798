package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errLargeEvent = errors.New("gateway: stream event exceeds 1 MB")

// event is one server-sent event, byte for byte as its server wrote it.
type event struct {
	// ID is empty if the event has none.
	ID string
	// Raw includes the terminating empty line.
	Raw []byte
}

// events splits a stream into complete events. The rest of an event in which a server
// broke off must not reach the caller.
type events struct{ r *bufio.Reader }

func newEvents(r io.Reader) *events { return &events{bufio.NewReader(r)} }

// awaitFirst waits for the first byte or the end of the stream.
func (e *events) awaitFirst() { _, _ = e.r.Peek(1) }

// next returns the next complete event. It returns io.EOF only if the stream ends
// between two events.
func (e *events) next() (event, error) {
	var ev event
	for {
		start := len(ev.Raw)
		var err error
		if ev.Raw, err = e.appendLine(ev.Raw); err != nil {
			if errors.Is(err, io.EOF) && len(ev.Raw) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := strings.TrimRight(string(ev.Raw[start:]), "\r\n")
		if text == "" {
			if len(bytes.TrimSpace(ev.Raw)) == 0 {
				ev.Raw = ev.Raw[:0]
				continue
			}
			return ev, nil
		}
		if id, ok := strings.CutPrefix(text, "id:"); ok {
			ev.ID = strings.TrimPrefix(id, " ")
		}
	}
}

// appendLine appends the next line to an event. It fails if the event gets too large.
func (e *events) appendLine(to []byte) ([]byte, error) {
	for {
		part, err := e.r.ReadSlice('\n')
		to = append(to, part...)
		switch {
		case len(to) > maxEventBytes:
			return to, errLargeEvent
		case !errors.Is(err, bufio.ErrBufferFull):
			return to, err
		}
	}
}
