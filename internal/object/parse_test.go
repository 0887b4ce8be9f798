package object

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestParseNamesTheInvalidField(t *testing.T) {
	cases := []struct{ kind, spec, field string }{
		{KindServer, `{"format":1,"labls":{}}`, "labls"},
		{KindServer, `{"format":2,"labels":{}}`, "format"},
		{KindServer, `{"format":1,"labels":{"Role":"decode"}}`, "labels"},
		{KindServer, `{"format":1,"labels":{"role":"both"}}`, "labels.role"},
		{KindServer, `{"format":1,"labels":{"group":""}}`, "labels.group"},
		{KindServer, `{"format":1} {}`, "spec"},
		{KindPool, `{"format":1}`, "model"},
		{KindPool, `{"format":1,"model":"m","decode":{"role":"decode"}}`, "prefill"},
		{KindPool, `{"format":1,"model":"m","prefill":{"role":"prefill"}}`, "decode"},
		{KindPool, `{"format":1,"model":"m","service":{"group":"g"}}`, "service"},
		{KindSelector, `{"format":1,"targets":[]}`, "targets"},
		{KindSelector, `{"format":1,"targets":[{"pool":"a","weight":0}]}`, "targets"},
		{KindSelector, `{"format":1,"targets":[{"pool":"a","weight":-1}]}`, "targets[0].weight"},
		{KindSelector, `{"format":1,"targets":[{"pool":"a b","weight":1}]}`, "targets[0].pool"},
		{KindSelector, `{"format":1,"match":{"priorities":["x"]},"targets":[{"pool":"a","weight":1}]}`, "match.priorities"},
		{KindIntent, `{"format":1}`, "server"},
		{KindIntent, `{"format":1,"pool":"p","drain":true}`, "drain"},
		{KindIntent, `{"format":1,"pool":"p","minDecode":-1}`, "minDecode"},
		{KindOrganisation, `{"format":1,"share":0}`, "share"},
		{KindConviction, `{"format":1,"fingerprint":"xyz","until":"2026-01-01T00:00:00Z"}`, "fingerprint"},
		{KindConviction, `{"format":1,"fingerprint":"ff","until":"2026-01-01T00:00:00Z","x":1}`, "x"},
		{KindLease, `{"format":1,"holder":"x","termNanoseconds":3600000000001}`, "termNanoseconds"},
		{KindLease, `{"format":1,"holder":"x","termNanoseconds":-1}`, "termNanoseconds"},
		{KindLease, `{"format":1,"holder":"x","termNanoseconds":1e300}`, "spec"},
		{"nothing", `{}`, "kind"},
	}
	for _, c := range cases {
		_, err := Parse(c.kind, []byte(c.spec))
		assert.Check(t, cmp.ErrorContains(err, c.field), "%s %s", c.kind, c.spec)
	}
}

func TestConvictionFingerprintRoundTripsAllBits(t *testing.T) {
	in := Conviction{Format: Format, Fingerprint: 1<<64 - 1, Until: time.Unix(1e9, 0).UTC()}
	b, err := json.Marshal(in)
	assert.NilError(t, err)
	out, err := Parse(KindConviction, b)
	assert.NilError(t, err)
	assert.Equal(t, out.(Conviction), in)
}

func TestParseAcceptsValidObjects(t *testing.T) {
	cases := []struct{ kind, spec string }{
		{KindServer, `{"format":1,"labels":{"role":"decode","model":"org/m:8b"}}`},
		{KindPool, `{"format":1,"model":"m","prefill":{"role":"prefill"},"decode":{"role":"decode"}}`},
		{KindPool, `{"format":1,"service":{"group":"gallery"}}`},
		{KindSelector, `{"format":1,"order":1,"match":{"pathPrefixes":["/v1/"]},"targets":[{"pool":"p","weight":1}]}`},
		{KindIntent, `{"format":1,"server":"s","drain":true}`},
		{KindOrganisation, `{"format":1,"share":0.5}`},
		{KindLease, `{"format":1,"holder":"x","termNanoseconds":3600000000000}`},
	}
	for _, c := range cases {
		_, err := Parse(c.kind, []byte(c.spec))
		assert.Check(t, err, "%s %s", c.kind, c.spec)
	}
}
