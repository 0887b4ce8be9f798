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

// answerTime is the duration of an answer of 239 tokens if 733 decode engines with
// 20 slots each generate 430,000 tokens per second.
const answerTime = 8 * time.Second

// simulatedAgents acts as all agents of a fleet at one address.
type simulatedAgents struct {
	pb.UnimplementedAgentServer
	identity identity.Identity
	// renewals, renewed and reserves count since the start; renewed counts the
	// attempts listed in renewals.
	renewals, renewed, reserves, dataBytes atomic.Int64
	answer                                 time.Duration
	// full makes all reservations be refused; with waitBeforeRefusal they are
	// refused only after the wait that the entry allows, as by agents with room
	// in their queues.
	full, waitBeforeRefusal bool
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
	if s.waitBeforeRefusal {
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

// RenewStream reports a changed load with each acknowledgement, as a busy agent
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

// Decode sends a single token and ends after the duration of an answer, so that the
// traffic is almost only control messages.
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

// requestCost is the cost of requests for an entry.
type requestCost struct {
	cost
	renewals, attempts, reserves float64
}

// measureRequests measures an entry of the full fleet at the given rate of requests,
// spread over the given number of models.
func (b *Bench) measureRequests(perSecond float64, models int, answer time.Duration) (requestCost, error) {
	var out requestCost
	agents := newSimulatedAgents(answer)
	var wire meter
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return out, err
	}
	if agents.identity, err = b.identity("agent", "simulated-agent"); err != nil {
		return out, err
	}
	err = b.runScenario(fullFleet(l.Addr().String()), func() error {
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
			b.group.Go(func() error { b.sendRequests(b.ctx, e.Listen, perSecond, models, &counted); return nil })
		}
		time.Sleep(answer + settleTime)
		renewals, attempts, data := agents.renewals.Load(), agents.renewed.Load(), agents.dataBytes.Load()
		reserves := agents.reserves.Load()
		out.cost, err = b.measure(p, &wire)
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

// A long-running entry has a connection to each agent of its subsets, 32 for each
// model. An entry that has just started opens connections with each request, so its
// first seconds aren't representative. A higher rate would take longer to open all
// connections: the load hints are fresher then, and the same agents are chosen again.
const (
	warmUpTime = 30 * time.Second
	warmUpRate = 15
)

// warmUp sends requests until all connections are likely to be open. It returns
// while the last requests are still running.
func (b *Bench) warmUp(address string, models int, c *tokenCount) {
	ctx, cancel := context.WithTimeout(b.ctx, warmUpTime)
	defer cancel()
	b.sendRequests(ctx, address, warmUpRate, models, c)
}

// sendRequests sends requests in an open loop at regular intervals until ctx ends.
// Requests in flight continue until the end of the scenario.
func (b *Bench) sendRequests(ctx context.Context, address string, perSecond float64, models int, c *tokenCount) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.group.Go(func() error {
			c.stream(b.ctx, address, callerRequest{
				model: modelName(i % models), tokens: 239,
				prompt: fmt.Sprintf("request %d", i) + strings.Repeat(" word", 20),
			})
			return nil
		})
	}
}

// Entry measures the cost of requests for an entry and for its connections to the
// agents.
func Entry(b *Bench) error {
	costs := newCostSeries("an entry, 13 models, answers of 8 s", "requests/s")
	renewals := series{name: "an entry, 13 models, answers of 8 s", x: "requests/s", y: "renewals/s"}
	attempts := series{name: "an entry, 13 models, answers of 8 s", x: "requests/s", y: "attempts listed in renewals/s"}
	for _, r := range []float64{0, 1, 2, 5, 10, 20} {
		l, err := b.measureRequests(r, fullModels, answerTime)
		if err != nil {
			return err
		}
		costs.add(r, l.cost)
		renewals.add(r, l.renewals)
		attempts.add(r, l.attempts)
	}
	costs.print(b, 5)
	renewals.print(b.Out, 5)
	attempts.print(b.Out, 5)
	short := newCostSeries("an entry, 13 models, answers of 50 ms", "requests/s")
	for _, r := range []float64{0, 10, 20, 40, 80} {
		l, err := b.measureRequests(r, fullModels, 50*time.Millisecond)
		if err != nil {
			return err
		}
		short.add(r, l.cost)
	}
	short.print(b, 5)
	pairs := newCostSeries("an entry, 5 requests/s, answers of 8 s", "agents in use")
	for _, m := range []int{1, 3, 6, 13} {
		l, err := b.measureRequests(5, m, answerTime)
		if err != nil {
			return err
		}
		pairs.add(l.renewals*renewEvery.Seconds(), l.cost)
	}
	pairs.print(b, 64)
	return nil
}
