package daemon

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/gateway"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/peers"
	policyquota "jayford.example/jayford/internal/policy/quota"
	"jayford.example/jayford/internal/pulse"
	"jayford.example/jayford/internal/quota"
	"jayford.example/jayford/internal/settings"
)

// RoleGateway is the role that accepts callers and works without agents.
const RoleGateway = "gateway"

// Dependencies holds the external dependencies of a gateway.
type Dependencies struct {
	Sources   gateway.Sources
	Backend   gateway.Backend
	Protocol  gateway.Protocol
	ReadyPath string
}

// RunGateway runs a gateway until ctx ends and it has stopped gracefully.
func RunGateway(ctx context.Context, s settings.Gateway, deps Dependencies, log *logrus.Logger) error {
	monitor := pulse.NewMonitor()
	limits := boundCallers(s.Process, s.Limits.MaxBodyBytes, log)
	b := board.New()
	g := gateway.New(gateway.Options{
		ID: s.ID, AvailabilityZone: s.AvailabilityZone, Backend: deps.Backend, Board: b,
		Budget: gateway.Budget{Ratio: s.Budget.Ratio, Slack: s.Budget.Slack, Window: s.Budget.Window.D()}, KeyExpiry: s.Keys.Expiry.D(), FollowersPerZone: s.Following.PerZone,
		MaxServerAge: s.Following.MaxServerAge.D(), MaxConfigAge: s.Following.MaxConfigAge.D(), Log: log,
	})
	server := gateway.NewServer(g, gateway.ServerOptions{
		Listen: s.Listen, Ready: s.Ready, ReadyPath: deps.ReadyPath,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxBodyBytes: s.Limits.MaxBodyBytes, MaxHeldBytes: s.Limits.MaxHeldBytes,
		HeaderTimeout: s.Limits.HeaderTimeout.D(), BodyTimeout: s.Limits.BodyTimeout.D(),
		IdleTimeout: s.Limits.IdleTimeout.D(), WriteTimeout: s.Limits.WriteTimeout.D(),
		Memory: limits, StopWithin: s.StopWithin.D(), EarliestSent: monitor.EarliestSent, Protocol: deps.Protocol,
	})
	started := time.Now()
	log.WithFields(logrus.Fields{
		"part": "gateway", "id": s.ID, "availabilityZone": s.AvailabilityZone, "platform": s.Platform, "build": build(),
		"budgetRatio": s.Budget.Ratio, "budgetSlack": s.Budget.Slack, "prefillShare": s.Stages.PrefillShare, "maxPrefillShare": s.Stages.MaxPrefillShare,
		"maxServerAge": s.Following.MaxServerAge.D().String(), "maxConfigAge": s.Following.MaxConfigAge.D().String(),
	}).Info("gateway: starting.")
	ops := operator.New(b, func() operator.Status {
		return operator.Status{
			ID: s.ID, Role: RoleGateway, AvailabilityZone: s.AvailabilityZone,
			Revision: g.ConfigVersion(), Ready: g.Ready(), UptimeSeconds: int64(time.Since(started).Seconds()),
		}
	}, nil, log)
	ops.HandleAction(operator.PathClearPart, func(q *fasthttp.Args) (any, error) {
		cleared, err := g.ClearPart(string(q.Peek("part")), string(q.Peek("reason")))
		return struct{ Cleared bool }{cleared}, err
	})
	members := peers.New(deps.Sources.Store, peers.Peer{ID: s.ID, Address: s.Peer, AvailabilityZone: s.AvailabilityZone, Quota: s.Quota.Listen}, log.WithField("part", "peers"))
	var exchange *gossip.Exchange
	origins := origin.NewExchange(origin.Options{
		Self: s.Peer, Gateways: func() []string { return peerAddresses(members.Known()) },
		Send: func(to string, m *pb.OriginMessage) { exchange.SendOrigin(to, m) },
	})
	exchange = gossip.New(gossip.Options{
		Listen: s.Peer, OwnLoad: g.Load, Demand: g.Demand, OwnPromptRate: g.PromptRate, PlatformReachableFor: g.PlatformReachableFor,
		OnLoss: g.RecordPeerLoss, OnProof: g.RecordPeerProof, OnTrial: g.RecordPeerTrial, Evidence: g.Evidence, OnDoubt: g.RecordPeerDoubt, OnStageChange: g.RecordPeerStageChange,
		OnOrigin: origins.Handle, OnStore: g.HandleStore, OnUnknownSender: members.RequestRead, Log: log.WithField("part", "gossip"),
		Speeds: g.SpeedReports, OnSpeeds: g.RecordPeerSpeeds, OnLoad: g.RecordPeerLoad,
		Peers: func() (near, far []string) { return addresses(members.Known(), s.ID, s.AvailabilityZone) },
	})
	g.Join(exchange)
	g.ShareOrigins(origins)
	g.ShareDoubts(exchange.ReportDoubt)
	g.AnnounceStageChanges(exchange.ReportStageChange)
	g.ShareStore(gateway.StoreSharing{
		Peers: func() []string { return otherAddresses(members.Known(), s.ID) }, Send: exchange.SendStore,
		Self: s.Peer, Zones: func() map[string][]string { return zoneAddresses(members.Known()) },
	})
	members.ShareSoftware(g.SoftwareDigest, g.SetSoftwareDigests)
	g.OnSoftwareChange(members.RequestRenewal)
	members.ShareConvictions(g.Convictions, g.RecordPeerLoss)
	g.OnConviction(members.PublishConviction)
	quotas := quota.New(quota.Options{
		Self: s.ID, Listen: s.Quota.Listen, Members: func() ([]quota.Member, time.Duration) { return registered(members) },
		OnUnknownSender: members.RequestRead, Spare: quotaSpareFraction * s.Quota.Slack,
		StartCredit: quotaCreditFraction * s.Quota.Slack, Window: s.Quota.Window.D(), PredecessorUptime: members.PredecessorUptime, Board: b, Log: log.WithField("part", "quota"),
	})
	if s.Quota.Listen != "" {
		g.LimitOrganisations(quotas)
	}
	orders := gateway.StageOptions{
		Store: deps.Sources.Store, Share: s.Stages.PrefillShare, MinShare: s.Stages.MinPrefillShare, MaxShare: s.Stages.MaxPrefillShare, Term: s.Stages.LeaseTerm.D(),
		Self: fmt.Sprintf("%s#%d", s.ID, started.UnixNano()), Instance: s.ID,
		Peers: func() []string { return ids(members.List()) }, PeerPromptRate: exchange.PromptRate, Speed: g.EngineSpeed,
	}
	return run(
		ctx, log, part{RoleGateway, server.Run},
		part{"pulse", monitor.Run}, part{"peers", members.Run}, part{"gossip", exchange.Run}, part{"quota", quotas.Run},
		part{"stages", func(ctx context.Context) error { return g.RunStages(ctx, orders) }},
		part{"members", func(ctx context.Context) error { return updatePeers(ctx, g, members) }},
		part{"follow", func(ctx context.Context) error { return g.Follow(ctx, deps.Sources) }},
		part{"operator", func(ctx context.Context) error { return ops.Run(ctx, s.Operator) }},
	)
}

