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

// stream is the renewal stream of one connection.
type stream struct {
	cc     *grpc.ClientConn
	api    grpc.BidiStreamingClient[pb.RenewFrame, pb.RenewAck]
	sender *renewal.Sender
	end    context.CancelFunc
}

// openStream opens a renewal stream. ctx bounds the opening alone; the stream
// outlives it.
func openStream(ctx context.Context, on channel, entry string) (*stream, error) {
	life, end := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, end)
	defer stop()
	api, err := on.api.RenewStream(life)
	if err != nil {
		end()
		return nil, contextError(ctx, err)
	}
	return &stream{on.cc, api, renewal.NewSender(entry), end}, nil
}

// exchange sends a frame and waits within ctx for its acknowledgement. After an
// error the stream can't be used again.
func (s *stream) exchange(ctx context.Context, f *pb.RenewFrame) (*pb.RenewAck, error) {
	stop := context.AfterFunc(ctx, s.end)
	defer stop()
	// Send returns EOF if the stream has ended; Recv returns the cause.
	if err := s.api.Send(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, contextError(ctx, err)
	}
	ack, err := s.api.Recv()
	if errors.Is(err, io.EOF) {
		err = status.Error(codes.Unavailable, "agent closed the renewal stream")
	}
	return ack, contextError(ctx, err)
}

// contextError returns ctx's error in place of err if ctx has ended. The stream
// itself only reports that it was cancelled, and callers recognise a timeout by
// its status code.
func contextError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return err
}

// renew sends one renewal. If it times out, the connection may be dead although
// new ones would work: its streams would hang, and the agent would cancel live
// work. So the connection is replaced at once, and the next renewal uses the new
// one, well within the agent's LapseAfter.
//
// Renewals to an agent are serialised: an agent cancels attempts that it had
// before the previous renewal and that this one doesn't list, so a renewal must
// not be built while another is in progress.
func (c *Conn) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	select {
	case c.renewLock <- struct{}{}:
		defer func() { <-c.renewLock }()
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
	used := c.currentChannel()
	err := c.renewOn(ctx, used)
	if err == nil {
		return nil
	}
	renewFails.Inc()
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		c.replace(used.cc)
	}
	return err
}

func (c *Conn) renewOn(ctx context.Context, used channel) error {
	if c.unaryOnly == used.cc {
		return c.renewUnary(ctx, used)
	}
	old := c.stream != nil && c.stream.cc == used.cc
	err := c.renewStream(ctx, used)
	// The agent may have restarted and closed the open stream, so a failure on it
	// is retried once on a new stream.
	if err != nil && old && ctx.Err() == nil {
		err = c.renewStream(ctx, used)
	}
	if status.Code(err) == codes.Unimplemented {
		c.unaryOnly = used.cc
		return c.renewUnary(ctx, used)
	}
	return err
}

// renewStream renews over the connection's stream, and opens it if there is none.
// The caller holds renewLock.
func (c *Conn) renewStream(ctx context.Context, used channel) error {
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
	c.UpdateHint(c.stream.sender.HandleAck(ack))
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

// renewUnary renews by a unary call, for agents of releases without RenewStream.
func (c *Conn) renewUnary(ctx context.Context, used channel) error {
	renewals.Inc()
	reply, err := used.api.Renew(ctx, c.request())
	if err != nil {
		return err
	}
	c.UpdateHint(reply.Load, reply.Incarnation)
	return nil
}

func (c *Conn) request() *pb.RenewRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &pb.RenewRequest{Entry: c.pool.Entry, Sequence: c.pool.sequence.Add(1), Incarnation: c.hint.Incarnation}
	// The entry is sent once, not with each attempt.
	for a := range c.live {
		req.Attempts = append(req.Attempts, &pb.Attempt{Request: a.Request, Number: a.Number})
	}
	return req
}
