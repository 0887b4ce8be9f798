package slopes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/renewal"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	"jayford.example/jayford/internal/transport"
)

const (
	// renewEvery is that of package agents.
	renewEvery = 400 * time.Millisecond
	// grantIdle keeps a grant for a window of up to 6 s; the agent allows 10.
	grantIdle = 10 * time.Second
	// simulatedSlots hold a grant for each of the full number of entries.
	simulatedSlots = 512
	// quickPrefill, of 1,000 tokens, keeps an engine's time out of what is measured.
	quickPrefill = time.Millisecond
)

func newEngine(slots int, prefillPerThousand time.Duration) *enginestandin.Engine {
	return enginestandin.New(enginestandin.Options{
		Model: modelName(0), DecodeSlots: slots, OmitTokenEntries: true, KVTTL: time.Minute, KVBytesPerToken: 1,
		TokenTimePerSlot: time.Nanosecond, PrefillPerThousand: prefillPerThousand, PrefillQueue: slots,
	})
}

// entryName and requestName are as long as those of a platform's instances.
func entryName(i int) string { return fmt.Sprintf("entry-%03d#1764711437000000000", i) }

func requestName(entry, n int) string { return fmt.Sprintf("entry-%03d-dez5h6nx7q5c-%06d", entry, n) }

// simulated is an entry as an agent sees it.
type simulated struct {
	number   int
	api      pb.AgentClient
	attempts []*pb.Attempt
	sequence uint64
}

func (b *Bench) simulate(number, attempts int, address string, m *meter) (*simulated, error) {
	own, err := b.identity("entry", "simulated-entry")
	if err != nil {
		return nil, err
	}
	opts := append(transport.DialOptions(), own.DialOption("agent"), grpc.WithContextDialer(m.dial))
	cc, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, err
	}
	b.group.Go(func() error { <-b.ctx.Done(); cc.Close(); return nil })
	s := &simulated{number: number, api: pb.NewAgentClient(cc)}
	for n := range attempts {
		s.attempts = append(s.attempts, &pb.Attempt{Request: requestName(number, n), Number: 1, Entry: entryName(number)})
	}
	return s, nil
}

// hold reserves a slot for each attempt; they stand idle, which costs an agent
// the same renewals as running ones.
func (s *simulated) hold(ctx context.Context) error {
	for _, a := range s.attempts {
		r, err := s.api.Reserve(ctx, &pb.ReserveRequest{
			Attempt: a, Phase: pb.Phase_PHASE_DECODE, IdleMs: uint32(grantIdle.Milliseconds()), PromptTokens: 1000,
		})
		if err != nil {
			return err
		}
		if r.Refusal != nil {
			return fmt.Errorf("reservation refused: %s", r.Refusal.Reason)
		}
	}
	return nil
}

func (s *simulated) renew(ctx context.Context) error {
	stream, err := s.api.RenewStream(ctx)
	if err != nil {
		return err
	}
	sender := renewal.NewSender(entryName(s.number))
	live := make(map[renewal.Attempt]struct{})
	for _, a := range s.attempts {
		live[renewal.Attempt{Request: a.Request, Number: a.Number}] = struct{}{}
	}
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s.sequence++
		if err := stream.Send(sender.Frame(s.sequence, live)); err != nil {
			return err
		}
		ack, err := stream.Recv()
		if err != nil {
			return err
		}
		sender.HandleAck(ack)
	}
}

// measured starts an agent beside an engine, with an entry that brings it the
// configuration, and waits until both are at rest.
func (b *Bench) measured(engine *enginestandin.Engine, slots int) (p *process, a settings.Agent, err error) {
	_, e, err := b.entry("entry-0", benchZone)
	if err != nil {
		return nil, a, err
	}
	address, err := b.serve(engine, new(meter))
	if err != nil {
		return nil, a, err
	}
	p, a, err = b.agent("agent-0", benchZone, address, slots)
	if err != nil {
		return nil, a, err
	}
	b.publish()
	for _, operator := range []string{e.Operator, a.Operator} {
		if err := waitStatus(operator); err != nil {
			return nil, a, err
		}
	}
	time.Sleep(settleTime)
	return p, a, nil
}

