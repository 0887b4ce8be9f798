package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToConvict is how many servers may break off under one content
	// before it is refused. One or two happen to any request when servers are
	// replaced; a third, each on another server and within crashMemory, hardly.
	crashesToConvict = 3
	crashMemory      = 30 * time.Second
	// maxContents bounds the contents that are remembered.
	maxContents = 4096
)

// crashes remembers under which contents servers broke off. A request that
// crashes its server comes again, by its caller's retry under another id, and
// would take one server after the other down with all that runs there. It may come
// to another gateway each time, so they tell each other.
type crashes struct {
	mu sync.Mutex
	// seen is guarded by mu: by fingerprint, the keys of engines lost under it and
	// when the last one was.
	seen map[uint64]*lostUnder
}

type lostUnder struct {
	engines map[uint64]bool
	last    time.Time
}

// note says that an engine, by its key, broke off under a content. It reports
// whether that was news.
func (c *crashes) note(fp, engine uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[uint64]*lostUnder{}
	}
	if len(c.seen) >= maxContents {
		c.forget(now)
	}
	x := c.seen[fp]
	if x == nil || now.Sub(x.last) > crashMemory {
		x = &lostUnder{engines: map[uint64]bool{}}
		c.seen[fp] = x
	}
	known := x.engines[engine]
	x.engines[engine] = true
	x.last = now
	return !known
}

// forget drops what is old, and all if nothing is.
func (c *crashes) forget(now time.Time) {
	for fp, x := range c.seen {
		if now.Sub(x.last) > crashMemory {
			delete(c.seen, fp)
		}
	}
	if len(c.seen) >= maxContents {
		clear(c.seen)
	}
}

// cleared notes that a content ended well.
func (c *crashes) cleared(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, fp)
}

func (c *crashes) convicted(fp uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.seen[fp]
	return x != nil && len(x.engines) >= crashesToConvict && now.Sub(x.last) <= crashMemory
}

// fingerprint tells contents apart: a caller's retry has another id.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.URI, "\x00", r.Content, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
