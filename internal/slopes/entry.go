package slopes

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent"
	"jayford.example/jayford/internal/identity"
	"jayford.example/jayford/internal/renewal"
)

// answerTime is how long an answer of 239 tokens takes if 733 decode engines of
// 20 slots give 430,000 tokens a second.
const answerTime = 8 * time.Second

// simulatedAgents answers for all agents of a fleet at one address.
type simulatedAgents struct {
	pb.UnimplementedAgentServer
	identity identity.Identity
	// renewals, renewed and reserves count since the start; renewed are the
	// attempts listed.
	renewals, renewed, reserves, dataBytes atomic.Int64
	answer                                 time.Duration
	// full agents refuse all reservations, patient ones only after the wait
	// that the entry allows: their queues have room.
	full, patient bool
}

func newSimulatedAgents(answer time.Duration) *simulatedAgents {
	return &simulatedAgents{answer: answer}
}

// Serve implements the bench's server.
func (s *simulatedAgents) Serve(ctx context.Context, l net.Listener) error {
	srv := grpc.NewServer(append(agent.ServerOptions(), s.identity.ServerOptions("entry")...)...)
	pb.RegisterAgentServer(srv, s)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	return srv.Serve(l)
}

func simulatedLoad() *pb.Load {
	return &pb.Load{
		Slots: 20, Used: 12, Queued: 1, QueuedTokens: 3000, TokenUs: 45_000, PrefillUs: 100_000,
		EngineIncarnation: 1764711437000000000,
	}
}

func (s *simulatedAgents) Reserve(_ context.Context, q *pb.ReserveRequest) (*pb.ReserveReply, error) {
	s.reserves.Add(1)
	if s.patient {
		time.Sleep(time.Duration(q.GetWaitMs()) * time.Millisecond)
	}
	if s.full {
		return &pb.ReserveReply{Refusal: &pb.Refusal{
			Reason: pb.Reason_REASON_FULL, Verdict: pb.Verdict_VERDICT_NOT_RUN,
		}, Incarnation: 1764711437000000000, Load: simulatedLoad()}, nil
	}
	return &pb.ReserveReply{Incarnation: 1764711437000000000, Load: simulatedLoad()}, nil
}

func (s *simulatedAgents) Release(context.Context, *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	return &pb.ReleaseReply{Load: simulatedLoad()}, nil
}

func (s *simulatedAgents) Renew(_ context.Context, q *pb.RenewRequest) (*pb.RenewReply, error) {
	s.renewals.Add(1)
	s.renewed.Add(int64(len(q.GetAttempts())))
	return &pb.RenewReply{Incarnation: 1764711437000000000, Load: simulatedLoad()}, nil
}

// RenewStream says something new of its load with each answer, as a busy agent
// does.
func (s *simulatedAgents) RenewStream(stream pb.Agent_RenewStreamServer) error {
	r := renewal.NewReceiver()
	for {
		f, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := r.HandleFrame(f); err != nil {
			return err
		}
		s.renewed.Add(int64(len(r.Listed())))
		l := simulatedLoad()
		l.Used += uint32(s.renewals.Add(1)) % 2
		l.QueuedTokens += f.GetSequence() % 1000
		if err := stream.Send(r.Ack(1764711437000000000, l)); err != nil {
			return err
		}
	}
}

func (s *simulatedAgents) Prefill(_ context.Context, q *pb.PrefillRequest) (*pb.PrefillReply, error) {
	time.Sleep(200 * time.Millisecond)
	s.dataBytes.Add(int64(len(q.GetPrompt())))
	return &pb.PrefillReply{
		Kv: "kv-1", Source: "127.0.0.1:9", PromptTokens: 1000, KvBytes: 1e8, ExpiresMs: 800, Load: simulatedLoad(),
	}, nil
}

// Decode sends its token in one message and ends when the answer would, so that
// the wire carries almost nothing but control.
func (s *simulatedAgents) Decode(q *pb.DecodeRequest, out pb.Agent_DecodeServer) error {
	s.dataBytes.Add(int64(len(q.GetPrompt())))
	first := &pb.DecodeEvent{Attempt: q.GetAttempt(), Started: true, Tokens: []*pb.Token{{Text: "token "}}}
	if err := out.Send(first); err != nil {
		return err
	}
	select {
	case <-time.After(s.answer):
	case <-out.Context().Done():
		return out.Context().Err()
	}
	return out.Send(&pb.DecodeEvent{
		Attempt: q.GetAttempt(), End: &pb.DecodeEnd{Tokens: 1, FinishReason: "stop"}, Load: simulatedLoad(),
	})
}

