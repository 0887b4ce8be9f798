package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// numbered returns the n-th request of a caller: the same content, each under its own id.
func numbered(path string, n int) *Request {
	r := call(path)
	r.ID = fmt.Sprint("r", n)
	return r
}

// restarted returns the servers of testServers in another incarnation.
func restarted(incarnation int64) []catalog.Server {
	out := testServers()
	for i := range out {
		out[i].Incarnation = incarnation
	}
	return out
}

// Guards against a plain call that crashes one server after the other, as its retries
// come with another id, at another gateway, to servers that are back at their addresses.
func TestCrashingCallIsRefusedByAllGateways(t *testing.T) {
	for _, path := range []string{"/again/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			crash := func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, lost() }
			f1, f2 := &fakeBackend{send: crash}, &fakeBackend{send: crash}
			g1, g2 := newGateway(t, f1), newGateway(t, f2)
			g1.Join(crashForwarder{g2})
			g2.Join(crashForwarder{g1})
			var last *verdict.Error
			for n := range 8 {
				for i, g := range []*Gateway{g1, g2} {
					g.SetServers(restarted(int64(n + 1)))
					_, last = g.Serve(t.Context(), numbered(path, 2*n+i))
				}
			}
			assert.Equal(t, last.Code, verdict.Crashes)
			assert.Equal(t, last.Verdict, verdict.NotRun)
			assert.Equal(t, len(f1.sends())+len(f2.sends()), 3)
		})
	}
}
