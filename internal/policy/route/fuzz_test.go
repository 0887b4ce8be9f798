package route

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"jayford.example/jayford/internal/object"
)

// FuzzSelector passes arbitrary stored selectors to object.Parse and Pick. A selector
// that is accepted must not change when it is encoded and parsed again, and Pick must
// return only targets of the selector with a positive weight.
func FuzzSelector(f *testing.F) {
	for _, s := range []string{
		`{"format":1,"order":10,"match":{"models":["m"]},"targets":[{"pool":"p","weight":1}]}`,
		`{"format":1,"order":-1,"match":{},"targets":[{"pool":"a","weight":0},{"pool":"b","weight":1000000}],"priority":"batch"}`,
		`{"format":1,"match":{"pathPrefixes":["/"],"methods":["GET"],"groups":["g"],"availabilityZones":["z"],"organisations":["o"],"priorities":["interactive"]},"targets":[{"pool":"p","weight":3}]}`,
		`{"format":1,"targets":[]}`,
		`{"format":2,"targets":[{"pool":"p","weight":1}]}`,
		`{"format":1,"match":{"models":null},"targets":[{"pool":"p","weight":-5}]}`,
		`{"format":1,"order":1e99}`,
		`{"format":1}{"format":1}`,
		`[]`,
	} {
		f.Add([]byte(s), "m", "/x", 0.5)
	}
	f.Fuzz(func(t *testing.T, spec []byte, model, path string, sticky float64) {
		v, err := object.Parse(object.KindSelector, spec)
		if err != nil {
			return
		}
		s, ok := v.(object.Selector)
		if !ok {
			t.Fatalf("%T", v)
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		back, err := object.Parse(object.KindSelector, again)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		twice, err := json.Marshal(back)
		if err != nil || !reflect.DeepEqual(again, twice) {
			t.Fatalf("%s became %s", again, twice)
		}
		if !(sticky >= 0 && sticky < 1) {
			return
		}
		c, ok := Pick([]Named{{Name: "s", Selector: s}}, Request{Model: model, Method: "GET", Path: path, Priority: "interactive"}, sticky)
		if ok && !slices.ContainsFunc(s.Targets, func(x object.Target) bool { return x.Pool == c.Pool && x.Weight > 0 }) {
			t.Fatalf("picked %q of %v", c.Pool, s.Targets)
		}
	})
}
