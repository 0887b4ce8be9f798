package response

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// ErrMalformed marks bytes from a server that are no response: not HTTP, or without end. The
// server runs, but is faulty.
var ErrMalformed = errors.New("malformed response")

var malformed = metrics.NewCounter("jayford_malformed_responses_total")

// Malformed returns and counts an ErrMalformed.
func Malformed(reason string) error {
	malformed.Inc()
	return fmt.Errorf("%w: %s", ErrMalformed, reason)
}

// versionPrefix begins every status line. Its rest is a minor version, a space, a status of
// statusDigits and, behind another space, a reason.
const (
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	minStatusLine = len(versionPrefix) + len("1 ") + statusDigits
)

const (
	minStatus          = 100
	switchingProtocols = 101
	minFinalStatus     = 200
	maxStatus          = 599
)

// head is the head of a response of which some lines have been read.
type head struct {
	status int
	// isHTTP10: the version is HTTP/1.0, which has no chunks.
	isHTTP10 bool
	// hasBareLF: a line ends with LF alone, which RFC 9112, section 2.2, allows to take.
	hasBareLF bool
	framing   framing
}

// add checks the next line and reports whether it ends the head.
func (h *head) add(line []byte) (end bool, err error) {
	h.hasBareLF = h.hasBareLF || !bytes.HasSuffix(line, []byte("\r\n"))
	line = trimLineEnd(line)
	switch {
	case h.status == 0:
		return false, h.readStatusLine(line)
	case len(line) == 0:
		return true, h.framing.check(h)
	}
	name, value, err := splitField(line)
	if err != nil {
		return false, err
	}
	return false, h.framing.add(name, value)
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isInterim reports whether another response follows, without a body in between.
func (h *head) isInterim() bool { return h.status < minFinalStatus }

func (h *head) readStatusLine(line []byte) error {
	if len(line) < minStatusLine || !mayBeginResponse(line) {
		return Malformed("no status line")
	}
	version, rest := line[len(versionPrefix)], line[len(versionPrefix)+1:]
	status, reason := rest[1:1+statusDigits], rest[1+statusDigits:]
	if version != '0' && version != '1' || rest[0] != ' ' {
		return Malformed("not HTTP/1.0 or HTTP/1.1")
	}
	h.isHTTP10 = version == '0'
	for _, c := range status {
		if c < '0' || c > '9' {
			return Malformed("the status isn't a number of three digits")
		}
		h.status = 10*h.status + int(c-'0')
	}
	if len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return Malformed("an invalid reason")
	}
	// No request asks for another protocol, so no connection may switch to one.
	if h.status < minStatus || h.status > maxStatus || h.status == switchingProtocols {
		return Malformed("no status of a response")
	}
	return nil
}

// splitField returns the name and the value of a header field. A folded line is refused, as RFC
// 9112, section 5.2, allows.
func splitField(line []byte) (name, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return nil, nil, Malformed("no header field")
	}
	name, value = line[:colon], bytes.Trim(line[colon+1:], " \t")
	if !isText(value) {
		return nil, nil, Malformed("an invalid value of a header field")
	}
	return name, value, nil
}

// isToken reports whether a name of a field may have these bytes.
func isToken(b []byte) bool {
	for _, c := range b {
		isAlphanumeric := c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

// mayBeginResponse reports whether the first bytes of a response can be these.
func mayBeginResponse(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return string(b[:n]) == versionPrefix[:n]
}

// isText reports whether a field value or a reason may have these bytes.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
