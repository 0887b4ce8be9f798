package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
)

func generationOf(placement string) *generation {
	e := &Entry{settings: settings.DefaultEntry()}
	e.settings.Policy.Placement = placement
	r := &request{id: "r", organisation: "o", arrived: time.Now(), promptTokens: 10, maxTokens: 10}
	r.deadline = r.arrived.Add(time.Minute)
	return &generation{e: e, r: r, out: newOutput()}
}

// A baseline that applied part of the policy would silently distort every
// measurement made against it.
func TestBaselinesHaveNoAdmissionByPrediction(t *testing.T) {
	for _, p := range []string{settings.PlacementRoundRobin, settings.PlacementLeastLoaded} {
		g := generationOf(p)
		it := g.queueItem()
		assert.Assert(t, it.Deadline.IsZero() && it.Predicted == 0 && it.Organisation == "" && it.Interactive, p)
		assert.Equal(t, g.shareOrganisation(), "")
	}
	g := generationOf(settings.PlacementPolicy)
	assert.Equal(t, g.queueItem().Organisation, "o")
	assert.Assert(t, !g.queueItem().Deadline.IsZero())
	assert.Equal(t, g.shareOrganisation(), "o")
}