// held measures an agent under the renewals of entries with so many attempts
// each.
func (b *Bench) held(entries, attempts int) (spent, error) {
	var out spent
	err := b.scene(fullFleet(deadAddress), func() error {
		p, a, err := b.measured(newEngine(simulatedSlots, quickPrefill), simulatedSlots)
		if err != nil {
			return err
		}
		var wire meter
		var all []*simulated
		for i := range entries {
			s, err := b.simulate(i, attempts, a.Peer, &wire)
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		for _, s := range all {
			if err := s.hold(b.ctx); err != nil {
				return err
			}
		}
		for _, s := range all {
			b.group.Go(func() error { return s.renew(b.ctx) })
		}
		time.Sleep(time.Second)
		out, err = b.watch(p, &wire)
		if err == nil && b.ctx.Err() != nil {
			err = eris.New("an entry's renewals failed")
		}
		return err
	})
	return out, err
}

// Agent measures what entries that hold live grants cost an agent.
func Agent(b *Bench) error {
	entries := newThreeCosts("an agent, 1 attempt an entry", "entries with live grants")
	for _, n := range []int{1, 10, 20, 50, 150, 370} {
		s, err := b.held(n, 1)
		if err != nil {
			return err
		}
		entries.add(float64(n), s)
	}
	entries.print(b, 20, fullEntries)
	attempts := newThreeCosts("an agent, 10 entries", "attempts of each entry")
	for _, n := range []int{1, 5, 10, 20, 40} {
		s, err := b.held(10, n)
		if err != nil {
			return err
		}
		attempts.add(float64(n), s)
	}
	attempts.print(b, 2)
	return nil
}

// Tokens measures the data path: what a token's message costs an agent and an
// entry.
func Tokens(b *Bench) error {
	agent := newThreeCosts("data path, an agent", "tokens/s")
	entry := newThreeCosts("data path, an entry", "tokens/s")
	for _, streams := range []int{0, 5, 10, 20, 40} {
		err := b.scene(fleet{models: 1}, func() error {
			one, two, err := b.streamed(streams)
			if err != nil {
				return err
			}
			agent.add(one.bytes, one)
			entry.add(one.bytes, two)
			return nil
		})
		if err != nil {
			return err
		}
	}
	agent.core.print(b.Out, 390)
	agent.resident.print(b.Out, 390)
	entry.core.print(b.Out, 1160)
	entry.resident.print(b.Out, 1160)
	return nil
}

// streamed returns what streams cost an agent and an entry; bytes are tokens a
// second here.
func (b *Bench) streamed(streams int) (agent, entry spent, err error) {
	ep, e, err := b.entry("entry-0", benchZone)
	if err != nil {
		return agent, entry, err
	}
	var decode *process
	for _, role := range []string{"prefill", "decode"} {
		backend, err := b.serve(newEngine(simulatedSlots, quickPrefill), new(meter))
		if err != nil {
			return agent, entry, err
		}
		p, a, err := b.agent(role, benchZone, backend, simulatedSlots)
		if err != nil {
			return agent, entry, err
		}
		o := marshal("server", a.ID, map[string]any{"format": 1, "labels": map[string]string{"model": modelName(0), "role": role}})
		if _, err := b.platform.Put(o); err != nil {
			return agent, entry, err
		}
		decode = p
	}
	b.publish()
	if err := waitStatus(e.Operator); err != nil {
		return agent, entry, err
	}
	time.Sleep(settleTime)
	var counted tokenCount
	for i := range streams {
		b.group.Go(func() error {
			for b.ctx.Err() == nil {
				counted.stream(b.ctx, e.Listen, ask{model: modelName(0), prompt: fmt.Sprintf("stream %d", i) + strings.Repeat(" word", 200), tokens: 400})
			}
			return nil
		})
	}
	time.Sleep(settleTime)
	before := counted.tokens.Load()
	u, err := ep.usage()
	if err != nil {
		return agent, entry, err
	}
	if agent, err = b.watch(decode, nil); err != nil {
		return agent, entry, err
	}
	v, err := ep.usage()
	entry = spent{core: share(u, v), resident: v.resident / megabytes}
	agent.bytes = float64(counted.tokens.Load()-before) / v.at.Sub(u.at).Seconds()
	if n := counted.failed.Load(); n > 0 {
		b.printf("  %d of the streams failed\n", n)
	}
	return agent, entry, err
}
