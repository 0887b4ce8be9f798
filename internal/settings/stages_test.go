package settings

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bounds of the split that contradict its share.
func TestBoundsOfThePrefillShare(t *testing.T) {
	for _, x := range []struct {
		stages, problem string
	}{
		{`"prefillShare": 0.2`, ""},
		{`"prefillShare": 0.2, "maxPrefillShare": 0.35`, ""},
		{`"prefillShare": 0.2, "minPrefillShare": 0.1, "maxPrefillShare": 0.35`, ""},
		{`"prefillShare": 0.2, "minPrefillShare": 0.3`, "stages.minPrefillShare: expected 0 to 0.2"},
		{`"prefillShare": 0.2, "minPrefillShare": -0.1`, "stages.minPrefillShare: expected 0 to 0.2"},
		{`"prefillShare": 0.2, "maxPrefillShare": 0.1`, "stages.maxPrefillShare: expected 0.2 to 1"},
		{`"prefillShare": 0.2, "maxPrefillShare": 1.1`, "stages.maxPrefillShare: expected 0.2 to 1"},
	} {
		text := fmt.Sprintf(`{"id": "g1", "region": "r", "availabilityZone": "a", "peer": "127.0.0.1:1", "operator": "127.0.0.1:2",
"platform": "127.0.0.1:3", "listen": "127.0.0.1:4", "ready": "127.0.0.1:5", "stages": {%s}}`, x.stages)
		_, err := ParseGateway("g.json", []byte(text))
		if x.problem == "" {
			assert.NilError(t, err, x.stages)
		} else {
			assert.ErrorContains(t, err, x.problem)
		}
	}
}
