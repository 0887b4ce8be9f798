package test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// Callers whose long prompt another entry's callers sent before wait for a whole
// prefill: their own entry doesn't know where it is cached and sends them to any
// of the servers. The engines publish what they cache, late; it must reach
// entries that placed none of it.
func TestCacheEventsReachOtherEntries(t *testing.T) {
	t.Parallel()
	const prompts, long, others = 24, 1500, 150
	c := newCluster(t, shape{entries: 2, prefill: 3, decode: 3, engine: enginestandin.Options{
		TokenTime: 10 * time.Millisecond, TokenTimePerSlot: time.Microsecond, EventDelay: 200 * time.Millisecond,
	}})
	prompt := func(i int) string { return strings.TrimSpace(strings.Repeat(fmt.Sprintf("desk%d ", i), long)) }
	h := &history{}
	// So close together that they are spread over the servers.
	c.load(h, prompts, 20*time.Millisecond, func(i int) ask {
		return ask{entry: c.entries[0], prompt: prompt(i), maxTokens: 5}
	}).Wait()
	// An entry hears of caches with reservations and renewals, so it must have so
	// much work that it uses all servers.
	c.load(h, others, 40*time.Millisecond, func(i int) ask {
		return ask{entry: c.entries[1], prompt: fmt.Sprint("other work ", i, strings.Repeat(" word", 1000)), maxTokens: 60}
	}).Wait()
	before := c.cachedTokens()
	for i := range prompts {
		h.add(complete(context.Background(), ask{entry: c.entries[1], prompt: prompt(i) + " and a tail", maxTokens: 5}))
	}
	whole := long / 256 * 256
	hits := float64(c.cachedTokens()-before) / float64(prompts*whole)
	report(t, "cache events: %.2f of the prompts that another entry placed were found", hits)
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: others + 2*prompts}, "%s", h.describe())
	// A third is found by chance.
	assert.Check(t, hits >= 0.8)
}

// cachedTokens sums up what the caches spared, by the engines' accounts.
func (c *cluster) cachedTokens() int {
	sum := 0
	for _, n := range c.prefill {
		for _, e := range n.record().Entries {
			if e.Kind == enginestandin.EntryPrefilled {
				sum += e.Cached
			}
		}
	}
	return sum
}
