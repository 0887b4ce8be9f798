package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/policy/confirm"
)

var (
	storeQuestions     = metrics.NewCounter("jayford_gateway_store_questions_total")
	storeConfirmations = metrics.NewCounter("jayford_gateway_store_peer_confirmations_total")
	storeNewer         = metrics.NewCounter("jayford_gateway_store_newer_at_peer_total")
	storeLate          = metrics.NewCounter("jayford_gateway_store_late_answers_total")
	storeMalformed     = metrics.NewCounter("jayford_gateway_store_malformed_total")
	storePolls         = metrics.NewCounter("jayford_gateway_store_polls_total")
)

// StoreSharing is how a gateway asks others what they know of the store.
type StoreSharing struct {
	// Peers returns the addresses of the other gateways.
	Peers func() []string
	// Send sends a datagram to a gateway, and may lose it. It reports whether the message fits
	// into one.
	Send func(to string, m *pb.StoreMessage) bool
}

// reliance is what a gateway's confirmation of the configuration rests on.
type reliance int

const (
	relianceNone reliance = iota
	relianceStore
	reliancePeers
)

func (r reliance) String() string { return [...]string{"none", "store", "peers"}[r] }

// confirmations exchanges confirmations of the configuration with other gateways. It does
// nothing where keys don't expire.
type confirmations struct {
	log *logrus.Entry
	// expiry is Options.KeyExpiry, now reads the boot time.
	expiry time.Duration
	now    func() time.Duration

	mu sync.Mutex
	// All below is guarded by mu. rely is set by run.
	machine *confirm.Machine
	sharing StoreSharing
	rely    func(at time.Duration)
	kind    string
	copy    confirm.Copy
	mode    reliance

	// polls signals that the store should be polled.
	polls chan struct{}
}

func newConfirmations(expiry time.Duration, b *board.Board, log *logrus.Entry) *confirmations {
	c := &confirmations{
		log: log, expiry: expiry, now: boottime.Now, polls: make(chan struct{}, 1),
		machine: confirm.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		sharing: StoreSharing{Peers: func() []string { return nil }, Send: func(string, *pb.StoreMessage) bool { return true }},
	}
	if c.isOn() {
		b.AddView("storeConfirmation", c.view)
	}
	return c
}

func (c *confirmations) isOn() bool { return c.expiry > 0 }

// ShareStore makes the gateway ask others what they know of the store. It must be called
// before Follow.
func (g *Gateway) ShareStore(s StoreSharing) {
	g.confirmations.mu.Lock()
	defer g.confirmations.mu.Unlock()
	g.confirmations.sharing = s
}

// HandleStore handles another gateway's datagram about what the store holds.
func (g *Gateway) HandleStore(from string, m *pb.StoreMessage) {
	if g.confirmations.isOn() {
		g.confirmations.receive(from, m)
	}
}

// applied returns the function that records what the gateway's copy of a kind has.
func (c *confirmations) applied(kind string) func(follow.Copy) {
	return func(x follow.Copy) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.kind, c.copy = kind, confirm.Copy(x)
		c.machine.Applied(kind, c.copy)
	}
}

// confirmed records a confirmation by the store.
func (c *confirmations) confirmed(kind string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Confirmed(kind, at)
}

// receive handles a datagram. The clock is read after it has arrived.
func (c *confirmations) receive(from string, m *pb.StoreMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(c.machine.Receive(c.now(), from, decodeStore(m)))
	c.useLocked()
}

// useLocked relies on what the machine knows, and has the store polled if that is due.
func (c *confirmations) useLocked() {
	if at, ok := c.machine.ConfirmedAt(c.kind); ok && c.rely != nil {
		c.rely(at)
	}
	if len(c.machine.Due()) == 0 {
		return
	}
	select {
	case c.polls <- struct{}{}:
	default:
	}
}

func (c *confirmations) sendLocked(list []confirm.Envelope) {
	for _, e := range list {
		c.sharing.Send(e.To, encodeStore(e.Message))
	}
}

// run asks peers and polls the store when that is due, until ctx ends.
func (c *confirmations) run(ctx context.Context, f *follow.Follower, s *configSource) error {
	if !c.isOn() {
		return nil
	}
	c.mu.Lock()
	c.rely = s.rely
	c.mu.Unlock()
	ticker := time.NewTicker(confirm.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick(f.IsFailing())
		case <-c.polls:
			storePolls.Inc()
			go f.Poll(ctx)
		}
	}
}

// tick asks peers if the confirmation is old. isFailing tells that the store doesn't answer
// this gateway.
func (c *confirmations) tick(isFailing bool) {
	peers := c.sharing.Peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(c.machine.Tick(c.now(), peers))
	c.useLocked()
	c.report(isFailing)
	n := c.machine.Counts()
	storeQuestions.Set(n.Questions)
	storeConfirmations.Set(n.Confirmations)
	storeNewer.Set(n.Newer)
	storeLate.Set(n.Late)
	storeMalformed.Set(n.Malformed)
}

// report logs when what the confirmation rests on changes.
func (c *confirmations) report(isFailing bool) {
	mode, age := relianceStore, c.ageLocked()
	switch {
	case age >= c.expiry:
		mode = relianceNone
	case isFailing:
		mode = reliancePeers
	}
	if mode == c.mode {
		return
	}
	c.log.WithFields(logrus.Fields{
		"by": mode.String(), "before": c.mode.String(), "age": age.Round(time.Millisecond).String(),
	}).Info("gateway: what confirms the configuration changed.")
	c.mode = mode
}

// ageLocked returns the age of the confirmation.
func (c *confirmations) ageLocked() time.Duration {
	at, ok := c.machine.ConfirmedAt(c.kind)
	if !ok {
		return math.MaxInt64
	}
	return c.now() - at
}

// confirmationView is what the dump shows.
type confirmationView struct {
	Kind              string
	By                string
	AgeMs             int64
	Position, Changed uint64
	Counts            confirm.Counts
}

func (c *confirmations) view() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return confirmationView{
		Kind: c.kind, By: c.mode.String(), AgeMs: c.ageLocked().Milliseconds(),
		Position: c.copy.Position, Changed: c.copy.Changed, Counts: c.machine.Counts(),
	}
}

func encodeStore(x confirm.Message) *pb.StoreMessage {
	out := &pb.StoreMessage{Question: x.Question, Answers: x.Answers}
	for _, a := range x.Copies {
		// The age is rounded up: it must not be too small.
		age := (a.Age + time.Microsecond - 1) / time.Microsecond
		out.Copies = append(out.Copies, &pb.StoreCopy{Kind: a.Kind, Changed: a.Changed, AgeUs: uint64(age)})
	}
	return out
}

// decodeStore converts a message. An age that is out of range becomes a negative one, with
// which the message isn't valid.
func decodeStore(m *pb.StoreMessage) confirm.Message {
	out := confirm.Message{Question: m.Question, Answers: m.Answers}
	for _, x := range m.Copies {
		age := time.Duration(-1)
		if x.AgeUs <= math.MaxInt64/uint64(time.Microsecond) {
			age = time.Duration(x.AgeUs) * time.Microsecond
		}
		out.Copies = append(out.Copies, confirm.Answer{Kind: x.Kind, Changed: x.Changed, Age: age})
	}
	return out
}
