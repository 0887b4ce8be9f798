package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const goodEntry = `{
  // The first entry.
  "id": "entry-1", "region": "zurich", "availabilityZone": "zurich-a",
  "peer": "127.0.0.1:7001", "operator": "127.0.0.1:7002",
  "platform": "127.0.0.1:7000", "listen": "[::1]:0",
  "seeds": ["127.0.0.1:7003"],
  "limits": {"maxQueue": 300, "writeTimeout": "2s",},
}`

const goodAgent = `{
  "id": "agent-1", "region": "zurich", "availabilityZone": "zurich-a",
  "peer": "127.0.0.1:7001", "operator": "127.0.0.1:7002",
  "platform": "127.0.0.1:7000", "backend": "127.0.0.1:9000", "lapseAfter": "3s"
}`

func TestLoadKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	assert.NilError(t, os.WriteFile(path, []byte(goodEntry), 0o600))
	e, err := LoadEntry(path)
	assert.NilError(t, err)
	assert.Equal(t, e.ID, "entry-1")
	assert.Equal(t, e.Limits.MaxQueue, 300)
	assert.Equal(t, e.Limits.WriteTimeout.D(), 2*time.Second)
	assert.Equal(t, e.Limits.MaxConnections, DefaultEntry().Limits.MaxConnections)

	a, err := ParseAgent("a.json", []byte(goodAgent))
	assert.NilError(t, err)
	assert.Equal(t, a.LapseAfter.D(), 3*time.Second)
	assert.Equal(t, a.Slots, DefaultAgent().Slots)

	_, err = LoadAgent(path + ".missing")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestParseListsAllProblems(t *testing.T) {
	text := `{
  "id": "entry 1", "region": "zurich", "availabilityZone": "zurich-a",
  "peer": "localhost:7001",
  "operator": "127.0.0.1:7002",
  "platform": "127.0.0.1:0", "listen": "127.0.0.1:8080",
  "limits": {
    "writeTimeout": 2000,
    "maxQueu": 3,
    "maxQueue": "many",
    "maxBodyBytes": 1
  },
  "stopWithin": "9h",
  "stopWithin": "1s"
}`
	_, err := ParseEntry("e.json", []byte(text))
	want := `e.json:2: id: expected 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or digit
e.json:3: peer: expected "ip:port" with an IP number, no DNS name
e.json:5: platform: expected "ip:port" with an IP number, no DNS name
e.json:7: limits.writeTimeout: expected a duration with its unit, such as "250ms", "10s" or "5m"
e.json:8: limits.maxQueu: unknown key, expected one of defaultDeadline, maxBodyBytes, maxConnections, maxDeadline, maxHeaderBytes, maxHeldBytes, maxQueue, maxQueuePerOrganisation, writeTimeout
e.json:9: limits.maxQueue: expected a whole number
e.json:10: limits.maxBodyBytes: expected 1024 to 1073741824
e.json:13: stopWithin: repeated key, expected it once`
	assert.Error(t, err, want)
}

func TestParseAgentRejects(t *testing.T) {
	for text, want := range map[string]string{
		"":                      "a.json:1: syntax:",
		"{\n,":                  "a.json:2: syntax:",
		"[]":                    "a.json:1: file: expected an object",
		"{}":                    "a.json:1: backend: expected \"ip:port\"",
		"null":                  "a.json:1: file: expected an object",
		`{"x":1}`:               "a.json:1: x: unknown key",
		`{"backendKind":"gpu"}`: "a.json:1: backendKind: expected one of engine, service",
		`{"lapseAfter":"1ms"}`:  "a.json:1: lapseAfter: expected 100ms to 1m0s",
	} {
		_, err := ParseAgent("a.json", []byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{goodEntry, goodAgent, "", "{", `{"seeds":[null]}`, `{"limits":{"maxQueue":1e99}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = ParseAgent("a.json", text)
		e, err := ParseEntry("e.json", text)
		if err != nil {
			return
		}
		// Accepted settings survive a round trip through JSON.
		again, err := json.Marshal(e)
		assert.NilError(t, err)
		e2, err := ParseEntry("e.json", again)
		assert.NilError(t, err)
		assert.DeepEqual(t, e, e2)
	})
}
