package faultnet

import (
	"bytes"
	"net"
	"slices"
	"sync"
)

const (
	// keptAnswers is how many of the last answers a connection keeps.
	keptAnswers = 8
	// maxAnswerBytes is the size of the largest answer that is sent again.
	maxAnswerBytes = 16 << 10
)

// Repeat has connections send answers again. pick is called with the last answers of a connection,
// the oldest first, when a further request arrives there. Those that it returns are sent at once,
// ahead of that request's own answer. nil ends it.
func (s *Listener) Repeat(pick func(answers [][]byte) [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeat = pick
}

// RepeatNow sends the last answer of a connection that a Listener accepted again at once. No request
// may be under way on the connection.
func RepeatNow(accepted net.Conn) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	if sent := c.answers.next(); len(sent) > 0 {
		c.sendAgain(sent[len(sent)-1:])
	}
}

// answers are the last answers that were written to a connection.
type answers struct {
	mu sync.Mutex
	// All below is guarded by mu: the complete answers, and the bytes written since the last request.
	sent    [][]byte
	current []byte
}

// record adds bytes to the current answer.
func (a *answers) record(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.current) <= maxAnswerBytes {
		a.current = append(a.current, b...)
	}
}

// next ends the current answer. It returns the last answers, nil if there is no new one.
func (a *answers) next() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.current) == 0 {
		return nil
	}
	if len(a.current) <= maxAnswerBytes {
		a.sent = append(a.sent, a.current)
		a.sent = a.sent[max(0, len(a.sent)-keptAnswers):]
	}
	a.current = nil
	return slices.Clone(a.sent)
}

// repeatAnswers sends answers again as a request arrives.
func (c *conn) repeatAnswers() {
	sent := c.answers.next()
	c.listener.mu.Lock()
	pick := c.listener.repeat
	c.listener.mu.Unlock()
	if pick == nil || len(sent) == 0 {
		return
	}
	c.sendAgain(pick(sent))
}

func (c *conn) sendAgain(answers [][]byte) {
	if !c.dropsWrites() {
		_, _ = c.Conn.Write(bytes.Join(answers, nil))
	}
}
