// Package peerload tells gateways of each other's load on engines.
//
// Each gateway knows what it has booked itself, and chooses the engine with the
// shortest queue. Dozens of gateways that don't know of each other choose the
// same one, and prompts wait behind each other while other engines are idle.
//
// A gateway sends its peers a datagram when its bookings change, with the engines
// that changed, and the whole once a second. A lost one costs a choice that is a
// little worse until then; no promise rests on what is told here.
package peerload

import (
	"context"
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
)

const (
	// gather is how long changes are collected before they are sent: a request
	// books its decode engine and its prefill within some milliseconds.
	gather = 8 * time.Millisecond
	// wholeEvery is how often everything is sent.
	wholeEvery = time.Second
	// silentAfter is when a peer's load is forgotten: it missed two of these.
	silentAfter = 2500 * time.Millisecond
	// maxPeers bounds the peers that are told. At 5 requests a second, three
	// datagrams a request and 30 bytes each they cost 11 KB/s.
	maxPeers = 24
	// maxDatagram is the least that any link takes in one piece, less headers.
	maxDatagram = 1200
)

var (
	sent     = metrics.NewCounter("jayford_peerload_sent_total")
	received = metrics.NewCounter("jayford_peerload_received_total")
	unknown  = metrics.NewCounter("jayford_peerload_unknown_senders_total")
)

// Options of an Exchange.
type Options struct {
	// Listen is the "ip:port" from which and at which datagrams are exchanged.
	Listen string
	// Peers returns the other gateways' addresses, nearest first.
	Peers func() []string
	// Own returns the booked tokens by engine.
	Own func() map[string]int
	Log *logrus.Entry
}

// Exchange tells peers of this gateway's load and knows theirs.
type Exchange struct {
	opts    Options
	start   uint32
	changed chan struct{}

	mu sync.RWMutex
	// table is guarded by mu.
	table *table
	// known has the peers' addresses, guarded by mu.
	known map[string]bool

	// sequence and last are used by the sender alone; last is what was sent.
	sequence uint64
	last     map[uint64]uint32
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{
		opts: o, start: rand.Uint32(), changed: make(chan struct{}, 1), table: newTable(),
		known: map[string]bool{}, last: map[uint64]uint32{},
	}
}

// Changed says that Own would return something else now. It never waits.
func (e *Exchange) Changed() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Tokens returns what the peers have booked on an engine.
func (e *Exchange) Tokens(engine string) int {
	h := xxhash.Sum64String(engine)
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.table.sums[h]
}

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	at, err := net.ResolveUDPAddr("udp", e.opts.Listen)
	if err != nil {
		return eris.Wrapf(err, "peerload: address %s", e.opts.Listen)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return eris.Wrapf(err, "peerload: listen on %s", e.opts.Listen)
	}
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
	buf := make([]byte, 2*maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram to a peer that is gone comes back as an error.
			e.opts.Log.WithError(err).Debug("peerload: not received.")
			continue
		}
		e.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buf[:n])
	}
}

// take applies a datagram. Only what a listed peer sent counts.
func (e *Exchange) take(from string, text []byte) {
	var n pb.LoadNews
	if err := proto.Unmarshal(text, &n); err != nil {
		e.opts.Log.WithError(err).WithField("from", from).Warn("peerload: a datagram can't be read.")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known[from] {
		unknown.Inc()
		return
	}
	if e.table.take(from, &n, time.Now()) {
		received.Inc()
	}
}

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	whole := time.NewTicker(wholeEvery)
	defer whole.Stop()
	to := e.refresh()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-whole.C:
			to = e.refresh()
			e.tell(conn, to, true)
		case <-e.changed:
			time.Sleep(gather)
			if len(to) == 0 {
				// The peers weren't known yet when this process started.
				to = e.refresh()
			}
			e.tell(conn, to, false)
		}
	}
}

// refresh forgets silent peers and returns who is to be told.
func (e *Exchange) refresh() []netip.AddrPort {
	known := map[string]bool{}
	var to []netip.AddrPort
	for _, a := range e.opts.Peers() {
		known[a] = true
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			e.opts.Log.WithError(err).WithField("peer", a).Debug("peerload: no address.")
			continue
		}
		if len(to) < maxPeers {
			to = append(to, p)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = known
	e.table.expire(time.Now(), silentAfter)
	return to
}

// tell sends the engines that changed, or all of them.
func (e *Exchange) tell(conn *net.UDPConn, to []netip.AddrPort, whole bool) {
	n := e.news(e.opts.Own(), whole)
	if len(to) == 0 || len(n.Engines) == 0 && !whole {
		return
	}
	text, err := proto.Marshal(n)
	if err != nil || len(text) > maxDatagram {
		e.opts.Log.WithError(err).WithField("bytes", len(text)).Warn("peerload: not sent.")
		return
	}
	for _, a := range to {
		if _, err := conn.WriteToUDPAddrPort(text, a); err != nil {
			e.opts.Log.WithError(err).WithField("peer", a.String()).Debug("peerload: not sent.")
			continue
		}
		sent.Inc()
	}
}

// maxEngines fit into a datagram, those with the most tokens first.
const maxEngines = 70

// news returns what is to be told of the bookings own.
func (e *Exchange) news(own map[string]int, whole bool) *pb.LoadNews {
	now := make(map[uint64]uint32, len(own))
	for engine, tokens := range own {
		now[xxhash.Sum64String(engine)] = uint32(max(0, tokens))
	}
	e.sequence++
	n := &pb.LoadNews{Start: e.start, Sequence: e.sequence, Whole: whole}
	for engine, tokens := range now {
		if whole || e.last[engine] != tokens {
			n.Engines = append(n.Engines, &pb.EngineLoad{Engine: engine, Tokens: tokens})
		}
	}
	for engine := range e.last {
		if _, ok := now[engine]; !ok && !whole {
			n.Engines = append(n.Engines, &pb.EngineLoad{Engine: engine})
		}
	}
	slices.SortFunc(n.Engines, func(a, b *pb.EngineLoad) int { return int(b.Tokens) - int(a.Tokens) })
	n.Engines = n.Engines[:min(len(n.Engines), maxEngines)]
	e.last = now
	return n
}
