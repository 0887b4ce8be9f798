package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
)

// watchTimeout bounds one watch. A dead connection is detected within it and one
// call's timeout, well before a draining server stops accepting work.
const watchTimeout = 4 * time.Second

// Decoder converts the platform's objects to the gateway's types.
type Decoder interface {
	Config(o platform.Object) (*catalog.Config, error)
	Server(o platform.Object) (catalog.Server, error)
}

// Sources are the stored objects that a gateway follows.
type Sources struct {
	Store   platform.Store
	Decoder Decoder
	// ConfigKind and ConfigName name the configuration object; ServerKind is the kind
	// of the servers' entries.
	ConfigKind, ConfigName, ServerKind string
}

// Follow keeps the configuration and the servers up to date until ctx ends.
func (g *Gateway) Follow(ctx context.Context, s Sources) error {
	group, ctx := errgroup.WithContext(ctx)
	config := follow.New(follow.Options{
		Store: s.Store, Kind: s.ConfigKind, Wait: watchTimeout, Availability: &g.platformAvailability, Log: g.log,
		Apply: func(n follow.Update) { g.applyConfig(s, n.Objects) },
	})
	roster := &roster{g: g, decoder: s.Decoder, entries: map[string]entry{}}
	servers := follow.New(follow.Options{
		Store: s.Store, Kind: s.ServerKind, Wait: watchTimeout, Availability: &g.platformAvailability, Log: g.log, Apply: roster.apply,
	})
	group.Go(func() error { return config.Run(ctx) })
	group.Go(func() error { return servers.Run(ctx) })
	group.Go(func() error { return g.probe(ctx) })
	return group.Wait()
}

func (g *Gateway) applyConfig(s Sources, objects []platform.Object) {
	for _, o := range objects {
		if o.Name != s.ConfigName || o.Deleted {
			continue
		}
		c, err := s.Decoder.Config(o)
		if err != nil {
			// The previous configuration stays in force.
			g.log.WithError(err).WithField("revision", o.Version).Error("gateway: invalid configuration ignored.")
			continue
		}
		if g.SetConfig(c) {
			configVersion.Set(c.Version)
			g.log.WithFields(logrus.Fields{"version": c.Version, "revision": o.Version, "rest": c.Limits.IdleTimeout.String()}).Info("gateway: configuration in force.")
		}
	}
}
