package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
)

// A pool is short of one prefill engine, and one is moved. The label shows the
// change at once, the engine's report some seconds later, and until then the pool
// still looks short. No second engine may be moved for the same shortage: nothing
// would move it back.
func TestOneLackMovesOneEngine(t *testing.T) {
	const reportLag = 7500 * time.Millisecond
	p := newPool(1, 5)
	p.MinPrefill = 2
	c := New(Options{})
	now := time.Unix(0, 0)
	var first *Order
	var done time.Time
	for range 300 {
		now = now.Add(time.Second)
		for _, o := range c.Tick(now, true, []Pool{*p}) {
			assert.Assert(t, first == nil, "%s was moved as well", o.Server)
			first, done = &o, now
			applyLabel(p, o)
			c.Done(now, o, true)
		}
		if first != nil && now.Sub(done) >= reportLag {
			p.apply(*first)
		}
	}
	assert.Assert(t, first != nil, "none was moved")
	assert.Equal(t, p.serving(object.RolePrefill), 2)
}

// applyLabel shows an order in the labels only.
func applyLabel(p *Pool, o Order) {
	for i := range p.Servers {
		if p.Servers[i].ID == o.Server {
			p.Servers[i].Role = o.Value
		}
	}
}
