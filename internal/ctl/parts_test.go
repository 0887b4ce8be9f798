package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The command shows what the gateways hold against parts, in the format of their dumps, and has
// them clear one for a reason.
func TestPartsOfAllGateways(t *testing.T) {
	b := newFixture(t)
	var addresses []string
	var orders []string
	for range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				orders = append(orders, r.URL.Path+" "+r.FormValue("part")+" "+r.FormValue("reason"))
				_, _ = w.Write([]byte(`{"Cleared":true}`))
				return
			}
			_, _ = w.Write([]byte(`{"parts":[{"ID":"5c1e07a2","Model":"m","Hash":"ab","Refused":["5c1e07a2","91bd"],"Evidence":{` +
				`"Since":"2026-01-02T03:04:05Z","Last":"2026-01-02T03:04:06Z","Until":"2026-01-02T03:14:06Z","Crashes":3,"Requests":4}}]}`))
		}))
		defer srv.Close()
		addresses = append(addresses, "--operator", strings.TrimPrefix(srv.URL, "http://"))
	}
	out := b.run(ExitOK, append([]string{"parts"}, addresses...)...)
	assert.Equal(t, out, "HASH  PART      MODEL  REFUSED WITH       GATEWAYS  CRASHES  REQUESTS  SINCE                 UNTIL\n"+
		"ab    5c1e07a2  m      5c1e07a2 and 91bd  2         3        4         2026-01-02T03:04:05Z  2026-01-02T03:14:06Z\n")
	b.run(ExitUsage, append([]string{"parts", "--clear", "ab"}, addresses...)...)
	out = b.run(ExitOK, append([]string{"parts", "--clear", "ab", "--reason", "engine fixed"}, addresses...)...)
	assert.Assert(t, strings.Contains(out, "cleared at 2 of 2 gateways"), out)
	assert.DeepEqual(t, orders, []string{"/parts/clear ab engine fixed", "/parts/clear ab engine fixed"})
}
