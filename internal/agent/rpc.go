package agent

import (
	"context"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
)

// server implements the gRPC service of an Agent.
type server struct {
	pb.UnimplementedAgentServer
	agent *Agent
}

func key(at *pb.Attempt, p pb.Phase) grant.Key {
	return grant.Key{Request: at.GetRequest(), Number: at.GetNumber(), Phase: p}
}

func refusalProto(r *grant.Refusal) *pb.Refusal {
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
	refusal, err := a.reserve(ctx, *grantRequest(key(q.GetAttempt(), q.GetPhase()), q.GetAttempt().GetEntry(), q))
	if err != nil {
		return nil, err
	}
	return &pb.ReserveReply{Refusal: refusalProto(refusal), Incarnation: a.incarnation, Load: a.Load()}, nil
}

// grantRequest converts q to a grant request for the attempt k of entry.
func grantRequest(k grant.Key, entry string, q *pb.ReserveRequest) *grant.Request {
	return &grant.Request{
		Key: k, Entry: entry, ListedFrom: q.GetAttempt().GetListedFrom(),
		Incarnation: q.GetIncarnation(), Fingerprint: q.GetFingerprint(),
		Exclusive: q.GetExclusive(), Batch: q.GetBatch(), Organisation: q.GetOrganisation(),
		PromptTokens: int(q.GetPromptTokens()),
		Idle:         millis(q.GetIdleMs()), Wait: millis(q.GetWaitMs()), Waited: millis(q.GetWaitedMs()),
	}
}

func (a *Agent) reserve(ctx context.Context, q grant.Request) (*grant.Refusal, error) {
	var outcome grant.Outcome
	var refusal *grant.Refusal
	answer := make(chan *grant.Refusal, 1)
	a.step(func(c *grant.Core, now time.Duration) {
		outcome, refusal = c.Reserve(now, q)
		if outcome == grant.Waiting {
			a.waiters[q.Key] = answer
		}
	})
	switch outcome {
	case grant.Refused:
		countRefusal(refusal.Reason)
		return refusal, nil
	case grant.Granted:
		countGrant()
	case grant.Waiting:
		select {
		case refusal = <-answer:
		case <-ctx.Done():
		}
	}
	// If the RPC has ended, its entry doesn't learn of the grant.
	if err := ctx.Err(); err != nil {
		a.release(q.Key, q.Entry)
		return nil, err
	}
	return refusal, nil
}

func (a *Agent) release(k grant.Key, entry string) {
	a.step(func(c *grant.Core, now time.Duration) { c.Release(now, k, entry) })
}

// Release ends an attempt in one phase, or in all if none is given.
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

// Convict refuses requests with these fingerprints from now on.
func (s server) Convict(_ context.Context, q *pb.ConvictRequest) (*pb.ConvictReply, error) {
	s.agent.Convict(q.GetFingerprints())
	return &pb.ConvictReply{}, nil
}
