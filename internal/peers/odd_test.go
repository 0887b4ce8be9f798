package peers

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// oddSpecs are specs that another writer may leave in a gateway's object "2".
func oddSpecs() []string {
	valid := `{"id":"2","address":"10.0.0.2:2","availabilityZone":"a","renewals":1,`
	return []string{
		``, `null`, `7`, `[]`, `{}`, `{"id":"3","address":"10.0.0.2:2"}`, strings.Repeat("[", 10_001), "\xff",
		`{"id":"2","address":"` + strings.Repeat("1", 10_000) + `"}`, valid + `"quota":"` + strings.Repeat("1", 10_000) + `"}`, valid + `"uptimeMs":-1}`, valid + `"uptimeMs":9223372036854775807}`, valid + `"uptimeMs":1e300}`,
		valid + `"renewals":-1}`, valid + `"convictions":{}}`,
	}
}

// Guards against a gateway that never renews its object again, as another writer left an odd one
// in its place: the others would count it as gone.
func TestGatewayReplacesItsOddObject(t *testing.T) {
	for _, spec := range oddSpecs() {
		s := &memoryStore{objects: map[string]platform.Object{"2": {Name: "2", Version: 7, Spec: []byte(spec)}}}
		m := members(s, "2")
		assert.NilError(t, m.readAndRenew(t.Context()), spec)
		assert.Equal(t, s.objects["2"].Version, uint64(8))
	}
}

// Guards against a gateway's object with values that can't be true, which would get datagrams and
// a part of shared budgets.
func TestOddObjectsNameNoGateway(t *testing.T) {
	for _, spec := range oddSpecs() {
		s := &memoryStore{objects: map[string]platform.Object{"1": stored(t, "1"), "2": {Name: "2", Version: 7, Spec: []byte(spec)}, "3": stored(t, "3")}}
		m := members(s, "1")
		assert.NilError(t, m.readAndRenew(t.Context()))
		assert.Equal(t, len(m.List()), 2, "%.100s", spec)
	}
}

// Guards against log lines on the same odd object at each reading, every ten seconds.
func TestOddObjectIsLoggedOnce(t *testing.T) {
	log, hook := test.NewNullLogger()
	m := New(nil, Peer{ID: "1"}, logrus.NewEntry(log))
	read := func(version uint64) int {
		hook.Reset()
		m.apply([]platform.Object{{Name: "2", Version: version, Spec: []byte("{")}}, time.Now())
		return len(hook.AllEntries())
	}
	assert.Equal(t, read(7), 1)
	assert.Equal(t, read(7), 0)
	assert.Equal(t, read(8), 1)
	m.apply(nil, time.Now())
	assert.Equal(t, len(m.invalid), 0)
}
