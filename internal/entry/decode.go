package entry

import (
	"context"
	"errors"
	"io"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/verdict"
)

const (
	// attachAtMost bounds how often one stream is attached anew.
	attachAtMost = 5
	// attachPause is the wait before an agent that closed the stream is asked
	// again; a restarted agent answers that it doesn't know the attempt.
	attachPause = 150 * time.Millisecond
)

// decode streams the tokens into the output. A connection that breaks or goes
// silent is no loss of the engine: the agent keeps the tokens, and the stream
// is attached anew behind the last one that arrived.
func (g *generation) decode(ctx context.Context, gr, prefill *grant, kv *pb.PrefillReply) (string, *verdict.Error) {
	req := &pb.DecodeRequest{
		Attempt: gr.attempt, Model: g.r.model, Prompt: []byte(g.r.prompt), Kv: kv.Kv, Source: kv.Source,
		MaxTokens: uint32(g.r.maxTokens), Priority: priorityOf(g.to.choice.Priority),
		DeadlineMs: uint64(time.Until(g.r.deadline).Milliseconds()),
		Resume:     uint32(g.out.len()), SourceZone: prefill.target.zone, KvBytes: kv.KvBytes,
	}
	s := &tokenStream{g: g, grant: gr, kv: kv}
	for tries := 0; ; tries++ {
		req.From = uint32(g.out.len())
		end, err := s.follow(ctx, req)
		if end != nil {
			return end.FinishReason, nil
		}
		if ctx.Err() != nil {
			s.countWaste()
			return "", contextVerdict(ctx)
		}
		if err == nil && tries < attachAtMost {
			// A stream that never reached the agent starts with this call, one
			// that did is attached to: the agent knows the attempt's number.
			sleep(ctx, attachPause)
			continue
		}
		s.countWaste()
		g.exclude[gr.target.id] = true
		if err == nil {
			g.e.unheard(gr.conn, false)
			err = verdict.New(verdict.MayHaveRun, verdict.Unreachable, "The decode server's agent was lost.")
		}
		return "", err
	}
}

// tokenStream is one decode with all its attachments.
type tokenStream struct {
	g       *generation
	grant   *grant
	kv      *pb.PrefillReply
	started bool
	counted bool
}

func (s *tokenStream) countWaste() {
	if !s.started && !s.counted {
		s.counted = true
		wasted(s.kv)
	}
}

// follow reads one attachment. It returns the end, or the agent's refusal, or
// neither if the connection was lost and the stream may be attached anew.
func (s *tokenStream) follow(ctx context.Context, req *pb.DecodeRequest) (*pb.DecodeEnd, *verdict.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := s.grant.conn.Lost()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
	}()
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
			crossed.Inc()
			continue
		}
		s.grant.conn.Heard(ev.Load, 0)
		s.started = s.started || ev.Started || len(ev.Tokens) > 0
		if err := s.take(ev); err != nil {
			return nil, err
		}
		if ev.Refusal != nil {
			s.g.e.refused(s.grant.target.id, ev.Refusal)
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

func (s *tokenStream) take(ev *pb.DecodeEvent) *verdict.Error {
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
