package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The command adds up what the gateways used, in the format of their dumps.
func TestQuotasOfAllGateways(t *testing.T) {
	b := newFixture(t)
	var addresses []string
	for range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"quotas":{"one":{"PerSecond":1000,"Burst":500,"Used":70,"Refused":2,"Held":10,"ListAge":1.5}},"servers":[]}`))
		}))
		defer srv.Close()
		addresses = append(addresses, "--operator", strings.TrimPrefix(srv.URL, "http://"))
	}
	out := b.run(ExitOK, append([]string{"quotas"}, addresses...)...)
	assert.Equal(t, out, "ORGANISATION  PER SECOND  BURST  USED  HELD  REFUSED  LIST AGE (s)\none           1000        500    140   20    4        1.5\n")
	out = b.run(ExitOK, append([]string{"--output", "json", "quotas"}, addresses...)...)
	assert.Assert(t, strings.Contains(out, `"used": 140`), out)
	b.run(ExitUsage, "quotas")
}
