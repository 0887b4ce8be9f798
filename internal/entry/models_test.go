package entry

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/settings"
)

// A script polls a new entry for its models until it gets a 200. Before the entry
// has a configuration, an empty list would be taken as the complete one.
func TestModelsAreRefusedBeforeAnyConfiguration(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := board.New()
	ready := false
	e := New(Options{
		Settings: settings.DefaultEntry(), Board: b, Config: config.NewStore(b),
		Ready: func() bool { return ready }, Log: log,
	})
	s := newServer(e)
	var ctx fasthttp.RequestCtx
	s.models(&ctx)
	assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	assert.Assert(t, len(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)

	ready = true
	ctx.Response.Reset()
	s.models(&ctx)
	assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusOK)
}
