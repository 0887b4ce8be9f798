package origin

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Served is a software version that servers of a service had, both as Hashes.
type Served struct{ Service, Software uint64 }

// History knows which software versions served lately. It isn't safe for concurrent use.
type History struct {
	// since is when the versions began to be followed without a gap, zero before the first list.
	since time.Time
	// complete: what served before that is known too.
	complete bool
	// confirmed is the latest moment as of which no version is missing, on the clock of package
	// boottime, 0 for none.
	confirmed time.Duration
	// listed are the versions of the servers listed now, with the number of these, and
	// last when each version was last listed.
	listed map[Served]int
	last   map[Served]time.Time
}

// HistoryTTL is how long a version that is no longer listed is remembered.
const HistoryTTL = 10 * time.Minute

// NewHistory returns the History of a process that has no list yet.
func NewHistory() *History {
	return &History{listed: map[Served]int{}, last: map[Served]time.Time{}}
}

// Update sets the number of listed servers by version, and reports whether a version came or
// went.
func (h *History) Update(listed map[Served]int, now time.Time) bool {
	if h.since.IsZero() {
		h.since = now
	}
	changed := false
	for s := range h.listed {
		h.last[s] = now
		changed = changed || listed[s] == 0
	}
	for s := range listed {
		h.last[s] = now
		changed = changed || h.listed[s] == 0
	}
	h.listed = maps.Clone(listed)
	maps.DeleteFunc(h.last, func(s Served, at time.Time) bool { return h.listed[s] == 0 && now.Sub(at) > HistoryTTL })
	return changed
}

// Observe records that a version was listed for a moment between two Updates, and reports whether
// the last one lacked it.
func (h *History) Observe(s Served, now time.Time) (isNew bool) {
	h.last[s] = now
	return h.listed[s] == 0
}

// Restart records that the next Update has a list that doesn't continue the one before, as the
// changes in between were lost: versions may have come and gone.
func (h *History) Restart(now time.Time) { h.since, h.complete = now, false }

// Confirm records that all servers that were stored before a moment (package boottime) have been
// part of an Update, or passed to Observe.
func (h *History) Confirm(at time.Duration) { h.confirmed = max(h.confirmed, at) }

// IsConfirmed reports whether no version is missing that was stored before a moment.
func (h *History) IsConfirmed(at time.Duration) bool { return h.confirmed > 0 && h.confirmed >= at }

// SetComplete records that all versions are known that served before the first list, or the last
// Restart.
func (h *History) SetComplete() { h.complete = true }

// IsComplete reports whether all versions are known that served within a time before now.
func (h *History) IsComplete(within time.Duration, now time.Time) bool {
	if h.since.IsZero() || within > HistoryTTL {
		return false
	}
	return h.complete || now.Sub(h.since) > within
}

// Digest returns a digest of the versions that servers had within a time before now, 0 for
// none.
func (h *History) Digest(within time.Duration, now time.Time) uint64 {
	out := uint64(0)
	for _, s := range h.Since(within, now) {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], s.Service)
		binary.LittleEndian.PutUint64(b[8:], s.Software)
		out ^= xxhash.Sum64(b[:])
	}
	return out
}

// Since returns the versions that servers had within a time before now.
func (h *History) Since(within time.Duration, now time.Time) []Served {
	var out []Served
	for s, at := range h.last {
		if h.listed[s] > 0 || now.Sub(at) <= within {
			out = append(out, s)
		}
	}
	return out
}

// Sole returns the one version that the listed servers of some services had within a time before
// now. It returns 0 if they had several, one of them isn't known, or there may have been others
// before the first list or a Restart. Other processes may know of more, unless IsConfirmed.
func (h *History) Sole(services []uint64, within time.Duration, now time.Time) uint64 {
	if !h.IsComplete(within, now) {
		return 0
	}
	sole := uint64(0)
	for _, s := range h.Since(within, now) {
		if !slices.Contains(services, s.Service) {
			continue
		}
		if s.Software == 0 || sole != 0 && sole != s.Software {
			return 0
		}
		sole = s.Software
	}
	return sole
}
