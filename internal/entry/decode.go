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
	// maxReattach bounds how often a stream is reattached without receiving a
	// token in between. One is enough to replace a stalled connection; each
	// further one would delay the retry on another server when the agent is
	// unreachable.
	maxReattach = 1
	// reattachDelay is the wait before reattaching to an agent that closed the
	// stream. An agent that restarted refuses the attempt as unknown.
	reattachDelay = 150 * time.Millisecond
)

// decode streams the tokens into the output. Losing the connection doesn't lose
// the answer: the agent buffers the tokens, and the stream is reattached after
// the last token received.
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
			// The agent identifies the attempt by its number: it starts the
			// decode if the first call never arrived, and reattaches otherwise.
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

// tokenStream is one decode across all its reattachments.
type tokenStream struct {
	g            *generation
	grant        *grant
	prefill      *grant
	kv           *pb.PrefillReply
	started      bool
	wasteCounted bool
}

// markStarted releases the prefill grant once the decode server has taken over
// the KV cache, so that it isn't renewed for the rest of the answer.
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

// receive reads the stream until it ends. It returns the end event or the
// agent's refusal, or neither if the connection was lost and the stream may be
// reattached.
func (s *tokenStream) receive(ctx context.Context, req *pb.DecodeRequest) (*pb.DecodeEnd, *verdict.Error) {
	ctx, cancel := s.grant.conn.ConnectionContext(ctx)
	defer cancel()
	stream, err := s.grant.conn.Decode(ctx, req)
	if err != nil {
		return nil, nil //nolint:nilerr // the caller reattaches
	}
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return nil, nil //nolint:nilerr // the caller reattaches
		}
		if !sameAttempt(ev.Attempt, req.Attempt) {
			// Tokens of another attempt must not get into this answer.
			misdirectedAnswers.Inc()
			continue
		}
		s.grant.conn.UpdateHint(ev.Load, 0)
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

// checkEnd compares the engine's token count with the tokens received, so that
// a truncated answer is never reported as complete.
func (s *tokenStream) checkEnd(end *pb.DecodeEnd) (*pb.DecodeEnd, *verdict.Error) {
	if int(end.Tokens) != s.g.out.len() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.Internal,
			"The decode server counts %d tokens, %d arrived.", end.Tokens, s.g.out.len())
	}
	return end, nil
}
