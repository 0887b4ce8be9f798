package entry

import (
	"github.com/VictoriaMetrics/metrics"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/place"
)

var cacheNews = metrics.NewCounter("jayford_cache_news_total")

// caches gives the entry's prefix index to its connections with agents.
type caches struct{ e *Entry }

// Cursor implements agents.CacheIndex.
func (c caches) Cursor(id string) (epoch, after uint32) {
	c.e.policyMu.Lock()
	defer c.e.policyMu.Unlock()
	return c.e.prefixes.Cursor(id)
}

// Told implements agents.CacheIndex.
func (c caches) Told(id string, n *pb.CacheNews) {
	cacheNews.Add(len(n.GetAdded()) + len(n.GetRemoved()))
	c.e.policyMu.Lock()
	defer c.e.policyMu.Unlock()
	c.e.prefixes.Told(id, place.News{
		Epoch: n.GetEpoch(), Sequence: n.GetSequence(), Gap: n.GetGap(),
		Added: n.GetAdded(), Removed: n.GetRemoved(),
	})
}
