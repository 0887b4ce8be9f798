package experiment

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
)

// On a busy machine a prefill's result can expire before its decode starts. The
// direct call must repeat the prefill, as an entry does; otherwise the whole
// measurement fails.
func TestDirectCallOutlivesAnExpiredResult(t *testing.T) {
	var prefills, decodes atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathPrefill, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"kv":"kv-%d"}`, prefills.Add(1))
	})
	mux.HandleFunc(engine.PathDecode, func(w http.ResponseWriter, _ *http.Request) {
		n := decodes.Add(1)
		if n == 1 {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprint(w, `{"code":"kv-gone"}`)
			return
		}
		attempt := fmt.Sprintf(`{"attempt":{"request":"direct-7","number":%d},`, n)
		_, _ = fmt.Fprint(w, attempt+`"token":{"index":0}}`+"\n"+attempt+`"finish":"length","tokens":1}`+"\n")
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	p := &overheadRun{prefill: engine.NewHTTP(addr), decode: engine.NewHTTP(addr), source: addr}
	assert.NilError(t, p.generate(context.Background(), 7))
	assert.Equal(t, prefills.Load(), int32(2))
}
