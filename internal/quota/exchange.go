// Package quota takes what requests cost from organisations' quotas, which all gateways
// share. It runs the state machine of package policy/quota over UDP.
package quota

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	policy "jayford.example/jayford/internal/policy/quota"
	"jayford.example/jayford/internal/wait"
)

const (
	// tickInterval is how often the machine does what is due.
	tickInterval = 25 * time.Millisecond
	// listInterval is how often the list of gateways is read from its source, and
	// startListInterval the same until this gateway creates its share.
	listInterval      = time.Second
	startListInterval = 50 * time.Millisecond
	// maxDatagramBytes is the most that a datagram holds.
	maxDatagramBytes = 64 << 10
	// receivePause is the pause after a failed receive.
	receivePause = 10 * time.Millisecond
)

var (
	sent      = metrics.NewCounter("jayford_quota_sent_total")
	sentBytes = metrics.NewCounter("jayford_quota_sent_bytes_total")
	received  = metrics.NewCounter("jayford_quota_received_total")
	malformed = metrics.NewCounter("jayford_quota_malformed_total")
	unknown   = metrics.NewCounter("jayford_quota_unknown_senders_total")
	waitTime  = metrics.NewHistogram("jayford_quota_wait_seconds")
)

// Member is a gateway that takes part in the exchange.
type Member struct{ ID, Address string }

// Options of an Exchange.
type Options struct {
	// Self is this gateway's ID, Listen the "ip:port" of its datagrams, "" if it takes no
	// part.
	Self, Listen string
	// Members returns the gateways that may create tokens, including this one, and the
	// boot time as of which the list is complete, 0 if that is unknown.
	Members func() (list []Member, read time.Duration)
	// OnUnknownSender is called when a datagram comes from an address that isn't listed.
	OnUnknownSender func()
	// Spare is how many tokens beyond its burst all gateways may hold for an
	// organisation.
	Spare float64
	// StartCredit is how many tokens of each organisation all gateways together may begin
	// with, if each of them has run before for the Window in which quotas are counted.
	StartCredit float64
	Window      time.Duration
	// PredecessorUptime returns for how long the process ran that this one replaced, and
	// false while that isn't known.
	PredecessorUptime func() (time.Duration, bool)
	Board             *board.Board
	Log               *logrus.Entry
}

// Exchange holds this gateway's tokens and exchanges them with the other gateways.
type Exchange struct {
	opts Options

	mu sync.Mutex
	// All below is guarded by mu. conn is nil until Run has opened it.
	conn    *net.UDPConn
	machine *policy.Machine
	// addresses are the other gateways' by their ID, ids the reverse.
	addresses map[string]netip.AddrPort
	ids       map[netip.AddrPort]string
	// waiting are the claims that wait for tokens, by organisation, sorted by rank and then
	// by arrival.
	waiting map[string][]*claim
	// usage is by organisation.
	usage map[string]*usage
	// creditDecided is set once it is known whether this gateway begins with a credit.
	creditDecided bool
}

// New returns an Exchange; Run starts it.
func New(o Options) *Exchange {
	x := &Exchange{
		opts: o, machine: policy.NewMachine(o.Self), addresses: map[string]netip.AddrPort{}, ids: map[netip.AddrPort]string{},
		waiting: map[string][]*claim{}, usage: map[string]*usage{},
	}
	o.Board.AddView("quotas", x.dump)
	return x
}

// Return gives back what a request took that hasn't run.
func (x *Exchange) Return(r Receipt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.machine.Return(boottime.Now(), r.organisation, r.taken)
	if u := x.usage[r.organisation]; u != nil {
		u.Used -= r.taken.Tokens
	}
}

