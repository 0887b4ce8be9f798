package agents

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/renewal"
)

// stream carries the renewals of one connection.
type stream struct {
	cc     *grpc.ClientConn
	api    grpc.BidiStreamingClient[pb.RenewFrame, pb.RenewAck]
	sender *renewal.Sender
	// end ends the stream.
	end context.CancelFunc
}

// openStream opens a stream within ctx. The stream itself outlives ctx.
func openStream(ctx context.Context, on line, entry string) (*stream, error) {
	life, end := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, end)
	defer stop()
	api, err := on.api.RenewStream(life)
	if err != nil {
		end()
		return nil, inTime(ctx, err)
	}
	return &stream{on.cc, api, renewal.NewSender(entry), end}, nil
}

// exchange sends a frame and waits within ctx for its answer. After an error the
// stream is of no more use.
func (s *stream) exchange(ctx context.Context, f *pb.RenewFrame) (*pb.RenewAck, error) {
	stop := context.AfterFunc(ctx, s.end)
	defer stop()
	// A Send fails with EOF if the stream has ended; Recv says why.
	if err := s.api.Send(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, inTime(ctx, err)
	}
	ack, err := s.api.Recv()
	if errors.Is(err, io.EOF) {
		err = status.Error(codes.Unavailable, "the agent ended the stream")
	}
	return ack, inTime(ctx, err)
}

// inTime names the end of ctx as the cause where it was: it shows as a stream
// that was cancelled, while callers tell a missed answer by its code.
func inTime(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return err
}

// renew sends one renewal. A renewal without an answer means that the
// connection may be silent for good while new ones work: streams on it would
// hang and the agent would cancel live work. So a new connection is dialled at
// once and the renewal repeated over it, well within the agent's lapse time.
//
// Renewals of a connection go one after the other: an agent cancels what a
// renewal doesn't list if it came before the renewal before, so none may be put
// together while another is under way.
func (c *Conn) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	select {
	case c.turn <- struct{}{}:
		defer func() { <-c.turn }()
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
	used := c.present()
	err := c.renewOver(ctx, used)
	if err == nil {
		return nil
	}
	renewFails.Inc()
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		c.replace(used.cc)
	}
	return err
}

func (c *Conn) renewOver(ctx context.Context, used line) error {
	if c.plain == used.cc {
		return c.renewPlain(ctx, used)
	}
	old := c.stream != nil && c.stream.cc == used.cc
	err := c.renewStream(ctx, used)
	// A stream that was open may have ended when the agent did. What another
	// one finds is the state of things now.
	if err != nil && old && ctx.Err() == nil {
		err = c.renewStream(ctx, used)
	}
	if status.Code(err) == codes.Unimplemented {
		c.plain = used.cc
		return c.renewPlain(ctx, used)
	}
	return err
}

// renewStream renews over the connection's stream, and opens it if there is
// none. It is called in turn.
func (c *Conn) renewStream(ctx context.Context, used line) error {
	if c.stream != nil && c.stream.cc != used.cc {
		c.endStream()
	}
	if c.stream == nil {
		s, err := openStream(ctx, used, c.pool.Entry)
		if err != nil {
			return err
		}
		c.stream = s
	}
	renewals.Inc()
	ack, err := c.stream.exchange(ctx, c.frame(c.stream.sender))
	if err != nil {
		c.endStream()
		return err
	}
	c.Heard(c.stream.sender.Heard(ack))
	return nil
}

func (c *Conn) endStream() {
	c.stream.end()
	c.stream = nil
}

func (c *Conn) frame(s *renewal.Sender) *pb.RenewFrame {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Frame(c.pool.sequence.Add(1), c.live)
}

// renewPlain renews by a call, for agents of a release without RenewStream.
func (c *Conn) renewPlain(ctx context.Context, used line) error {
	renewals.Inc()
	reply, err := used.api.Renew(ctx, c.request())
	if err != nil {
		return err
	}
	c.Heard(reply.Load, reply.Incarnation)
	return nil
}

func (c *Conn) request() *pb.RenewRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &pb.RenewRequest{Entry: c.pool.Entry, Sequence: c.pool.sequence.Add(1), Incarnation: c.hint.Incarnation}
	// The entry is named once, not again with each attempt.
	for a := range c.live {
		req.Attempts = append(req.Attempts, &pb.Attempt{Request: a.Request, Number: a.Number})
	}
	return req
}
