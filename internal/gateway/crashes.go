package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is how many engines must be lost under a request before it is
	// refused. One or two losses happen to any request while servers are replaced; a
	// third on yet another server, within crashWindow of the one before, hardly ever does.
	crashThreshold = 3
	crashWindow    = 30 * time.Second
	// maxCrashRecords bounds the requests that are tracked.
	maxCrashRecords = 4096
)

// crashTracker counts the engines that were lost while they ran a request, by the
// request's fingerprint. The caller of a request that crashes its engine retries it
// under another id, which would crash one engine after the other with all that runs
// there. The retries reach different gateways, so the gateways exchange these losses.
type crashTracker struct {
	mu sync.Mutex
	// records is guarded by mu. It has the keys of the engines lost under each
	// fingerprint, and when the last one was.
	records map[uint64]*crashRecord
}

type crashRecord struct {
	engines map[uint64]bool
	last    time.Time
}

// record records the loss of an engine, given by its key, under a request. It reports
// whether the loss was unknown before.
func (c *crashTracker) record(fp, engine uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[uint64]*crashRecord{}
	}
	if len(c.records) >= maxCrashRecords {
		c.evict(now)
	}
	x := c.records[fp]
	if x == nil || now.Sub(x.last) > crashWindow {
		x = &crashRecord{engines: map[uint64]bool{}}
		c.records[fp] = x
	}
	known := x.engines[engine]
	x.engines[engine] = true
	x.last = now
	return !known
}

// evict drops the expired records, and all of them if there are still too many.
func (c *crashTracker) evict(now time.Time) {
	for fp, x := range c.records {
		if now.Sub(x.last) > crashWindow {
			delete(c.records, fp)
		}
	}
	if len(c.records) >= maxCrashRecords {
		clear(c.records)
	}
}

// clear drops the record of a request that completed.
func (c *crashTracker) clear(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, fp)
}

func (c *crashTracker) blocked(fp uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.records[fp]
	return x != nil && len(x.engines) >= crashThreshold && now.Sub(x.last) <= crashWindow
}

// formatFingerprint returns a fingerprint as it is logged.
func formatFingerprint(fp uint64) string { return strconv.FormatUint(fp, 16) }

// fingerprint identifies a request by its content, as a caller's retry has another id.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.URI, "\x00", r.Content, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
