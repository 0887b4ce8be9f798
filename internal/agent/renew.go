package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/renewal"
)

// maxConvictedInReply bounds the fingerprints in the reply to a renewal.
const maxConvictedInReply = 64

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
		reply.Convicted = c.Convicted(maxConvictedInReply)
	})
	reply.Load = a.Load()
	return reply, nil
}

// RenewStream handles an entry's renewals until either side ends the stream.
// Entries keep their streams open between attempts, so a stopping agent ends
// them itself; otherwise its graceful stop would wait for them until its
// timeout.
func (s server) RenewStream(stream grpc.BidiStreamingServer[pb.RenewFrame, pb.RenewAck]) error {
	ended := make(chan error, 1)
	go func() { ended <- s.agent.takeRenewals(stream) }()
	select {
	case err := <-ended:
		return err
	case <-s.agent.renewCtx.Done():
		return status.Error(codes.Unavailable, "leaving")
	}
}

// takeRenewals returns when the stream ends. The server's keepalive closes a
// silent stream; its grants lapse before that, as they are not renewed.
func (a *Agent) takeRenewals(stream grpc.BidiStreamingServer[pb.RenewFrame, pb.RenewAck]) error {
	r := renewal.NewReceiver()
	for {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.HandleFrame(f); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		a.renew(r.Entry(), f.GetSequence(), r.Listed())
		if err := stream.Send(r.Ack(a.incarnation, a.Load())); err != nil {
			return err
		}
	}
}

func (a *Agent) renew(entry string, sequence uint64, listed []renewal.Attempt) {
	wanted := make([]grant.Attempt, len(listed))
	for i, at := range listed {
		wanted[i] = grant.Attempt(at)
	}
	a.step(func(c *grant.Core, now time.Duration) { c.Renew(now, entry, sequence, wanted) })
}
