package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/verdict"
)

// Guards against a call that waits, or asks again, while all services have asked for a pause.
func TestAllServicesPausingRefuseAtOnce(t *testing.T) {
	a, b := &fakeAgent{paused: 3 * time.Second}, &fakeAgent{paused: time.Second}
	l, m := listen(t), listen(t)
	a.serve(t, l)
	b.serve(t, m)
	e, p := serviceEntry(map[string]string{"a": l.Addr().String(), "b": m.Addr().String()})
	began := time.Now()
	_, err := post(t.Context(), e, p)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, err.Code, verdict.Overloaded)
	assert.Assert(t, err.RetryAfter > 0 && err.RetryAfter <= time.Second, "%s", err.RetryAfter)
	assert.Equal(t, a.calls.Load()+b.calls.Load(), int32(2))
}

// Guards against a refusal while one service doesn't pause.
func TestCallGoesToTheServiceThatDoesNotPause(t *testing.T) {
	for range 10 {
		a, b := &fakeAgent{paused: 3 * time.Second}, &fakeAgent{}
		l, m := listen(t), listen(t)
		a.serve(t, l)
		b.serve(t, m)
		e, p := serviceEntry(map[string]string{"a": l.Addr().String(), "b": m.Addr().String()})
		_, err := post(t.Context(), e, p)
		assert.Assert(t, err == nil, "%v", err)
		assert.Assert(t, a.calls.Load() <= 1)
	}
}
