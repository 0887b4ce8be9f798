package lease

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// oneObject is a store with one lease object.
type oneObject struct {
	platform.Store
	object platform.Object
}

func (s *oneObject) Get(context.Context, string, string) (platform.Object, error) {
	return s.object, nil
}

func (s *oneObject) Put(_ context.Context, o platform.Object) (uint64, error) {
	if o.Version != s.object.Version {
		return 0, platform.ErrConflict
	}
	o.Version++
	s.object = o
	return o.Version, nil
}

// Guards against a lease that nobody acquires again after another writer left an odd object in its
// place, or one whose term ends in centuries.
func TestOddLeaseIsReplacedAfterATerm(t *testing.T) {
	for _, spec := range []string{
		``, `null`, `7`, `[]`, strings.Repeat("[", 10_001), `{"format":9}`, `{"format":1,"holder":7}`, `{"format":1,"holder":"x","renewals":-1}`,
		`{"format":1,"holder":"x","termNanoseconds":9223372036854775807}`, `{"format":1,"holder":"x","termNanoseconds":-9223372036854775808}`,
		`{"format":1,"holder":"x","termNanoseconds":1e300}`, fmt.Sprintf(`{"format":1,"holder":%q}`, strings.Repeat("h", 100_000)),
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &oneObject{object: platform.Object{Version: 7, Spec: []byte(spec)}}
			r := NewRunner(Options{Store: s, Scope: "scope", Self: "a#1", Term: 4 * time.Second, Candidate: func() bool { return true }})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx) }()
			time.Sleep(9 * time.Second)
			_, held := r.FencingToken()
			assert.Check(t, held, "%.100s", spec)
			cancel()
			assert.NilError(t, <-done)
		})
	}
}
