package platform_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/standin/faultnet"
	standin "jayford.example/jayford/internal/standin/platform"
)

// lastReply picks the reply before.
func lastReply(replies [][]byte) [][]byte { return replies[len(replies)-1:] }

// servePlatform starts a platform that sends each reply again as the next call arrives on its
// connection, ahead of that call's own reply.
func servePlatform(t *testing.T) (*standin.Platform, *platform.HTTP) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	network := faultnet.New(ln)
	network.Repeat(lastReply)
	ctx, cancel := context.WithCancel(context.Background())
	p := standin.New(standin.Options{})
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx, network) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return p, platform.NewHTTP(ln.Addr().String(), 5*time.Second)
}

func organisation(name string, version uint64) platform.Object {
	return platform.Object{Kind: object.KindOrganisation, Name: name, Version: version, Spec: []byte(`{"format":1,"share":1}`)}
}

// Guards against a repeated reply to an earlier call being taken for that to a write, which then
// counts as accepted, refused or in conflict though the store did otherwise.
func TestRepeatedReplyIsNotThatToAWrite(t *testing.T) {
	for _, x := range []struct {
		name  string
		first func(*testing.T, *standin.Platform, *platform.HTTP)
		write platform.Object
		want  error
	}{
		{"accepted, conflict", func(t *testing.T, _ *standin.Platform, h *platform.HTTP) {
			_, err := h.Put(t.Context(), organisation("a", 0))
			assert.NilError(t, err)
		}, organisation("a", 0), platform.ErrConflict},
		{"conflict, accepted", func(t *testing.T, _ *standin.Platform, h *platform.HTTP) {
			_, err := h.Put(t.Context(), organisation("a", 7))
			assert.ErrorIs(t, err, platform.ErrConflict)
		}, organisation("a", 0), nil},
		{"refused, accepted", func(t *testing.T, p *standin.Platform, h *platform.HTTP) {
			p.SetControl(standin.Control{Outage: standin.OutageRefuse})
			_, err := h.Put(t.Context(), organisation("a", 0))
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			p.SetControl(standin.Control{})
		}, organisation("a", 0), nil},
		{"accepted, refused", func(t *testing.T, p *standin.Platform, h *platform.HTTP) {
			_, err := h.Put(t.Context(), organisation("b", 0))
			assert.NilError(t, err)
			p.SetControl(standin.Control{Outage: standin.OutageRefuse})
		}, organisation("a", 0), platform.ErrUnavailable},
		{"not found, accepted", func(t *testing.T, _ *standin.Platform, h *platform.HTTP) {
			_, err := h.Get(t.Context(), object.KindOrganisation, "a")
			assert.ErrorIs(t, err, platform.ErrNotFound)
		}, organisation("a", 0), nil},
		{"read, conflict", func(t *testing.T, p *standin.Platform, h *platform.HTTP) {
			_, err := p.Put(organisation("a", 0))
			assert.NilError(t, err)
			_, err = h.Get(t.Context(), object.KindOrganisation, "a")
			assert.NilError(t, err)
		}, organisation("a", 7), platform.ErrConflict},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, h := servePlatform(t)
			x.first(t, p, h)
			before := len(p.Record())
			version, err := h.Put(t.Context(), x.write)
			after := p.Record()[before:]
			if x.want != nil {
				assert.Check(t, errors.Is(err, x.want), "%v", err)
				assert.Equal(t, len(after), 0)
				return
			}
			assert.Check(t, err)
			assert.Equal(t, len(after), 1)
			assert.Equal(t, version, after[0].Version)
		})
	}
}

// Guards against a repeated reply to a deletion being taken for that to the next one.
func TestRepeatedReplyIsNotThatToADeletion(t *testing.T) {
	p, h := servePlatform(t)
	a, err := p.Put(organisation("a", 0))
	assert.NilError(t, err)
	b, err := p.Put(organisation("b", 0))
	assert.NilError(t, err)
	assert.NilError(t, h.Delete(t.Context(), object.KindOrganisation, "a", a))
	assert.ErrorIs(t, h.Delete(t.Context(), object.KindOrganisation, "b", b+1), platform.ErrConflict)
}

// Guards against a repeated reply to an earlier call being taken for that to a read, which then
// returns another object, none, or one that doesn't exist.
func TestRepeatedReplyIsNotThatToARead(t *testing.T) {
	for _, x := range []struct{ name, first, second string }{
		{"another object", "a", "b"},
		{"found, not found", "a", "missing"},
		{"not found, found", "missing", "b"},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, h := servePlatform(t)
			for _, name := range []string{"a", "b"} {
				_, err := p.Put(organisation(name, 0))
				assert.NilError(t, err)
			}
			for _, name := range []string{x.first, x.second} {
				o, err := h.Get(t.Context(), object.KindOrganisation, name)
				if name == "missing" {
					assert.ErrorIs(t, err, platform.ErrNotFound)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, o.Name, name)
			}
		})
	}
}

// Guards against a repeated reply to a listing or a watch being taken for that to one of another
// kind, or to a later one of the same kind.
func TestRepeatedReplyIsNotThatToAListingOrWatch(t *testing.T) {
	list := func(ctx context.Context, h *platform.HTTP, kind string) (platform.Listing, error) {
		return h.List(ctx, kind)
	}
	watch := func(ctx context.Context, h *platform.HTTP, kind string) (platform.Listing, error) {
		return h.Watch(ctx, kind, 0)
	}
	type call = func(context.Context, *platform.HTTP, string) (platform.Listing, error)
	for _, x := range []struct {
		name  string
		calls [2]call
		kinds [2]string
	}{
		{"listings", [2]call{list, list}, [2]string{object.KindOrganisation, object.KindLease}},
		{"watches", [2]call{watch, watch}, [2]string{object.KindOrganisation, object.KindLease}},
		{"listing, watch", [2]call{list, watch}, [2]string{object.KindOrganisation, object.KindLease}},
		{"watch, listing", [2]call{watch, list}, [2]string{object.KindOrganisation, object.KindLease}},
		{"listings of one kind", [2]call{list, list}, [2]string{object.KindLease, object.KindLease}},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, h := servePlatform(t)
			for i, kind := range x.kinds {
				revision, err := p.Put(platform.Object{Kind: kind, Name: string(rune('a' + i)), Spec: []byte(`{"format":1}`)})
				assert.NilError(t, err)
				l, err := x.calls[i](t.Context(), h, kind)
				assert.NilError(t, err)
				assert.Equal(t, l.Revision, revision)
				assert.Assert(t, len(l.Objects) > 0)
				for _, o := range l.Objects {
					assert.Equal(t, o.Kind, kind)
				}
			}
		})
	}
}

// Guards against a repeated reply saying that the cached list of instances is the current one.
func TestRepeatedReplyIsNotThatToAListOfInstances(t *testing.T) {
	p, h := servePlatform(t)
	for _, id := range []string{"a", "a", "b"} {
		p.SetInstances([]platform.Instance{{ID: id}})
		list, err := h.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].ID, id)
	}
}
