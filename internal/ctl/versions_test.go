package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The command adds up what the gateways counted, in the format of their dumps.
func TestVersionsOfAllGateways(t *testing.T) {
	b := newFixture(t)
	var addresses []string
	for range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"versions":{"Versions":[{"Service":"lm","Software":"v1","Servers":2}],"Streams":{"lm":{"caller resumed":3}}}}`))
		}))
		defer srv.Close()
		addresses = append(addresses, "--operator", strings.TrimPrefix(srv.URL, "http://"))
	}
	out := b.run(ExitOK, append([]string{"versions"}, addresses...)...)
	assert.Equal(t, out, "SERVICE  VERSION OR RESUMPTIONS       NUMBER\nlm       servers of \"v1\"              2\nlm       resumptions, caller resumed  6\n")
	out = b.run(ExitOK, append([]string{"--output", "json", "versions"}, addresses...)...)
	assert.Assert(t, strings.Contains(out, `"caller resumed": 6`), out)
	b.run(ExitUsage, "versions")
}
