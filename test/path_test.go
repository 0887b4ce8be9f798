package test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	servicestandin "jayford.example/jayford/internal/standin/service"
)

// One request of each kind is served through separate processes: the answer must be
// the caller's own and whole, and the request run once.
func TestPathThroughProcesses(t *testing.T) {
	t.Run("plain", func(t *testing.T) { checkPath(t, false) })
	t.Run("TLS", func(t *testing.T) { checkPath(t, true) })
}

func checkPath(t *testing.T, tls bool) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, services: 1, tls: tls})
	ctx := context.Background()
	for _, stream := range []bool{false, true} {
		got := complete(ctx, request{entry: c.entries[0], prompt: "first light", maxTokens: 12, stream: stream})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Assert(t, got.whole)
		assert.NilError(t, got.checkAnswer())
		decodes, _ := c.startCounts()
		assert.Equal(t, decodes[got.requestID], 1)
	}
	got := exchange(ctx, request{entry: c.entries[0]}, http.MethodPut, "/faces/7?size=2", []byte("body"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.text)
	var echo servicestandin.Echo
	assert.NilError(t, json.Unmarshal([]byte(got.text), &echo))
	assert.Equal(t, echo.Method+" "+echo.Path+"?"+echo.Query+" "+echo.Body, "PUT /faces/7?size=2 body")
	assert.Equal(t, len(c.services[0].calls()), 1)
}

// Guards against a call that is refused, or runs without an answer, as a header's value isn't UTF-8:
// HTTP allows it, and the messages between entries and agents didn't.
func TestHeaderThatIsNotUTF8IsForwarded(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, services: 1, service: servicestandin.Options{EchoHeaders: []string{"X-Place"}}})
	a := request{entry: c.entries[0], headers: map[string]string{"X-Place": "Z\xfcrich"}}
	got := exchange(context.Background(), a, http.MethodGet, "/faces/7", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.text)
	var echo servicestandin.Echo
	assert.NilError(t, json.Unmarshal([]byte(got.text), &echo))
	assert.Assert(t, slices.ContainsFunc(echo.Headers, func(h servicestandin.Header) bool { return h.Key == "X-Place" && len([]rune(h.Value)) == len("Zurich") }), "%v", echo.Headers)
}
