package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/verdict"
)

// newPair returns two gateways before f that tell each other of losses.
func newPair(t *testing.T, f *fakeBackend) [2]*Gateway {
	t.Helper()
	g1, g2 := newGateway(t, f), newGateway(t, f)
	g1.Join(crashForwarder{g2})
	g2.Join(crashForwarder{g1})
	return [2]*Gateway{g1, g2}
}

// loseTogether reports that three servers were lost under all of the requests.
func loseTogether(gateways [2]*Gateway, requests ...*Request) {
	for server := range uint64(3) {
		at := time.Now().Add(time.Duration(server)*time.Second - 2*time.Second)
		for _, r := range requests {
			for _, g := range gateways {
				g.RecordPeerLoss(blame.Loss{Request: r.fingerprint(""), Server: server, ID: 1, Began: at.Add(-time.Millisecond), Lost: at})
			}
		}
	}
}

// Guards against a request that crashes several servers at once when it is let through again, as
// its copies come to all gateways at the same moment.
func TestSuspectRunsAtOneGatewayAtATime(t *testing.T) {
	var running, together, sent atomic.Int64
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		sent.Add(1)
		together.Store(max(together.Load(), running.Add(1)))
		time.Sleep(5 * crashTime)
		running.Add(-1)
		return nil, lost()
	}}
	gateways := newPair(t, f)
	loseTogether(gateways, call("/again/x"), call("/again/beside"))
	time.Sleep(blame.DefaultSettleTime + judgeMargin)
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() { _, _ = gateways[n%2].Serve(t.Context(), numbered("/again/x", n)) })
	}
	group.Wait()
	_, err := gateways[0].Serve(t.Context(), numbered("/again/x", 9))
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.Equal(t, together.Load(), int64(1))
	assert.Equal(t, sent.Load(), int64(1))
}

// Guards against a last part that crashes server after server, as each request with it has another
// path, content and first part.
func TestLastPartThatCrashesServersIsRefused(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return nil, verdict.Wrap(syscall.ECONNRESET, verdict.MayHaveRun, verdict.ServerLost, "broke off")
	}}
	gateways := newPair(t, f)
	withLast := func(n int) *Request {
		variant := n % 3
		r := prompt(n, fmt.Sprint("a", variant))
		r.URI, r.Content, r.Generation.LastPart = fmt.Sprint("/stream/", variant), fmt.Sprint("content ", variant), "bad"
		r.Path = r.URI
		return r
	}
	refused := 0
	for n := range 12 {
		for _, g := range gateways {
			g.SetServers(restarted(int64(n + 1)))
		}
		g := gateways[n%2]
		_, err := g.Serve(t.Context(), withLast(n))
		if err.Code == verdict.Crashes {
			refused++
		}
		sound := &job{r: prompt(100+n, fmt.Sprint("a", n%3))}
		sound.setSuspects()
		g.crashes.recordRun(sound, &attempt{})
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, len(f.sends()) <= 2*blame.DefaultCrashes, "%d attempts", len(f.sends()))
}
