package quota

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	policy "jayford.example/jayford/internal/policy/quota"
	"jayford.example/jayford/internal/verdict"
)

// testFleet is a number of exchanges over loopback.
type testFleet struct {
	t       *testing.T
	members []Member
	list    []*Exchange
}

func newTestFleet(t *testing.T, n int, q catalog.Quota) *testFleet {
	f := &testFleet{t: t}
	var held []net.PacketConn
	for i := range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		held = append(held, c)
		f.members = append(f.members, Member{ID: fmt.Sprint("g", i), Address: c.LocalAddr().String()})
	}
	for _, c := range held {
		assert.NilError(t, c.Close())
	}
	for _, m := range f.members {
		f.list = append(f.list, f.start(m, q, 0))
	}
	return f
}

func (f *testFleet) start(m Member, q catalog.Quota, predecessor time.Duration) *Exchange {
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := New(Options{
		Self: m.ID, Listen: m.Address, OnUnknownSender: func() {}, Board: board.New(), Log: logrus.NewEntry(log),
		Members:     func() ([]Member, time.Duration) { return f.members, boottime.Now() },
		StartCredit: 3000, Window: time.Second, PredecessorUptime: func() (time.Duration, bool) { return predecessor, true },
	})
	o := catalog.NewOrganisations()
	o.Add(catalog.Organisation{Name: "one", Quota: q})
	o.Add(catalog.Organisation{Name: "unlimited"})
	x.SetOrganisations(o)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { assert.Check(f.t, x.Run(ctx)) })
	f.t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return x
}

// The tokens that all gateways have created can be spent at one of them.
func TestTokensReachTheGatewayThatNeedsThem(t *testing.T) {
	f := newTestFleet(t, 4, catalog.Quota{PerSecond: 10_000, Burst: 10_000, InTokens: true})
	time.Sleep(1500 * time.Millisecond)
	spent := 0.0
	for range 16 {
		if _, err := f.list[0].Take(t.Context(), "one", 500, 0, 300*time.Millisecond); err == nil {
			spent += 500
		}
	}
	// A quarter of them is this gateway's own.
	assert.Assert(t, spent > 6000, spent)
	_, err := f.list[0].Take(t.Context(), "unlimited", 1e9, 0, 0)
	assert.Assert(t, err == nil)
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	f := newTestFleet(t, 2, catalog.Quota{PerSecond: 100, Burst: 1000, InTokens: true})
	_, err := f.list[0].Take(t.Context(), "one", 500, 0, 50*time.Millisecond)
	assert.Equal(t, err.Code, verdict.OverQuota)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 2*time.Second && err.RetryAfter < 12*time.Second, err.RetryAfter)
	// No time helps a request that costs more than can ever be held.
	_, err = f.list[0].Take(t.Context(), "one", 1001, 0, time.Hour)
	assert.Equal(t, err.Code, verdict.OverQuota)
	assert.Equal(t, err.RetryAfter, time.Duration(0))
}

// Guards against an organisation that is refused at first because its gateways have all
// restarted, and against one that gains by restarts in quick succession.
func TestStartCreditNeedsALongLivedPredecessor(t *testing.T) {
	for _, x := range []struct {
		predecessor time.Duration
		credited    bool
	}{{0, false}, {3 * time.Second, false}, {time.Minute, true}} {
		f := newTestFleet(t, 1, catalog.Quota{PerSecond: 1, Burst: 1000, InTokens: true})
		n := f.start(Member{ID: "g0", Address: "127.0.0.1:0"}, catalog.Quota{PerSecond: 1, Burst: 3000, InTokens: true}, x.predecessor)
		_, err := n.Take(t.Context(), "one", 3000, 0, 300*time.Millisecond)
		assert.Equal(t, err == nil, x.credited, "%v", x.predecessor)
	}
}

