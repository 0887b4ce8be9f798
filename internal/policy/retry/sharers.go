package retry

import "time"

// Sharers counts the processes that share a budget. One that ended counts until the retries
// that it made count no longer. It isn't safe for concurrent use.
type Sharers struct {
	hold time.Duration
	// missing has the time at which each process was first found missing, zero for one that
	// isn't.
	missing map[string]time.Time
}

// NewSharers returns an empty count in which an ended process stays for hold.
func NewSharers(hold time.Duration) *Sharers {
	return &Sharers{hold: hold, missing: map[string]time.Time{}}
}

// Update sets the processes that are known to live, and returns the number of those that share
// the budget. None is taken for dead if the list is empty.
func (s *Sharers) Update(ids []string, now time.Time) int {
	if len(ids) == 0 {
		return len(s.missing)
	}
	live := make(map[string]bool, len(ids))
	for _, id := range ids {
		live[id] = true
		s.missing[id] = time.Time{}
	}
	for id, since := range s.missing {
		switch {
		case live[id]:
		case since.IsZero():
			s.missing[id] = now
		case now.Sub(since) >= s.hold:
			delete(s.missing, id)
		}
	}
	return len(s.missing)
}
