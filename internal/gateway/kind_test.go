package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// allowRepeats changes all routes so that their requests may run again.
func allowRepeats(g *Gateway) {
	c := testConfig()
	c.Version++
	for i := range c.Routes {
		c.Routes[i].Resume = true
		if c.Routes[i].Kind == catalog.NonIdempotent {
			c.Routes[i].Kind = catalog.Idempotent
		}
	}
	g.SetConfig(c)
}

// Guards against a request that must run at most once and goes to a second server, as its route allows
// that from a configuration on that came after it.
func TestRequestIsNotRepeatedByALaterConfiguration(t *testing.T) {
	for name, x := range map[string]struct {
		request *Request
		answer  func() (*Answer, *verdict.Error)
	}{
		"call is lost":         {call("/once/x"), func() (*Answer, *verdict.Error) { return nil, lost() }},
		"stream is lost":       {generation("/stream-once/x"), func() (*Answer, *verdict.Error) { return nil, lost() }},
		"stream without event": {generation("/stream-once/x"), func() (*Answer, *verdict.Error) { return scripted(io.ErrUnexpectedEOF), nil }},
		"stream breaks off": {generation("/stream-once/x"), func() (*Answer, *verdict.Error) {
			return scripted(io.ErrUnexpectedEOF, step{0, []string{"1"}}, step{time.Second, nil}), nil
		}},
		"stream is silent": {generation("/stream-once/x"), func() (*Answer, *verdict.Error) { return silentAfterTwo(longSilence), nil }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(scriptEnd)
				f := &fakeBackend{}
				g := newGateway(t, f)
				f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
					allowRepeats(g)
					return x.answer()
				}
				x.request.Arrived = time.Now()
				reply, err := g.Serve(t.Context(), x.request)
				if err == nil {
					_, _ = io.Copy(io.Discard, reply.Body)
					reply.discard()
				} else {
					assert.Equal(t, err.Verdict, verdict.MayHaveRun)
				}
				assert.Equal(t, len(f.sends()), 1)
			})
		})
	}
}
