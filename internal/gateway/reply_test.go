package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/upstream"
)

// Guards against answers that are buffered for callers who don't read, beyond the memory that there is.
func TestReplyIsBufferedWithinItsMemory(t *testing.T) {
	for name, x := range map[string]struct {
		size    int
		memory  int64
		charged int64
		whole   bool
	}{
		"small":               {size: 1000, whole: true},
		"fits":                {size: 30 << 10, memory: 1 << 20, charged: 80 << 10, whole: true},
		"larger than buffers": {size: 100 << 10, memory: 1 << 20, charged: 80 << 10},
		"no memory":           {size: 100 << 10},
		"little memory":       {size: 100 << 10, memory: 20 << 10, charged: 16 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte{'x'}, x.size)
			var charged int64
			r, err := bufferReply(&Answer{Response: &upstream.Response{Length: -1, Body: io.NopCloser(bytes.NewReader(body))}}, func(n int64) bool {
				if charged+n > x.memory {
					return false
				}
				charged += n
				return true
			})
			assert.Assert(t, err == nil, "%v", err)
			assert.Equal(t, charged, x.charged)
			assert.Equal(t, r.Length == int64(x.size), x.whole)
			got, readErr := io.ReadAll(r.Body)
			assert.NilError(t, readErr)
			assert.Assert(t, bytes.Equal(got, body))
		})
	}
	broken := io.MultiReader(bytes.NewReader(make([]byte, 100)), brokenReader{})
	_, err := bufferReply(&Answer{Response: &upstream.Response{Body: io.NopCloser(broken)}}, func(int64) bool { return true })
	assert.ErrorContains(t, err, "broke its answer off")
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }
