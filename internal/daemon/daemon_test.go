package daemon

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against a part that fails and thereby ends the parts that requests in progress need: the
// role drains first.
func TestPartsRunUntilTheRoleHasDrainedAfterAFailure(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	failure := errors.New("no listener")
	othersEnded := make(chan struct{})
	endedFirst := false
	role := func(ctx context.Context) error {
		<-ctx.Done()
		select {
		case <-othersEnded:
			endedFirst = true
		case <-time.After(200 * time.Millisecond):
		}
		return nil
	}
	other := func(ctx context.Context) error {
		<-ctx.Done()
		close(othersEnded)
		return nil
	}
	err := run(
		t.Context(), log, part{"role", role}, part{"other", other},
		part{"broken", func(context.Context) error { return failure }},
	)
	assert.ErrorIs(t, err, failure)
	assert.Assert(t, !endedFirst)
}
