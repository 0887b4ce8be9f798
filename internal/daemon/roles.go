package daemon

import (
	"context"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"jayford.example/jayford/internal/agent"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/control"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/entry"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
)

// RunEntry runs an entry until ctx ends and it has stopped gracefully.
func RunEntry(ctx context.Context, s settings.Entry, log *logrus.Logger) error {
	c, err := newCore(s.Process, RoleEntry, log)
	if err != nil {
		return err
	}
	e := entry.New(entry.Options{
		Settings: s, Board: c.board, Config: c.config, Store: c.platform,
		Incarnation: c.incarnation, Ready: c.canPlace, Log: log,
		Dial: c.identity.DialOption(RoleAgent), Memory: boundCallers(s.Process, s.Limits.MaxBodyBytes, log),
	})
	c.load = e.ProcessLoad
	leader := control.New(control.Options{
		Identity: c.feedIdentity(), Incarnation: c.incarnation, Settings: s.Capacity,
		Config: c.config, Platform: c.platform, Board: c.board,
		DialEntry: []grpc.DialOption{c.identity.DialOption(RoleEntry)},
		DialAgent: []grpc.DialOption{c.identity.DialOption(RoleAgent)},
	})
	explain := func(q *fasthttp.Args) (any, error) { return e.Explain(queryValues(q)) }
	ops := operator.New(c.board, c.status, explain, log)
	return run(
		ctx, log, part{RoleEntry, e.Run}, part{"feed", c.follower.Run}, part{"peers", c.servePeers}, part{"control", leader.Run},
		part{"operator", func(ctx context.Context) error { return ops.Run(ctx, s.Operator) }},
	)
}

func queryValues(q *fasthttp.Args) url.Values {
	out := make(url.Values)
	for k, v := range q.All() {
		out.Add(string(k), string(v))
	}
	return out
}

// RunAgent runs an agent until ctx ends and it has stopped gracefully.
func RunAgent(ctx context.Context, s settings.Agent, log *logrus.Logger) error {
	c, err := newCore(s.Process, RoleAgent, log)
	if err != nil {
		return err
	}
	answers := memory.NewArriving(boundMemory(s.Process, log).Answers, time.Now)
	opts := agent.Options{
		Settings: s, Answers: answers, Board: c.board, ReadFence: leaseReader(c.platform), Log: log, Incarnation: c.incarnation,
		ServerOptions: c.identity.ServerOptions(RoleEntry),
	}
	if s.BackendKind == settings.BackendEngine {
		opts.Engine = engine.NewHTTP(s.Backend, engine.WithMemory(answers))
	}
	a := agent.New(opts)
	c.load = a.ProcessLoad
	ops := operator.New(c.board, c.status, nil, log)
	return run(
		ctx, log, part{RoleAgent, a.Run}, part{"feed", c.follower.Run},
		part{"operator", func(ctx context.Context) error { return ops.Run(ctx, s.Operator) }},
		part{"configuration", func(ctx context.Context) error { return followConfig(ctx, a, c.config, s.ID) }},
	)
}

// leaseReader returns a function that reads the fencing token of a controller's
// lease, which is the version of the lease object. Renewals increase the version
// too, so it may be higher than the token of an order that the holder has just
// sent; the order is then refused and sent again with the newer token. It is
// always higher than the token of a former holder.
func leaseReader(store platform.Store) func(ctx context.Context, scope string) (uint64, error) {
	return func(ctx context.Context, scope string) (uint64, error) {
		o, err := store.Get(ctx, object.KindLease, scope)
		return o.Version, eris.Wrap(err, "daemon: read lease")
	}
}

// followConfig passes drain intents and convictions (fingerprints of requests
// that crash servers) from the configuration to the agent, so that it refuses
// requests before the entries have the change.
func followConfig(ctx context.Context, a *agent.Agent, store *config.Store, id string) error {
	for {
		changed := store.Changed()
		snap := store.Current()
		a.SetLeaving(draining(snap, id))
		fps := make([]uint64, 0, len(snap.Convictions))
		for fp := range snap.Convictions {
			fps = append(fps, fp)
		}
		a.Convict(fps)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// draining reports whether an operator's drain intent or the platform's list of
// instances takes the server out of service.
func draining(snap *config.Snapshot, id string) bool {
	for _, in := range snap.Intents {
		if in.Server == id && in.Drain {
			return true
		}
	}
	for _, in := range snap.Instances {
		if in.ID == id && in.State == platform.Leaving {
			return true
		}
	}
	return false
}
