package agent

import (
	"context"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
)

// toldConvicted bounds the fingerprints in one answer to a renewal.
const toldConvicted = 64

// server is the gRPC side of an Agent.
type server struct {
	pb.UnimplementedAgentServer
	agent *Agent
}

func key(at *pb.Attempt, p pb.Phase) grant.Key {
	return grant.Key{Request: at.GetRequest(), Number: at.GetNumber(), Phase: p}
}

func refusal(r *grant.Refusal) *pb.Refusal {
	if r == nil {
		return nil
	}
	return &pb.Refusal{
		Reason: r.Reason, Verdict: r.Verdict, Detail: r.Detail, CrashedAlone: r.CrashedAlone,
		RetryAfterMs: uint64(r.RetryAfter.Milliseconds()),
	}
}

func millis(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }

// Reserve grants a slot, at once or after a bounded wait.
func (s server) Reserve(ctx context.Context, q *pb.ReserveRequest) (*pb.ReserveReply, error) {
	a := s.agent
	no, err := a.reserve(ctx, grant.Request{
		Key: key(q.GetAttempt(), q.GetPhase()), Entry: q.GetAttempt().GetEntry(),
		Incarnation: q.GetIncarnation(), Fingerprint: q.GetFingerprint(),
		Exclusive: q.GetExclusive(), Batch: q.GetBatch(), Organisation: q.GetOrganisation(),
		PromptTokens: int(q.GetPromptTokens()),
		Idle:         millis(q.GetIdleMs()), Wait: millis(q.GetWaitMs()),
	})
	if err != nil {
		return nil, err
	}
	return &pb.ReserveReply{Refusal: refusal(no), Incarnation: a.incarnation, Load: a.Load()}, nil
}

func (a *Agent) reserve(ctx context.Context, q grant.Request) (*grant.Refusal, error) {
	var outcome grant.Outcome
	var no *grant.Refusal
	answer := make(chan *grant.Refusal, 1)
	a.step(func(c *grant.Core, now time.Duration) {
		outcome, no = c.Reserve(now, q)
		if outcome == grant.Waiting {
			a.waiters[q.Key] = answer
		}
	})
	switch outcome {
	case grant.Refused:
		countRefusal(no.Reason)
		return no, nil
	case grant.Granted:
		countGrant()
	case grant.Waiting:
		select {
		case no = <-answer:
		case <-ctx.Done():
		}
	}
	// The entry of an RPC that ended can't know of the grant.
	if err := ctx.Err(); err != nil {
		a.release(q.Key, q.Entry)
		return nil, err
	}
	return no, nil
}

func (a *Agent) release(k grant.Key, entry string) {
	a.step(func(c *grant.Core, now time.Duration) { c.Release(now, k, entry) })
}

// Release ends an attempt in one phase, or in all if none is named.
func (s server) Release(_ context.Context, q *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	phases := []pb.Phase{q.GetPhase()}
	if q.GetPhase() == pb.Phase_PHASE_UNSPECIFIED {
		phases = []pb.Phase{pb.Phase_PHASE_PREFILL, pb.Phase_PHASE_DECODE, pb.Phase_PHASE_CALL}
	}
	for _, p := range phases {
		s.agent.release(key(q.GetAttempt(), p), q.GetAttempt().GetEntry())
	}
	return &pb.ReleaseReply{Load: s.agent.Load()}, nil
}

// Renew extends all grants of one entry.
func (s server) Renew(_ context.Context, q *pb.RenewRequest) (*pb.RenewReply, error) {
	a := s.agent
	wanted := make([]grant.Attempt, 0, len(q.GetAttempts()))
	for _, at := range q.GetAttempts() {
		wanted = append(wanted, grant.Attempt{Request: at.GetRequest(), Number: at.GetNumber()})
	}
	reply := &pb.RenewReply{Incarnation: a.incarnation}
	a.step(func(c *grant.Core, now time.Duration) {
		for _, at := range c.Renew(now, q.GetEntry(), q.GetSequence(), wanted) {
			reply.Unknown = append(reply.Unknown, &pb.Attempt{Request: at.Request, Number: at.Number, Entry: q.GetEntry()})
		}
		reply.Convicted = c.Convicted(toldConvicted)
	})
	reply.Load = a.Load()
	return reply, nil
}

// Convict refuses fingerprints from now on.
func (s server) Convict(_ context.Context, q *pb.ConvictRequest) (*pb.ConvictReply, error) {
	s.agent.Convict(q.GetFingerprints())
	return &pb.ConvictReply{}, nil
}
