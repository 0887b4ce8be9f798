// Package gossip exchanges state between gateways over UDP: their load on engines,
// requests under which a server was lost, and their contact with the platform.
//
// A gateway itself knows only what it has booked, and chooses the engine with the shortest
// queue. Dozens of gateways that don't know of each other's load choose the same one, and
// prompts queue there while other engines are idle. A request that crashes its engine is
// retried at another gateway each time, so only the reports of all of them identify it soon.
//
// A gateway sends its peers a datagram with the engines whose load has changed, and a full
// update to each peer every second, or in rotation in a large fleet. A lost datagram makes
// the choice of engines slightly worse until the next full update; no guarantee depends on
// delivery.
package gossip

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/memory"
	"jayford.example/jayford/internal/policy/speed"
	"jayford.example/jayford/internal/wait"
)

const (
	// batchDelay is how long changes are collected before they are sent: a request
	// books its decode engine and its prefill within a few milliseconds.
	batchDelay = 8 * time.Millisecond
	// fullUpdateInterval is how often the next peers in the rotation get a full update.
	fullUpdateInterval = time.Second
	// maxMissedFullUpdates is how many full updates a peer may miss before its load is
	// dropped.
	maxMissedFullUpdates = 2.5
	// maxMissingFraction is the fraction of peers that may be missing in a view that counts
	// as complete. In a large fleet some gateways are always being replaced, and they
	// account for little load.
	maxMissingFraction = 0.05
	// maxDatagramBytes fits into one packet on any link: the smallest MTU less headers.
	maxDatagramBytes = 1200
)

var (
	sent           = metrics.NewCounter("jayford_gossip_sent_total")
	sentBytes      = metrics.NewCounter("jayford_gossip_sent_bytes_total")
	received       = metrics.NewCounter("jayford_gossip_received_total")
	unknownSenders = metrics.NewCounter("jayford_gossip_unknown_senders_total")
)

// Options of an Exchange.
type Options struct {
	// Listen is the "ip:port" at which datagrams are received and from which they are sent.
	Listen string
	// Peers returns the addresses of the other gateways in the same availability
	// zone and in others.
	Peers func() (near, far []string)
	// OwnLoad returns this gateway's load by engine.
	OwnLoad func() map[string]Load
	// PlatformReachableFor returns for how long the platform has been reachable for this
	// gateway, 0 if it isn't. It may be nil.
	PlatformReachableFor func() time.Duration
	// Demand returns this gateway's requests a second. It may be nil.
	Demand func() float64
	// OwnPromptRate returns the prompt tokens a second in this gateway's requests. It may be nil.
	OwnPromptRate func() float64
	// OnLoss handles the loss of a server under a request that a peer reported, and
	// returns whether it was new.
	OnLoss func(blame.Loss) bool
	// OnProof does the same for a proof that a part of prompts is sound. It may be nil.
	OnProof func(blame.Proof) bool
	// OnTrial does the same for the trial of a suspected request. It may be nil.
	OnTrial func(blame.Trial) bool
	// Evidence returns at most limit losses for which this gateway refuses requests, or may come
	// to. Peers that start, or were cut off, learn of them by full updates. It may be nil.
	Evidence func(limit int) []blame.Loss
	// OnOrigin handles a datagram about the streams of a listed peer. It may be nil.
	OnOrigin func(from string, m *pb.OriginMessage)
	// OnDoubt handles a peer's doubt of a server, given by its ServerKey. It may be nil.
	OnDoubt func(server uint64, from string, since time.Time)
	// OnStore handles a datagram of a listed peer about what the platform's store holds. It
	// may be nil.
	OnStore func(from string, m *pb.StoreMessage)
	// Speeds returns at most limit of this gateway's measurements of engines' speed, and
	// OnSpeeds handles those of a listed peer. Both may be nil.
	Speeds   func(limit int) []speed.Report
	OnSpeeds func(from string, list []speed.Report)
	// OnLoad is told of engines on which the load of peers may have changed, by the keys that
	// ServerKey returns. It may be nil.
	OnLoad func(engines []uint64)
	// OnStageChange handles a peer's announcement. It may be nil.
	OnStageChange func(StageChange)
	// OnUnknownSender is called when a datagram comes from an address that isn't in Peers.
	OnUnknownSender func()
	Log             *logrus.Entry
}

// Load is a gateway's load on one incarnation of an engine.
type Load struct {
	// Need is the memory that its requests need, now and as forecast.
	Need memory.Need
	// Revision changes when a request begins or ends. The growth of a running request is
	// part of the forecast in Need, and isn't sent again.
	Revision uint64
}

// ServerKey returns the hash that identifies one incarnation of a server in datagrams. Its
// argument is the gateway's key for that incarnation.
func ServerKey(start string) uint64 { return xxhash.Sum64String(start) }

