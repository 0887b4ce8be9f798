package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
)

// watchTimeout bounds one watch. Polls bound the age of copies in the meantime.
const watchTimeout = 4 * time.Second

// keyWatchFraction is the longest duration of a watch of the configuration as a fraction
// of the bound for removed keys. The age of what a gateway knows without its peers is up to two
// watches.
const keyWatchFraction = 0.36

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
	source := &configSource{g: g, sources: s}
	shared := g.confirmations
	shared.begin(s)
	config := follow.New(follow.Options{
		Store: s.Store, Kind: s.ConfigKind, Wait: g.configWatchTimeout(), Availability: &g.platformAvailability, Log: g.log,
		Apply: source.apply, Applied: shared.applied(s.ConfigKind), Changed: shared.passOn(s.ConfigKind), Confirmed: source.confirm,
	})
	roster := &roster{g: g, decoder: s.Decoder, entries: map[string]entry{}}
	servers := follow.New(follow.Options{
		Store: s.Store, Kind: s.ServerKind, Wait: watchTimeout, Availability: &g.platformAvailability, Log: g.log, Apply: roster.apply,
		Applied: shared.applied(s.ServerKind), Changed: shared.passOn(s.ServerKind), Confirmed: func(at time.Duration) {
			shared.confirmed(s.ServerKind, at)
			g.software.confirm(at)
		},
	})
	g.software.setPoll(func() bool { return servers.Poll(ctx) })
	group.Go(func() error { return config.Run(ctx) })
	group.Go(func() error { return servers.Run(ctx) })
	group.Go(func() error { return g.probe(ctx) })
	group.Go(func() error {
		return shared.run(ctx, map[string]*follow.Follower{s.ConfigKind: config, s.ServerKind: servers}, source)
	})
	return group.Wait()
}

// configWatchTimeout returns the timeout of a watch of the configuration. An unchanged
// configuration is confirmed only when the watch is answered.
func (g *Gateway) configWatchTimeout() time.Duration {
	if g.opts.KeyExpiry <= 0 {
		return watchTimeout
	}
	return min(watchTimeout, time.Duration(keyWatchFraction*float64(g.opts.KeyExpiry))+watchAnswerTime)
}

// watchAnswerTime is the part of a watch's timeout that is left for its answer.
const watchAnswerTime = time.Second

// configSource puts the stored configuration in force. Its apply is called by one goroutine at
// a time.
type configSource struct {
	g       *Gateway
	sources Sources
	// current: the stored configuration is the one in force. Otherwise it couldn't be
	// decoded, was deleted, or has a lower version than an earlier one.
	current atomic.Bool
}

func (c *configSource) apply(n follow.Update) {
	if n.Full {
		// The configuration may be missing from the listing.
		c.current.Store(false)
	}
	for _, o := range n.Objects {
		if o.Name != c.sources.ConfigName {
			continue
		}
		if o.Deleted {
			c.current.Store(false)
			c.g.log.Error("gateway: the configuration was deleted, the previous one stays in force.")
			continue
		}
		c.current.Store(c.applyObject(o))
	}
}

// applyObject puts a stored configuration in force and reports whether it now is.
func (c *configSource) applyObject(o platform.Object) bool {
	g := c.g
	config, err := c.sources.Decoder.Config(o)
	if err != nil {
		// The previous configuration stays in force.
		g.log.WithError(err).WithField("revision", o.Version).Error("gateway: invalid configuration ignored.")
		return false
	}
	if g.SetConfig(config) {
		configVersion.Set(config.Version)
		fields := logrus.Fields{"version": config.Version, "revision": o.Version, "rest": config.Limits.IdleTimeout.String()}
		if config.Organisations != nil {
			fields["organisations"], fields["keys"] = len(config.Organisations.All()), config.Organisations.Keys()
		}
		g.log.WithFields(fields).Info("gateway: configuration in force.")
	}
	return g.ConfigVersion() == config.Version
}

// confirm records that the configuration was the newest at a boot time, as the store showed.
func (c *configSource) confirm(at time.Duration) {
	c.g.confirmations.confirmed(c.sources.ConfigKind, at)
	c.rely(at)
}

// rely makes the configuration in force count as the newest one at a boot time, if it is the
// stored one.
func (c *configSource) rely(at time.Duration) {
	if c.current.Load() {
		c.g.view.confirm(at)
	}
}
