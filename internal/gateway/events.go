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

// next returns the next complete event. It returns io.EOF only if the stream ends
// between two events.
func (e *events) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.Raw) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(ev.Raw) > maxEventBytes {
			return event{}, errLargeEvent
		}
		text := strings.TrimRight(string(line), "\r\n")
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
