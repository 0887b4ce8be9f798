package entry

import (
	"context"
	"errors"
	"io"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	// attachAtMost bounds how often a stream is attached anew without a token
	// in between. A connection that went silent needs one; an agent that is cut
	// off costs the time of each before the request goes on elsewhere.
	maxReattach = 1
	// attachPause is the wait before an agent that closed the stream is asked
	// again; a restarted agent answers that it doesn't know the attempt.
	reattachDelay = 150 * time.Millisecond
)

// decode streams the tokens into the output. A connection that breaks or goes
// silent is no loss of the engine: the agent keeps the tokens, and the stream
// is attached anew behind the last one that arrived.
func (g *generation) decode(ctx context.Context, gr, prefill *grant, kv *pb.PrefillReply) (string, *verdict.Error) {
	req := &pb.DecodeRequest{
		Attempt: gr.attempt, Model: g.r.model, Prompt: []byte(g.r.prompt), Kv: kv.Kv, Source: kv.Source,
		MaxTokens: uint32(g.r.maxTokens), Priority: priorityOf(g.dest.choice.Priority),
		DeadlineMs: uint64(time.Until(g.r.deadline).Milliseconds()),
		Resume:     uint32(g.out.len()), SourceZone: prefill.target.zone, KvBytes: kv.KvBytes,
	}
	s := &tokenStream{g: g, grant: gr, prefill: prefill, kv: kv}
	for tries := 0; ; tries++ {
		have := g.out.len()
		req.From = uint32(have)
		end, err := s.receive(ctx, req)
		if g.out.len() > have {
			tries = 0
		}
		if end != nil {
			return end.FinishReason, nil
		}
		if ctx.Err() != nil {
			s.countWastedPrefill()
			return "", contextVerdict(ctx)
		}
		if err == nil && tries < maxReattach {
			// A stream that never reached the agent starts with this call, one
			// that did is attached to: the agent knows the attempt's number.
			wait.Sleep(ctx, reattachDelay)
			continue
		}
		s.countWastedPrefill()
		g.exclude[gr.target.id] = true
		if err == nil {
			g.e.members.observe(gr.conn.ID(), doubt.Frozen)
			err = verdict.New(verdict.MayHaveRun, verdict.Unreachable, "The decode server's agent was lost.")
		}
		return "", err
	}
}

// tokenStream is one decode with all its attachments.
type tokenStream struct {
	g            *generation
	grant        *grant
	prefill      *grant
	kv           *pb.PrefillReply
	started      bool
	wasteCounted bool
}

// begun notes that the prefill's result was taken: nothing more is held for it
// at its agent, and it needs no renewals for the rest of the answer.
func (s *tokenStream) markStarted() {
	s.started = true
	s.prefill.release()
}

func (s *tokenStream) countWastedPrefill() {
	if !s.started && !s.wasteCounted {
		s.wasteCounted = true
		countWasted(s.kv)
	}
}

// follow reads one attachment. It returns the end, or the agent's refusal, or
// neither if the connection was lost and the stream may be attached anew.
func (s *tokenStream) receive(ctx context.Context, req *pb.DecodeRequest) (*pb.DecodeEnd, *verdict.Error) {
	ctx, cancel := s.grant.conn.WhileKept(ctx)
	defer cancel()
	stream, err := s.grant.conn.Decode(ctx, req)
	if err != nil {
		return nil, nil //nolint:nilerr // the caller attaches anew
	}
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return nil, nil //nolint:nilerr // the caller attaches anew
		}
		if !sameAttempt(ev.Attempt, req.Attempt) {
			// A late answer of another attempt must not mix into this one.
			misdirectedAnswers.Inc()
			continue
		}
		s.grant.conn.Heard(ev.Load, 0)
		if ev.Started || len(ev.Tokens) > 0 {
			s.markStarted()
		}
		if err := s.appendTokens(ev); err != nil {
			return nil, err
		}
		if ev.Refusal != nil {
			s.g.e.recordRefusal(s.grant.target.id, ev.Refusal)
			return nil, refusalError(ev.Refusal)
		}
		if ev.End != nil {
			return s.checkEnd(ev.End)
		}
	}
}

func sameAttempt(a, b *pb.Attempt) bool {
	return a == nil || (a.Request == b.Request && a.Number == b.Number)
}

func (s *tokenStream) appendTokens(ev *pb.DecodeEvent) *verdict.Error {
	for _, t := range ev.Tokens {
		if !s.g.out.add(int(t.Index), t.Text) {
			return verdict.New(verdict.MayHaveRun, verdict.Internal, "The decode server left out a token.")
		}
	}
	return nil
}

// checkEnd compares the engine's count with the tokens at hand, so that a cut
// answer is never passed off as whole.
func (s *tokenStream) checkEnd(end *pb.DecodeEnd) (*pb.DecodeEnd, *verdict.Error) {
	if int(end.Tokens) != s.g.out.len() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.Internal,
			"The decode server counts %d tokens, %d arrived.", end.Tokens, s.g.out.len())
	}
	return end, nil
}