// Exchange sends this gateway's load to its peers and keeps theirs.
type Exchange struct {
	opts        Options
	incarnation uint32
	created     time.Time
	changed     chan struct{}

	mu sync.RWMutex
	// table is guarded by mu.
	table *table
	// known maps the addresses of the listed peers to when they were first listed. It is
	// guarded by mu.
	known map[string]time.Time
	// recipients is guarded by mu.
	recipients *recipients
	// losses and proofs are those to report, guarded by mu.
	losses lossQueue
	proofs proofQueue
	// doubts are the servers that didn't answer this gateway, guarded by mu.
	doubts doubtQueue
	// trials are those to report, guarded by mu.
	trials trialQueue
	// stageChanges are the announcements to make, guarded by mu.
	stageChanges reportQueue[StageChange]
	// conn is nil before Run. It is guarded by mu.
	conn *net.UDPConn

	// sequence and lastRevisions are used only by the sending goroutine. lastRevisions has
	// the revision of each engine that was last sent to all recipients.
	sequence uint64
	// evidenceSent counts the full updates with losses of Options.Evidence.
	evidenceSent  int
	lastRevisions map[uint64]uint64
}

// New returns an Exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{
		opts: o, incarnation: rand.Uint32(), changed: make(chan struct{}, 1), table: newTable(), recipients: newRecipients(),
		known: map[string]time.Time{}, created: time.Now(), lastRevisions: map[uint64]uint64{},
	}
}

// NotifyLoadChange signals that the loads that OwnLoad returns have changed. It never blocks.
func (e *Exchange) NotifyLoadChange() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// ReportLoss reports to the peers that a server was lost while it ran a request.
func (e *Exchange) ReportLoss(x blame.Loss) {
	e.mu.Lock()
	e.losses.add(x, time.Now())
	e.mu.Unlock()
	e.NotifyLoadChange()
}

// ReportProof reports to the peers that a request whose prompt has a part has run well.
func (e *Exchange) ReportProof(x blame.Proof) {
	e.mu.Lock()
	e.proofs.add(x, time.Now())
	e.mu.Unlock()
	e.NotifyLoadChange()
}

// LoadComplete reports whether this gateway knows the load of its peers, apart from a share of
// maxMissingFraction that may be missing.
//
// Just after this gateway has started, or a new peer was listed, the peers' load hasn't been
// received yet, and engines that are full look idle. A peer that stays silent for the peer
// timeout counts as gone, not as missing. A peer that sends only to a subset counts as missing,
// since there are others like it that don't send to this gateway.
func (e *Exchange) LoadComplete() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	now := time.Now()
	silent := e.peerTimeoutLocked()
	if len(e.known) == 0 && now.Sub(e.created) < silent {
		return false
	}
	missing := 0
	for a, since := range e.known {
		p := e.table.peers[a]
		if p == nil && now.Sub(since) < silent || p != nil && !p.toAll {
			missing++
		}
	}
	return float64(missing) <= maxMissingFraction*float64(len(e.known))
}

// demandUnit is the number of units in which datagrams give one request a second.
const demandUnit = 10

// Demand returns the requests a second of all peers, and whether all that are listed have
// reported them. Where gateways send to a subset of their peers they are unknown.
func (e *Exchange) Demand() (perSecond float64, known bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for a := range e.known {
		p := e.table.peers[a]
		if p == nil || !p.toAll {
			return 0, false
		}
		perSecond += p.demand
	}
	return perSecond, e.recipients.all
}

// peerTimeoutLocked returns the time without datagrams after which a peer's load is dropped.
func (e *Exchange) peerTimeoutLocked() time.Duration {
	return time.Duration(maxMissedFullUpdates * float64(rotationSeconds(len(e.known))) * float64(fullUpdateInterval))
}

// Need returns the memory that the peers' requests need on an engine.
func (e *Exchange) Need(engine string) memory.Need {
	key := ServerKey(engine)
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.table.sums[key]
}

// PlatformReachableSince returns the earliest time since which the platform has been reachable
// for a peer, by reports received later than after. It is zero if there is none.
func (e *Exchange) PlatformReachableSince(after time.Time) time.Time {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.table.platformSince(after)
}

// Run sends and receives datagrams until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	at, err := net.ResolveUDPAddr("udp", e.opts.Listen)
	if err != nil {
		return eris.Wrapf(err, "gossip: resolve address %s", e.opts.Listen)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return eris.Wrapf(err, "gossip: listen on %s", e.opts.Listen)
	}
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.receive(ctx, conn) })
	group.Go(func() error { return e.send(ctx, conn) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, 2*maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that was sent to a dead peer can surface here as an error.
			e.opts.Log.WithError(err).Debug("gossip: receive failed.")
			wait.Sleep(ctx, batchDelay)
			continue
		}
		e.handleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buf[:n])
	}
}