// build returns the VCS revision of the program, or its module version if the
// build recorded no revision.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

func ids(list []peers.Peer) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = p.ID
	}
	return out
}

// Parts of the slack of quotas: what gateways may hold beyond the bursts, and what they may
// begin with after a restart. The rest covers gateways that don't count each other.
const (
	quotaSpareFraction  = 0.45
	quotaCreditFraction = 0.45
)

// registered returns the gateways that may create tokens of quotas.
func registered(m *peers.Members) ([]quota.Member, time.Duration) {
	list, complete := m.Registered(policyquota.ForgetAfter)
	out := make([]quota.Member, 0, len(list))
	for _, p := range list {
		out = append(out, quota.Member{ID: p.ID, Address: p.Quota})
	}
	return out, complete
}

// addresses returns the addresses of the other gateways, split into those in the
// same availability zone and those in others.
func addresses(list []peers.Peer, self, zone string) (near, far []string) {
	for _, p := range list {
		switch {
		case p.ID == self:
		case p.AvailabilityZone == zone:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	return near, far
}

// otherAddresses returns the addresses of all gateways but this one.
func otherAddresses(list []peers.Peer, self string) []string {
	near, far := addresses(list, self, "")
	return append(near, far...)
}

// zoneAddresses returns the addresses of all gateways by availability zone.
func zoneAddresses(list []peers.Peer) map[string][]string {
	out := map[string][]string{}
	for _, p := range list {
		out[p.AvailabilityZone] = append(out[p.AvailabilityZone], p.Address)
	}
	return out
}

// peerAddresses returns the addresses of all gateways of the list.
func peerAddresses(list []peers.Peer) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = p.Address
	}
	return out
}

// updatePeers updates the gateway's list of peers, which share the retry budget
// and the servers' limits with it.
func updatePeers(ctx context.Context, g *gateway.Gateway, m *peers.Members) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.SetPeers(ids(m.List()))
		}
	}
}