// loaded is what requests cost an entry.
type loaded struct {
	spent
	renewals, attempts, reserves float64
}

// requested measures an entry of the full fleet at a rate of requests, spread
// over so many models.
func (b *Bench) requested(perSecond float64, models int, answer time.Duration) (loaded, error) {
	var out loaded
	agents := newSimulatedAgents(answer)
	var wire meter
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return out, err
	}
	if agents.identity, err = b.identity("agent", "simulated-agent"); err != nil {
		return out, err
	}
	err = b.scene(fullFleet(l.Addr().String()), func() error {
		b.group.Go(func() error { return agents.Serve(b.ctx, &meteredListener{l, &wire}) })
		p, e, err := b.entry("entry-0", benchZone)
		if err != nil {
			return err
		}
		b.publish()
		if err := waitStatus(e.Operator); err != nil {
			return err
		}
		time.Sleep(settleTime)
		var counted tokenCount
		if perSecond > 0 {
			b.warmUp(e.Listen, models, &counted)
			b.group.Go(func() error { b.call(b.ctx, e.Listen, perSecond, models, &counted); return nil })
		}
		time.Sleep(answer + settleTime)
		renewals, attempts, data := agents.renewals.Load(), agents.renewed.Load(), agents.dataBytes.Load()
		reserves := agents.reserves.Load()
		out.spent, err = b.watch(p, &wire)
		s := b.Window.Seconds()
		out.renewals = float64(agents.renewals.Load()-renewals) / s
		out.attempts = float64(agents.renewed.Load()-attempts) / s
		out.reserves = float64(agents.reserves.Load()-reserves) / s
		out.bytes -= float64(agents.dataBytes.Load()-data) / s
		if n := counted.failed.Load(); n > 0 {
			b.printf("  %d requests failed\n", n)
		}
		return err
	})
	return out, err
}

// An entry that has run for a while has a connection to each agent that it looks
// at, 32 for each model. One that has just started opens some at each request,
// and its first seconds say little of its days. A higher rate takes longer: the
// hints are fresher then, and the same agents are chosen again.
const (
	warmUpTime = 30 * time.Second
	warmUpRate = 15
)

// warmUp sends requests until all connections are likely to be open, and returns
// while the last of them run.
func (b *Bench) warmUp(address string, models int, c *tokenCount) {
	ctx, cancel := context.WithTimeout(b.ctx, warmUpTime)
	defer cancel()
	b.call(ctx, address, warmUpRate, models, c)
}

// call sends requests in an open loop, evenly, until ctx ends. They run on until
// the scene does.
func (b *Bench) call(ctx context.Context, address string, perSecond float64, models int, c *tokenCount) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.group.Go(func() error {
			c.stream(b.ctx, address, ask{
				model: modelName(i % models), tokens: 239,
				prompt: fmt.Sprintf("request %d", i) + strings.Repeat(" word", 20),
			})
			return nil
		})
	}
}

// Entry measures what requests cost an entry and its wire to the agents.
func Entry(b *Bench) error {
	costs := newThreeCosts("an entry, 13 models, answers of 8 s", "requests/s")
	renewals := series{name: "an entry, 13 models, answers of 8 s", x: "requests/s", y: "renewals/s"}
	attempts := series{name: "an entry, 13 models, answers of 8 s", x: "requests/s", y: "attempts listed in renewals/s"}
	for _, r := range []float64{0, 1, 2, 5, 10, 20} {
		l, err := b.requested(r, fullModels, answerTime)
		if err != nil {
			return err
		}
		costs.add(r, l.spent)
		renewals.add(r, l.renewals)
		attempts.add(r, l.attempts)
	}
	costs.print(b, 5)
	renewals.print(b.Out, 5)
	attempts.print(b.Out, 5)
	short := newThreeCosts("an entry, 13 models, answers of 50 ms", "requests/s")
	for _, r := range []float64{0, 10, 20, 40, 80} {
		l, err := b.requested(r, fullModels, 50*time.Millisecond)
		if err != nil {
			return err
		}
		short.add(r, l.spent)
	}
	short.print(b, 5)
	pairs := newThreeCosts("an entry, 5 requests/s, answers of 8 s", "agents in use")
	for _, m := range []int{1, 3, 6, 13} {
		l, err := b.requested(5, m, answerTime)
		if err != nil {
			return err
		}
		pairs.add(l.renewals*renewEvery.Seconds(), l.spent)
	}
	pairs.print(b, 64)
	return nil
}
