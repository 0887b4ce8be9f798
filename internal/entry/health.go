package entry

import (
	"sync"
	"time"
)

const (
	// doubtFor is how long a server without an answer is ranked last, at first.
	doubtFor    = 500 * time.Millisecond
	maxDoubtFor = 10 * time.Second
)

// health keeps what use says of servers. One missing answer removes nobody: the
// server is ranked last for a while, and used again when that is over.
type health struct {
	mu sync.Mutex
	// servers by instance id, guarded by mu.
	servers map[string]serverHealth
}

type serverHealth struct {
	// Misses in a row.
	Misses int
	// Until the server is ranked last.
	Until time.Time
}

func newHealth() *health { return &health{servers: make(map[string]serverHealth)} }

func (h *health) unheard(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[id]
	d := min(doubtFor<<min(s.Misses, 8), maxDoubtFor)
	s.Misses++
	s.Until = time.Now().Add(d)
	h.servers[id] = s
}

func (h *health) heard(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.servers, id)
}

func (h *health) doubted(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.servers[id]
	return ok && time.Now().Before(s.Until)
}

func (h *health) view() map[string]serverHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]serverHealth, len(h.servers))
	for id, s := range h.servers {
		out[id] = s
	}
	return out
}
