package platform

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	api "jayford.example/jayford/internal/platform"
)

// Each watching entry reads the list of instances every few seconds, so it is sent
// compressed. A platform that doesn't compress must work as well.
func TestLongRepliesAreCompressedWhereThePlatformCan(t *testing.T) {
	var list []api.Instance
	for i := range 1000 {
		list = append(list, api.Instance{ID: fmt.Sprint("server-", i), Address: "127.0.0.1:9", Role: "agent", State: api.Live})
	}
	p, addr := serve(t, Options{})
	p.SetInstances(list)

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/instances")
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	assert.NilError(t, fasthttp.Do(req, resp))
	plain, err := resp.BodyUncompressed()
	assert.NilError(t, err)
	assert.Assert(t, len(resp.Body())*5 < len(plain), "%d of %d bytes", len(resp.Body()), len(plain))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	simple := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, list) }}
	go func() { _ = simple.Serve(ln) }()
	t.Cleanup(func() { _ = simple.Shutdown() })
	for _, a := range []string{addr, ln.Addr().String()} {
		got, err := api.NewHTTP(a, callTimeout).Instances(context.Background())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, list)
	}
}

// A watching entry polls the list of instances every two seconds, mostly without a
// change. Entity tags avoid sending an unchanged list; a platform without entity tags
// sends it each time.
func TestInstancesAreSentOnlyWhenTheyAreNew(t *testing.T) {
	p, addr := serve(t, Options{})
	bytes := 0
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Request.SetHost(addr)
		assert.Check(t, fasthttp.Do(&ctx.Request, &ctx.Response))
		bytes += len(ctx.Response.Body())
	}}
	go func() { _ = proxy.Serve(ln) }()
	t.Cleanup(func() { _ = proxy.Shutdown() })
	client := api.NewHTTP(ln.Addr().String(), callTimeout)
	read := func(want ...api.Instance) int {
		bytes = 0
		got, err := client.Instances(context.Background())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, append([]api.Instance{}, want...))
		return bytes
	}
	read()
	assert.Equal(t, read(), 0)
	in := api.Instance{ID: "s", Role: "agent", State: api.Live}
	p.SetInstances([]api.Instance{in})
	assert.Assert(t, read(in) > 0)
	assert.Equal(t, read(in), 0)
	in.State = api.Leaving
	p.SetInstances([]api.Instance{in})
	assert.Assert(t, read(in) > 0)
	assert.Equal(t, read(in), 0)
	// A restarted platform numbers its lists from the beginning; its entity tags
	// must still differ.
	other, otherAddr := serve(t, Options{})
	other.SetInstances(nil)
	other.SetInstances([]api.Instance{{ID: "other"}})
	addr = otherAddr
	assert.Assert(t, read(api.Instance{ID: "other"}) > 0)
}
