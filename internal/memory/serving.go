package memory

import "sync"

// largeServing is the size from which on a request is large.
const largeServing = 256 << 10

// largeShare is the part of the memory that large requests may use up. The rest is for others, so that
// a crowd of large requests doesn't displace them.
const largeShare = 0.75

// Serving is the memory of requests that have arrived completely and haven't ended.
type Serving struct {
	limit int64

	mu sync.Mutex
	// used is guarded by mu.
	used int64
}

// NewServing returns an empty pool with a limit in bytes.
func NewServing(limit int64) *Serving { return &Serving{limit: limit} }

// Take charges n bytes for a request, or for more of one, and reports whether they were free.
func (s *Serving) Take(n int64) bool {
	limit := s.limit
	if n >= largeServing {
		limit = int64(largeShare * float64(limit))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+n > limit {
		return false
	}
	s.used += n
	servingBytes.AddInt64(n)
	return true
}

// Return returns n bytes.
func (s *Serving) Return(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
	servingBytes.AddInt64(-n)
}

// Used returns the charged bytes.
func (s *Serving) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