// handleDatagram decodes and applies a datagram. Those of unlisted senders are ignored.
func (e *Exchange) handleDatagram(from string, text []byte) {
	var n pb.News
	if err := proto.Unmarshal(text, &n); err != nil {
		e.opts.Log.WithError(err).WithField("from", from).Warn("gossip: cannot decode datagram.")
		return
	}
	if !possible(&n) {
		malformed.Inc()
		return
	}
	if n.Origin != nil {
		e.handleOrigin(from, n.Origin)
		return
	}
	if n.Store != nil {
		e.handleStore(from, n.Store)
		return
	}
	if !e.apply(from, &n) {
		return
	}
	now := time.Now()
	e.handleDoubts(from, n.Doubts, now)
	e.handleStageChanges(n.StageChanges, now)
	e.handleTrials(n.Trials, now)
	for _, l := range n.Losses {
		if len(l.Parts) > blame.MaxParts {
			continue
		}
		if x := decodeLoss(l, now); e.opts.OnLoss(x) && e.sendsToSubset() {
			e.ReportLoss(x)
		}
	}
	for _, p := range n.Proofs {
		x := blame.Proof{Part: p.Part, At: now.Add(-time.Duration(p.AgeMs) * time.Millisecond)}
		if e.opts.OnProof != nil && e.opts.OnProof(x) && e.sendsToSubset() {
			e.ReportProof(x)
		}
	}
}

// handleOrigin passes on a datagram about streams.
func (e *Exchange) handleOrigin(from string, m *pb.OriginMessage) {
	e.mu.RLock()
	admitted := e.admitLocked(from)
	e.mu.RUnlock()
	if admitted && e.opts.OnOrigin != nil {
		received.Inc()
		e.opts.OnOrigin(from, m)
	}
}

// SendOrigin sends a datagram about streams to a gateway. It is lost before Run.
func (e *Exchange) SendOrigin(to string, m *pb.OriginMessage) {
	e.mu.RLock()
	conn := e.conn
	e.mu.RUnlock()
	if conn == nil {
		return
	}
	text, err := proto.Marshal(&pb.News{Origin: m})
	if err != nil {
		e.opts.Log.WithError(err).Warn("gossip: cannot encode a datagram about streams.")
		return
	}
	e.sendTo(conn, to, text)
}

// admitLocked reports whether the sender of a datagram is listed, and counts one that isn't.
func (e *Exchange) admitLocked(from string) bool {
	if _, ok := e.known[from]; ok {
		return true
	}
	unknownSenders.Inc()
	e.opts.OnUnknownSender()
	return false
}

// apply stores a peer's load and passes on what else it says, and reports whether the sender is
// listed.
func (e *Exchange) apply(from string, n *pb.News) bool {
	listed, accepted, engines := e.store(from, n)
	if accepted {
		e.passOn(from, n, engines)
	}
	return listed
}

// store stores a peer's load. It reports whether the sender is listed and the datagram isn't
// outdated, and returns the engines whose load it may have changed.
func (e *Exchange) store(from string, n *pb.News) (listed, accepted bool, engines []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admitLocked(from) {
		return false, false, nil
	}
	before := e.table.peers[from]
	engines = touchedEngines(n, before)
	if accepted = e.table.update(from, n, time.Now()); accepted {
		received.Inc()
	}
	if before != nil && before.incarnation != n.Start {
		// The peer restarted and lost what it had received.
		e.recipients.requestFull(from)
	}
	return true, accepted, engines
}

// sendsToSubset reports whether updates go only to a subset of the peers. Losses received
// from peers are then forwarded, as their sender doesn't reach every gateway.
func (e *Exchange) sendsToSubset() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return !e.recipients.all
}

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	fullTicker := time.NewTicker(fullUpdateInterval)
	defer fullTicker.Stop()
	e.refreshPeers()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-fullTicker.C:
			e.refreshPeers()
			// Pending changes go to all recipients first, since only some of them get
			// the full update.
			e.sendUpdate(conn, e.changeRecipients(), false)
			e.sendUpdate(conn, e.nextFull(), true)
		case <-e.changed:
			wait.Sleep(ctx, batchDelay)
			e.sendUpdate(conn, e.changeRecipients(), false)
		}
	}
}

// refreshPeers reads the list of peers, selects the recipients and drops silent peers.
func (e *Exchange) refreshPeers() {
	near, far := e.opts.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	known := make(map[string]time.Time, len(near)+len(far))
	for _, a := range slices.Concat(near, far) {
		known[a] = now
		if since, ok := e.known[a]; ok {
			known[a] = since
		}
	}
	e.known = known
	before := e.recipients.all
	e.recipients.update(e.opts.Listen, near, far)
	if e.recipients.all != before {
		e.opts.Log.WithFields(logrus.Fields{
			"all": e.recipients.all, "peers": len(known), "bytesPerSecond": math.Round(e.recipients.cost),
		}).Info("gossip: switched between sending to all peers and to a subset.")
	}
	e.table.expire(now, e.peerTimeoutLocked())
}

// nextFull returns the peers that get a full update now.
func (e *Exchange) nextFull() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recipients.nextFull()
}

// changeRecipients returns the peers that get changes.
func (e *Exchange) changeRecipients() []string {
	e.mu.RLock()
	known := len(e.known)
	e.mu.RUnlock()
	if known == 0 {
		// No peers were listed yet when the exchange started.
		e.refreshPeers()
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.recipients.selected
}
