package service_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/service"
)

type testService struct {
	*service.Service
	addr string
}

func serve(t *testing.T, o service.Options) testService {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := service.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		assert.Check(t, g.Wait() == nil)
	})
	return testService{s, ln.Addr().String()}
}

// post sends a call over a new connection, without retries.
func (b testService) post(uri, body string) (service.Echo, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + b.addr + uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(service.HeaderRequest, "id-"+body)
	req.Header.SetContentType("text/plain")
	req.SetBodyString(body)
	var e service.Echo
	c := fasthttp.HostClient{Addr: b.addr, MaxIdemponentCallAttempts: 1}
	if err := c.DoTimeout(req, resp, 5*time.Second); err != nil {
		return e, err
	}
	return e, json.Unmarshal(resp.Body(), &e)
}

func TestEchoAndAccount(t *testing.T) {
	b := serve(t, service.Options{Name: "gallery"})
	e, err := b.post("/faces/7?size=small", "one")
	assert.NilError(t, err)
	assert.DeepEqual(t, e, service.Echo{
		Run: 1, Name: "gallery", Method: "POST", Path: "/faces/7", Query: "size=small",
		Headers: []service.Header{
			{Key: service.HeaderRequest, Value: "id-one"},
			{Key: fasthttp.HeaderContentType, Value: "text/plain"},
		},
		Body: "one",
	})
	e, err = b.post("/faces/7", "two")
	assert.NilError(t, err)
	assert.Equal(t, e.Run, uint64(2))
	calls := b.Record()
	assert.Equal(t, len(calls), 2)
	assert.Equal(t, calls[1].Request, "id-two")
	assert.Assert(t, !calls[1].End.IsZero())
}

// A call with the crash marker crashes the service while another call runs. Both
// clients lose their connection, the record shows both calls as begun but not ended,
// and the service restarts.
func TestCrashCutsAllCalls(t *testing.T) {
	b := serve(t, service.Options{CrashMarker: "poison", RestartAfter: 30 * time.Millisecond})
	b.Control(service.Control{StallMs: 5000})
	var g errgroup.Group
	g.Go(func() error {
		_, err := b.post("/", "neighbour")
		return err
	})
	for len(b.Record()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := b.post("/", "poison")
	assert.Assert(t, err != nil)
	assert.Assert(t, g.Wait() != nil)
	calls := b.Record()
	assert.Assert(t, calls[0].End.IsZero() && calls[1].Crashed)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", b.addr)
		if err == nil {
			assert.NilError(t, conn.Close())
			return
		}
		assert.Assert(t, time.Now().Before(end), "not back")
	}
}

// A frozen service accepts a call but doesn't begin it: the call must not be in the
// record until the freeze is over.
func TestFreezeHoldsBackTheBegin(t *testing.T) {
	b := serve(t, service.Options{})
	b.Control(service.Control{FreezeMs: 500})
	var g errgroup.Group
	g.Go(func() error {
		_, err := b.post("/", "held")
		return err
	})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(b.Record()), 0)
	assert.NilError(t, g.Wait())
	assert.Equal(t, len(b.Record()), 1)
}