// Guards against a collection whose answer doesn't fit into a datagram: two gateways and
// a thousand organisations, each with as many lots as an account has.
func TestCollectionsFitIntoDatagrams(t *testing.T) {
	const organisations = 1200
	now := time.Hour
	limits := map[string]policy.Limit{}
	for i := range organisations {
		limits[fmt.Sprint("organisation-", i)] = policy.Limit{PerSecond: 1e6, Burst: 1e7}
	}
	ids := []string{"g0", "g1"}
	pool, other := policy.NewMachine("g0"), policy.NewMachine("g1")
	for _, m := range []*policy.Machine{pool, other} {
		m.SetLimits(now, limits)
		m.SetListed(ids, now, now)
		m.Receive(now, "g0", policy.Message{Answer: true})
		m.Receive(now, "g1", policy.Message{Answer: true})
	}
	for range 40 {
		now += 300 * time.Millisecond
		for name := range limits {
			_, _, _ = other.Take(now, name, 1, 0)
		}
	}
	collected := 0
	for name := range limits {
		for _, e := range pool.Ask(now, name, 1e7, 0) {
			pool.Receive(now, "g1", policy.Message{ID: e.ID, Answer: true})
		}
	}
	now += time.Second
	for _, e := range pool.Tick(now) {
		for _, answer := range other.Receive(now, "g0", e.Message) {
			text, err := encode(answer.Message)
			assert.NilError(t, err)
			assert.Assert(t, len(text) < maxDatagramBytes-100, "%d bytes for %d accounts", len(text), len(e.Parts))
			collected += len(answer.Parts)
		}
	}
	assert.Assert(t, collected > organisations/3, collected)
}

// Guards against tokens that appear on their way by rounding.
func TestEncodingAddsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := policy.Message{ID: rapid.Uint64().Draw(t, "id"), Answer: rapid.Bool().Draw(t, "answer"), Collect: rapid.Bool().Draw(t, "collect")}
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			in.Parts = append(in.Parts, policy.Part{
				Account: rapid.Uint64().Draw(t, "account"), Need: rapid.Float64Range(0, 1e9).Draw(t, "need"),
				Lots: []policy.Lot{{Tokens: rapid.Float64Range(0, 1e9).Draw(t, "tokens"), Life: time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "life"))}},
			})
		}
		text, err := encode(in)
		assert.NilError(t, err)
		out, err := decode(text)
		assert.NilError(t, err)
		assert.Equal(t, out.ID, in.ID)
		assert.Equal(t, len(out.Parts), len(in.Parts))
		for i, p := range out.Parts {
			assert.Equal(t, p.Account, in.Parts[i].Account)
			assert.Assert(t, p.Lots[0].Tokens <= in.Parts[i].Lots[0].Tokens)
			assert.Assert(t, p.Lots[0].Life <= in.Parts[i].Lots[0].Life)
			assert.Assert(t, p.Need >= in.Parts[i].Need-1e-6)
		}
	})
}

// Guards against crashes and tokens from bytes that no gateway sent.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x09\x01\x02\x03\x04\x05\x06\x07\x08\x22\x02\x08\x01"))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := decode(text)
		if err != nil {
			return
		}
		for _, p := range m.Parts {
			for _, l := range p.Lots {
				if l.Tokens < 0 || l.Life < 0 {
					t.Fatalf("%+v", l)
				}
			}
		}
	})
}

// Guards against requests that ask anew whenever any answer arrives: the more of them
// wait, the more each of them asks.
func TestWaitingRequestsDontMultiplyAsks(t *testing.T) {
	const waiting, patience = 40, 400 * time.Millisecond
	f := newTestFleet(t, 3, catalog.Quota{PerSecond: 50_000, Burst: 50_000, InTokens: true})
	time.Sleep(300 * time.Millisecond)
	before := sent.Get()
	var requests sync.WaitGroup
	for range waiting {
		requests.Go(func() { _, _ = f.list[0].Take(t.Context(), "one", 5000, 0, patience) })
	}
	requests.Wait()
	asks := uint64(waiting * (patience/askAgainAfter + 1))
	// Each has an answer, and pools collect meanwhile.
	assert.Assert(t, sent.Get()-before < 2*asks, "%d datagrams", sent.Get()-before)
}

func TestTakeEndsWithItsCaller(t *testing.T) {
	f := newTestFleet(t, 1, catalog.Quota{PerSecond: 100, Burst: 1000, InTokens: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.list[0].Take(ctx, "one", 900, 0, time.Minute)
	assert.Equal(t, err.Code, verdict.Cancelled)
	assert.Equal(t, err.Verdict, verdict.NotRun)
}

// Guards against amounts beyond the range of the wire, which would be sent as others on another
// architecture.
func TestExcessiveAmountsFitTheWire(t *testing.T) {
	text, err := encode(policy.Message{ID: 1, Parts: []policy.Part{{Account: 1, Need: 1e300, Want: 1e300, Lots: []policy.Lot{{Tokens: 1e300}, {Tokens: -1}}}}})
	assert.NilError(t, err)
	m, err := decode(text)
	assert.NilError(t, err)
	const most = float64(maxUnits) / unitsPerToken
	p := m.Parts[0]
	assert.Check(t, p.Need == most && p.Want == most && p.Lots[0].Tokens == most, "%+v", p)
	assert.Equal(t, p.Lots[1].Tokens, 0.0)
}
