package origin

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/place"
)

const (
	// tellCount is how many gateways keep a record, askCount how many are asked for it: the
	// lists of gateways may differ by those that came or went in between.
	tellCount = 4
	askCount  = 6
	// MaxWait bounds the wait for an answer, askAgainAfter is when those that haven't
	// answered are asked again, as datagrams may be lost.
	MaxWait       = 250 * time.Millisecond
	askAgainAfter = 80 * time.Millisecond
)

// Options of an Exchange.
type Options struct {
	// Self is the address of this gateway, Gateways returns those of all gateways.
	Self     string
	Gateways func() []string
	// Send sends a datagram to a gateway, and may lose it.
	Send func(to string, m *pb.OriginMessage)
}

// Exchange keeps records of streams, tells other gateways of them and asks for those that
// it lacks.
type Exchange struct {
	opts Options

	mu sync.Mutex
	// All below is guarded by mu.
	table     *Table
	questions map[uint32]chan answer
	// last is the number of the last question. It begins anywhere, so that a late answer to the process
	// before, at the same address, isn't one to this process.
	last uint32
}

// answer is what one gateway knows of a stream.
type answer struct {
	from   string
	record Record
	known  bool
}

// NewExchange returns an Exchange without records.
func NewExchange(o Options) *Exchange {
	return &Exchange{opts: o, table: NewTable(DefaultLimit), questions: map[uint32]chan answer{}, last: rand.Uint32()}
}

// holders returns the gateways that come first for a stream.
func (e *Exchange) holders(stream uint64, n int) []string {
	return place.Subset(strconv.FormatUint(stream, 16), e.opts.Gateways(), n)
}

// Tell stores a record for a time, here and at the stream's holders.
func (e *Exchange) Tell(r Record, ttl time.Duration) {
	ttl = min(ttl, maxTTL)
	e.put(r, ttl)
	m := &pb.OriginMessage{Told: encode(r, ttl)}
	for _, to := range e.holders(r.Stream, tellCount) {
		if to != e.opts.Self {
			e.opts.Send(to, m)
		}
	}
}

// Local returns the record of a stream if this gateway has it.
func (e *Exchange) Local(stream uint64) (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Get(stream, time.Now())
}

// Ask asks the stream's holders for its record and waits for the first that has it, for
// MaxWait at most. Without a record, the error says whether that is known or nobody answered.
func (e *Exchange) Ask(ctx context.Context, stream uint64) (Record, error) {
	open := map[string]bool{}
	for _, to := range e.holders(stream, askCount) {
		if to != e.opts.Self {
			open[to] = true
		}
	}
	number, answers := e.begin(len(open))
	defer e.end(number)
	again := time.NewTicker(askAgainAfter)
	defer again.Stop()
	timeout := time.NewTimer(MaxWait)
	defer timeout.Stop()
	e.ask(open, number, stream)
	asked := len(open)
	for len(open) > 0 {
		select {
		case <-ctx.Done():
			return Record{}, ErrNoAnswer
		case <-timeout.C:
			if len(open) == asked {
				return Record{}, ErrNoAnswer
			}
			return Record{}, ErrUnknown
		case <-again.C:
			e.ask(open, number, stream)
		case a := <-answers:
			if a.known && a.record.Stream == stream {
				return a.record, nil
			}
			delete(open, a.from)
		}
	}
	return Record{}, ErrUnknown
}

// Errors of Ask.
var (
	// ErrUnknown: no gateway that answered has a record, or there is no other gateway.
	ErrUnknown = errors.New("origin: no gateway knows the stream")
	// ErrNoAnswer: none of the gateways answered.
	ErrNoAnswer = errors.New("origin: no gateway answered")
)

func (e *Exchange) ask(open map[string]bool, number uint32, stream uint64) {
	for to := range open {
		e.opts.Send(to, &pb.OriginMessage{Question: number, Asked: stream})
	}
}

// begin opens a question to so many gateways, each of which may answer each of its tries.
func (e *Exchange) begin(gateways int) (uint32, <-chan answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = max(1, e.last+1)
	answers := make(chan answer, gateways*int(MaxWait/askAgainAfter+1))
	e.questions[e.last] = answers
	return e.last, answers
}

func (e *Exchange) end(number uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.questions, number)
}

// Handle handles a datagram of another gateway.
func (e *Exchange) Handle(from string, m *pb.OriginMessage) {
	switch {
	case m.Question != 0:
		reply := &pb.OriginMessage{Answers: m.Question}
		if r, ok := e.Local(m.Asked); ok {
			reply.Told = encode(r, 0)
		}
		e.opts.Send(from, reply)
	case m.Answers != 0:
		e.answered(m.Answers, answer{from: from, record: decode(m.Told), known: m.Told != nil})
	case m.Told != nil:
		e.put(decode(m.Told), time.Duration(m.Told.TtlMs)*time.Millisecond)
	}
}

func (e *Exchange) answered(number uint32, a answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case e.questions[number] <- a:
	default:
	}
}

// maxTTL bounds the time that a peer's record asks for.
const maxTTL = HistoryTTL

func (e *Exchange) put(r Record, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Put(r, min(ttl, maxTTL), time.Now())
}

func encode(r Record, ttl time.Duration) *pb.Origin {
	return &pb.Origin{Stream: r.Stream, Content: r.Content, Service: r.Service, Software: r.Software, TtlMs: uint32(ttl.Milliseconds())}
}

func decode(o *pb.Origin) Record {
	return Record{Stream: o.GetStream(), Content: o.GetContent(), Service: o.GetService(), Software: o.GetSoftware()}
}
