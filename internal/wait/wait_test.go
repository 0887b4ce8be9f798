package wait

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, Sleep(ctx, time.Millisecond))
	assert.Assert(t, Sleep(ctx, 0))
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	assert.Assert(t, !Sleep(ctx, time.Minute))
	assert.Assert(t, time.Since(began) < 10*time.Second)
	assert.Assert(t, !Sleep(ctx, 0))
}
