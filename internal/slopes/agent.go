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
	// renewEvery is the renewal interval of package agents.
	renewEvery = 400 * time.Millisecond
	// grantIdle keeps idle grants for a window of up to 6 s; the agent allows 10 s.
	grantIdle = 10 * time.Second
	// simulatedSlots is enough for one grant of each entry at full size.
	simulatedSlots = 512
	// quickPrefill is the time per 1,000 tokens, short enough to keep the engine's
	// time out of the measurement.
	quickPrefill = time.Millisecond
)

func newEngine(slots int, prefillPerThousand time.Duration) *enginestandin.Engine {
	return enginestandin.New(enginestandin.Options{
		Model: modelName(0), DecodeSlots: slots, OmitTokenEntries: true, KVTTL: time.Minute, KVBytesPerToken: 1,
		TokenTimePerSlot: time.Nanosecond, PrefillPerThousand: prefillPerThousand, PrefillQueue: slots,
	})
}

// entryName and requestName return names of the same length as those of instances
// of a platform.
func entryName(i int) string { return fmt.Sprintf("entry-%03d#1764711437000000000", i) }

func requestName(entry, n int) string { return fmt.Sprintf("entry-%03d-dez5h6nx7q5c-%06d", entry, n) }

// simulatedEntry acts as an entry towards an agent.
type simulatedEntry struct {
	number   int
	api      pb.AgentClient
	attempts []*pb.Attempt
	sequence uint64
}

func (b *Bench) simulate(number, attempts int, address string, m *meter) (*simulatedEntry, error) {
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
	s := &simulatedEntry{number: number, api: pb.NewAgentClient(cc)}
	for n := range attempts {
		s.attempts = append(s.attempts, &pb.Attempt{Request: requestName(number, n), Number: 1, Entry: entryName(number)})
	}
	return s, nil
}

// hold reserves a slot for each attempt. The attempts stay idle; their renewals cost
// an agent the same as those of running attempts.
func (s *simulatedEntry) hold(ctx context.Context) error {
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

func (s *simulatedEntry) renew(ctx context.Context) error {
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

// startAgent starts an agent with an engine and an entry that supplies its
// configuration, and waits until both are idle.
func (b *Bench) startAgent(engine *enginestandin.Engine, slots int) (p *process, a settings.Agent, err error) {
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

// measureGrants measures an agent that receives the renewals of entries, each with
// the given number of attempts.
func (b *Bench) measureGrants(entries, attempts int) (cost, error) {
	var out cost
	err := b.runScenario(fullFleet(deadAddress), func() error {
		p, a, err := b.startAgent(newEngine(simulatedSlots, quickPrefill), simulatedSlots)
		if err != nil {
			return err
		}
		var wire meter
		var all []*simulatedEntry
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
		out, err = b.measure(p, &wire)
		if err == nil && b.ctx.Err() != nil {
			err = eris.New("an entry's renewals failed")
		}
		return err
	})
	return out, err
}

// Agent measures the cost of entries with live grants for an agent.
func Agent(b *Bench) error {
	entries := newCostSeries("an agent, 1 attempt an entry", "entries with live grants")
	for _, n := range []int{1, 10, 20, 50, 150, 370} {
		s, err := b.measureGrants(n, 1)
		if err != nil {
			return err
		}
		entries.add(float64(n), s)
	}
	entries.print(b, 20, fullEntries)
	attempts := newCostSeries("an agent, 10 entries", "attempts of each entry")
	for _, n := range []int{1, 5, 10, 20, 40} {
		s, err := b.measureGrants(10, n)
		if err != nil {
			return err
		}
		attempts.add(float64(n), s)
	}
	attempts.print(b, 2)
	return nil
}

// Tokens measures the data path: the cost of a token's message for an agent and an
// entry.
func Tokens(b *Bench) error {
	agent := newCostSeries("data path, an agent", "tokens/s")
	entry := newCostSeries("data path, an entry", "tokens/s")
	for _, streams := range []int{0, 5, 10, 20, 40} {
		err := b.runScenario(fleet{models: 1}, func() error {
			one, two, err := b.measureStreams(streams)
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

// measureStreams returns the cost of streams for an agent and an entry. The bytes
// of agent hold tokens per second instead.
func (b *Bench) measureStreams(streams int) (agent, entry cost, err error) {
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
				counted.stream(b.ctx, e.Listen, callerRequest{model: modelName(0), prompt: fmt.Sprintf("stream %d", i) + strings.Repeat(" word", 200), tokens: 400})
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
	if agent, err = b.measure(decode, nil); err != nil {
		return agent, entry, err
	}
	v, err := ep.usage()
	entry = cost{core: share(u, v), resident: v.resident / megabytes}
	agent.bytes = float64(counted.tokens.Load()-before) / v.at.Sub(u.at).Seconds()
	if n := counted.failed.Load(); n > 0 {
		b.printf("  %d of the streams failed\n", n)
	}
	return agent, entry, err
}
