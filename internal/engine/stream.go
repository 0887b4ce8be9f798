package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Decode implements Client. If it returns nil, every token from r.Resume to the
// last was passed to emit once and in order.
func (h *HTTP) Decode(ctx context.Context, r DecodeRequest, emit func(Event) error) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	done, err := h.send(ctx, fasthttp.MethodPost, PathDecode, r, resp, h.streamIdle)
	if err != nil {
		return err
	}
	// done runs first: on an open connection CloseBodyStream reads the body to its
	// end.
	defer func() { _ = resp.CloseBodyStream() }()
	defer done()
	s := stream{attempt: r.Attempt, next: r.Resume, emit: emit}
	return s.run(ctx, resp.BodyStream())
}

// stream validates the events of one decode stream. It drops duplicate tokens and
// events of other attempts (from a late or misdirected response). A missing token
// fails the stream, which would otherwise have an undetected gap.
type stream struct {
	attempt Attempt
	// next is the index of the next token.
	next int
	emit func(Event) error
}

func (s *stream) run(ctx context.Context, body io.Reader) error {
	if body == nil {
		return wrapLost(ctx, io.ErrUnexpectedEOF)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	for lines.Scan() {
		var ev Event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return wrapLost(ctx, err)
		}
		last, err := s.handleEvent(ev)
		if last || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return wrapLost(ctx, ctx.Err())
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return wrapLost(ctx, err)
}

func (s *stream) handleEvent(ev Event) (last bool, err error) {
	if ev.Attempt != s.attempt {
		return false, nil
	}
	switch {
	case ev.Error != "":
		return true, errorOf(ev.Error, "stream")
	case ev.Finish != "":
		if ev.Tokens != s.next {
			return true, eris.Wrapf(ErrLost, "stream ends after %d tokens, %d came", ev.Tokens, s.next)
		}
		return true, s.emit(ev)
	case ev.Token != nil:
		return false, s.handleToken(ev)
	default:
		return false, s.emit(ev)
	}
}

func (s *stream) handleToken(ev Event) error {
	if ev.Token.Index < s.next {
		return nil
	}
	if ev.Token.Index > s.next {
		return eris.Wrapf(ErrLost, "token %d came for %d", ev.Token.Index, s.next)
	}
	s.next++
	return s.emit(ev)
}
