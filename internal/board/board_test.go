package board

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTableUpdateAndDump(t *testing.T) {
	b := New()
	tab := NewTable[int](b, "numbers")
	add := func(v int, _ bool) (int, bool) { return v + 1, true }
	tab.Update("a", add)
	tab.Update("a", add)
	v, ok := tab.Get("a")
	assert.Assert(t, ok)
	assert.Equal(t, v, 2)
	tab.Update("a", func(int, bool) (int, bool) { return 0, false })
	assert.Equal(t, tab.Len(), 0)
	tab.Put("b", 7)
	dump, err := b.Dump()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(dump), `"b": 7`), string(dump))
}
