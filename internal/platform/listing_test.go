package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// storeThatAnswers returns a client of a platform that gives each call the same response.
func storeThatAnswers(t *testing.T, body string) *HTTP {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(srv.Close)
	return NewHTTP(srv.Listener.Addr().String(), 5*time.Second)
}

// Guards against one odd object that fails listings and watches as a whole: processes would follow
// no change of the configuration.
func TestOddObjectLeavesTheOthers(t *testing.T) {
	const levels = 10_001
	named := func(field string) string { return `{"kind":"pool","name":"odd","version":3,` + field + `}` }
	for _, odd := range []struct {
		text string
		kept bool
	}{
		{named(`"spec":` + strings.Repeat("[", levels) + strings.Repeat("]", levels)), true},
		{named(`"spec":` + strings.Repeat(`{"a":`, levels) + "0" + strings.Repeat("}", levels)), true},
		{named(`"other":` + strings.Repeat("[", levels) + strings.Repeat("]", levels)), true},
		{`null`, false},
		{`7`, false},
		{`{}`, false},
		{named(`"name":7`), false},
		{named(`"version":-1`), false},
		{named(`"operation":[]`), false},
	} {
		body := fmt.Sprintf(`{"revision":9,"objects":[%s,{"kind":"pool","name":"good","version":4,"spec":{"a":1}}]}`, odd.text)
		store := storeThatAnswers(t, body)
		list, err := store.List(t.Context(), "pool")
		assert.NilError(t, err)
		watch, err := store.Watch(t.Context(), "pool", 1)
		assert.NilError(t, err)
		for _, l := range []Listing{list, watch} {
			assert.Equal(t, l.Revision, uint64(9))
			good := l.Objects[len(l.Objects)-1]
			assert.DeepEqual(t, good, Object{Kind: "pool", Name: "good", Version: 4, Spec: []byte(`{"a":1}`)})
			assert.Equal(t, len(l.Objects) == 2, odd.kept, "%.100s", odd.text)
		}
		o, err := storeThatAnswers(t, odd.text).Get(t.Context(), "pool", "odd")
		assert.Equal(t, err == nil, odd.kept, "%.100s", odd.text)
		assert.Equal(t, !odd.kept || o.Version == 3, true)
	}
}

// Guards against a response that was cut short being taken for a shorter list.
func TestMalformedListingsAreErrors(t *testing.T) {
	const whole = `{"revision":9,"objects":[{"kind":"pool","name":"good","version":4,"spec":{"a":1}}]}`
	for n := range whole {
		_, err := storeThatAnswers(t, whole[:n]).List(t.Context(), "pool")
		assert.ErrorIs(t, err, ErrUnavailable, whole[:n])
	}
	for _, text := range []string{whole + "}", `[]`, `null`, `{"revision":-1}`, `{"revision":"9"}`, `{"objects":{}}`, `{"objects":7}`, `{"objects":[,]}`} {
		_, err := storeThatAnswers(t, text).List(t.Context(), "pool")
		assert.ErrorIs(t, err, ErrUnavailable, text)
	}
}
