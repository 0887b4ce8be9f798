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

// The list of instances is read every few seconds, by each entry that watches.
// It crosses the wire compressed, and arrives whole from a platform that
// doesn't compress too.
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

// An entry that watches asks for the list every two seconds, and mostly it is
// as it was. It crosses the wire only when it is new; a platform without entity
// tags sends it each time.
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
	// Another run of the platform may count its lists anew.
	other, otherAddr := serve(t, Options{})
	other.SetInstances(nil)
	other.SetInstances([]api.Instance{{ID: "other"}})
	addr = otherAddr
	assert.Assert(t, read(api.Instance{ID: "other"}) > 0)
}
