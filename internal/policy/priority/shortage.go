package priority

import "time"

// Shortage knows until when requests of each rank count as short of memory. It answers bursts
// in which less urgent requests take the memory that more urgent ones look for. The zero
// value is for no shortage.
type Shortage struct{ until [Last + 1]time.Time }

// Record records that a request of a rank found no room at its first try. until is when it
// stops looking for some.
func (s *Shortage) Record(rank int, until time.Time) {
	if until.After(s.until[rank]) {
		s.until[rank] = until
	}
}

// Yields reports whether a request of a rank leaves headroom to more urgent ones.
func (s *Shortage) Yields(now time.Time, rank int) bool {
	for _, until := range s.until[:rank] {
		if now.Before(until) {
			return true
		}
	}
	return false
}
