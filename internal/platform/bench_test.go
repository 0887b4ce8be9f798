package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/broken"
)

// BenchmarkPut makes one write after the other at a platform on loopback.
func BenchmarkPut(b *testing.B) {
	h := NewHTTP(broken.Serve(b, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"version\":1}").Address(), time.Second)
	b.ReportAllocs()
	for b.Loop() {
		_, err := h.Put(b.Context(), Object{Kind: "k", Name: "n"})
		assert.NilError(b, err)
	}
}
