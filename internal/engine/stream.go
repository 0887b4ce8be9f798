package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Decode implements Client. A return of nil means that each token from r.Resume
// to the last was given to emit once and in order.
func (h *HTTP) Decode(ctx context.Context, r DecodeRequest, emit func(Event) error) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	done, err := h.send(ctx, fasthttp.MethodPost, PathDecode, r, resp, h.streamIdle)
	if err != nil {
		return err
	}
	// The connection goes first: closing the body reads on to its end otherwise.
	defer func() { _ = resp.CloseBodyStream() }()
	defer done()
	s := stream{attempt: r.Attempt, next: r.Resume, emit: emit}
	return s.run(ctx, resp.BodyStream())
}

// stream checks the lines of one decode. A line for another attempt is dropped
// (a late or crossed answer), a token sent twice is dropped, a missing one fails
// the stream: the caller would get an answer with a hole and not know it.
type stream struct {
	attempt Attempt
	// next is the index of the next token.
	next int
	emit func(Event) error
}

func (s *stream) run(ctx context.Context, body io.Reader) error {
	if body == nil {
		return lost(ctx, io.ErrUnexpectedEOF)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		var ev Event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return lost(ctx, err)
		}
		last, err := s.line(ev)
		if last || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return lost(ctx, ctx.Err())
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return lost(ctx, err)
}

func (s *stream) line(ev Event) (last bool, err error) {
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
		return false, s.token(ev)
	default:
		return false, s.emit(ev)
	}
}

func (s *stream) token(ev Event) error {
	if ev.Token.Index < s.next {
		return nil
	}
	if ev.Token.Index > s.next {
		return eris.Wrapf(ErrLost, "token %d came for %d", ev.Token.Index, s.next)
	}
	s.next++
	return s.emit(ev)
}