// Run exchanges tokens until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	if x.opts.Listen == "" {
		<-ctx.Done()
		return nil
	}
	at, err := net.ResolveUDPAddr("udp", x.opts.Listen)
	if err != nil {
		return eris.Wrapf(err, "quota: resolve address %s", x.opts.Listen)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return eris.Wrapf(err, "quota: listen on %s", x.opts.Listen)
	}
	x.mu.Lock()
	x.conn = conn
	x.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.receive(ctx, conn) })
	group.Go(func() error { return x.tick(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

func (x *Exchange) tick(ctx context.Context) error {
	var listed time.Duration
	for wait.Sleep(ctx, tickInterval) {
		now := boottime.Now()
		interval := listInterval
		if x.isStarting(now) {
			interval = startListInterval
		}
		if now-listed >= interval {
			x.updateMembers(now)
			listed = now
		}
		x.mu.Lock()
		out := x.machine.Tick(now)
		x.mu.Unlock()
		x.send(out)
	}
	return nil
}

func (x *Exchange) isStarting(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.machine.Fraction(now) == 0
}

func (x *Exchange) updateMembers(now time.Duration) {
	list, read := x.opts.Members()
	ids := make([]string, 0, len(list))
	addresses, byAddress := map[string]netip.AddrPort{}, map[netip.AddrPort]string{}
	for _, m := range list {
		ids = append(ids, m.ID)
		if m.ID == x.opts.Self || m.Address == "" {
			continue
		}
		a, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			x.opts.Log.WithError(err).WithField("peer", m.ID).Debug("quota: address can't be parsed, gateway left out.")
			continue
		}
		addresses[m.ID], byAddress[a] = a, m.ID
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addresses, x.ids = addresses, byAddress
	x.machine.SetListed(ids, read, now)
	x.grantCreditLocked(now, len(ids))
}

// grantCreditLocked grants the start credit once, if the process that this one replaced
// ran for so long that no window has two credits of the gateway.
func (x *Exchange) grantCreditLocked(now time.Duration, gateways int) {
	uptime, ok := x.opts.PredecessorUptime()
	if x.creditDecided || !ok || gateways == 0 {
		return
	}
	x.creditDecided = true
	if uptime < x.opts.Window+policy.CreditLife {
		return
	}
	credit := x.opts.StartCredit / float64(gateways)
	x.opts.Log.WithFields(logrus.Fields{"tokens": credit, "predecessor": uptime.String()}).Info("quota: starting with a credit.")
	x.machine.GrantCredit(now, credit)
}

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that was sent to a dead peer can surface here as an error.
			x.opts.Log.WithError(err).Debug("quota: receive failed.")
			wait.Sleep(ctx, receivePause)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			malformed.Inc()
			x.opts.Log.WithError(err).WithField("from", from.String()).Warn("quota: cannot decode datagram.")
			continue
		}
		x.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

// handle passes a message to the machine. Messages of unlisted senders are ignored.
func (x *Exchange) handle(from netip.AddrPort, m policy.Message) {
	x.mu.Lock()
	id, ok := x.ids[from]
	if !ok {
		x.mu.Unlock()
		unknown.Inc()
		x.opts.OnUnknownSender()
		return
	}
	received.Inc()
	out := x.machine.Receive(boottime.Now(), id, m)
	if m.Answer && len(m.Parts) > 0 {
		now := boottime.Now()
		for organisation := range x.waiting {
			x.serveWaitingLocked(now, organisation)
		}
	}
	x.mu.Unlock()
	x.send(out)
}

func (x *Exchange) send(list []policy.Envelope) {
	if len(list) == 0 {
		return
	}
	x.mu.Lock()
	conn, addresses := x.conn, x.addresses
	x.mu.Unlock()
	for _, e := range list {
		to, ok := addresses[e.To]
		if conn == nil || !ok {
			continue
		}
		text, err := encode(e.Message)
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(text, to)
		}
		if err != nil {
			x.opts.Log.WithError(err).WithField("peer", e.To).Debug("quota: send failed.")
			continue
		}
		sent.Inc()
		sentBytes.Add(len(text))
	}
}
