package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/capacity"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/transport"
)

const (
	// fencedTries bounds the attempts to send a fenced order. An agent that has
	// just read the lease may have a newer token of this holder than the holder
	// itself, until its renewal is answered.
	fencedTries   = 4
	fencedBackoff = 500 * time.Millisecond
	// labelTries bounds the attempts to change a label while operators edit the
	// same server.
	labelTries = 4
	// orderPing is the keepalive interval and timeout, by which a dead connection
	// is detected during a long drain.
	orderPing = 5 * time.Second
)

var (
	errNotHeld      = eris.New("control: the lease isn't held")
	errRefused      = eris.New("control: the agent refused the order")
	errLabelChanged = eris.New("control: the role label has been changed since the decision")
)

func kindOf(k capacity.Kind) string {
	switch k {
	case capacity.ChangeVersion:
		return engine.OrderVersion
	case capacity.ChangeModel:
		return engine.OrderModel
	case capacity.ChangeRole:
	}
	return engine.OrderRole
}

// execute sends an order to the agent at address, waits until it has been carried
// out, and changes the server's role label if the order asks for it.
func (c *Controller) execute(ctx context.Context, o capacity.Order, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Settings.DrainWithin.D())
	defer cancel()
	opts := append(transport.DialOptions(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: orderPing, Timeout: orderPing}))
	opts = append(opts, c.opts.DialAgent...)
	conn, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return eris.Wrap(err, "control: dial")
	}
	defer conn.Close()
	if err := c.send(ctx, pb.NewAgentClient(conn), o); err != nil || !o.Relabel {
		return err
	}
	return c.relabel(ctx, o)
}

// send sends the order with the current fencing token. All attempts carry the
// same operation id, so that the engine carries the order out only once.
func (c *Controller) send(ctx context.Context, agent pb.AgentClient, o capacity.Order) error {
	operation := platform.NewOperation()
	for range fencedTries {
		fence, held := c.lease.FencingToken()
		if !held {
			return errNotHeld
		}
		reply, err := agent.Order(ctx, &pb.OrderRequest{
			Fence: fence, Scope: c.scope, Kind: kindOf(o.Kind), Value: o.Value, Operation: operation,
		})
		switch {
		case err != nil:
			return eris.Wrap(err, "control: order")
		case reply.GetRefusal() == nil:
			return nil
		case reply.GetRefusal().GetReason() != pb.Reason_REASON_FENCED:
			return eris.Wrap(errRefused, reply.GetRefusal().GetDetail())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fencedBackoff):
		}
	}
	return eris.Wrap(errRefused, "stale fencing token")
}

// relabel changes the role label, by which routing selects servers. An operator
// may edit the same labels: the write is conditional on the version read, so it
// never overwrites such an edit. After a conflict the labels are read again, and
// left unchanged if the role is no longer the one that the decision was based on.
func (c *Controller) relabel(ctx context.Context, o capacity.Order) error {
	var err error
	for range labelTries {
		if err = c.relabelOnce(ctx, o); !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *Controller) relabelOnce(ctx context.Context, o capacity.Order) error {
	stored, err := c.opts.Platform.Get(ctx, object.KindServer, o.Server)
	if err != nil {
		return eris.Wrap(err, "control: read labels")
	}
	parsed, err := object.Parse(object.KindServer, stored.Spec)
	if err != nil {
		return err
	}
	server, _ := parsed.(object.Server)
	if server.Labels[object.LabelRole] != o.From {
		return errLabelChanged
	}
	server.Labels = maps.Clone(server.Labels)
	server.Labels[object.LabelRole] = o.Value
	spec, err := json.Marshal(server)
	if err != nil {
		return eris.Wrap(err, "control: labels")
	}
	if _, held := c.lease.FencingToken(); !held {
		return errNotHeld
	}
	_, err = platform.PutWithReadBack(ctx, c.opts.Platform, platform.Object{
		Kind: object.KindServer, Name: o.Server, Version: stored.Version, Spec: spec,
	})
	return err
}
