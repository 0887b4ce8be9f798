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
	// fencedTries: an agent that has just read the lease may know a newer
	// number of ours than we do, until our renewal is answered.
	fencedTries = 4
	fencedPause = 500 * time.Millisecond
	// labelTries bounds the conflicts with operators who edit the same server.
	labelTries = 4
	// orderPing finds a connection that has gone silent during a long drain.
	orderPing = 5 * time.Second
)

var (
	errNotHeld   = eris.New("control: the lease isn't held")
	errRefused   = eris.New("control: the agent refused")
	errOverruled = eris.New("control: an operator has changed the label since")
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

// give sends an order to the agent at address, waits until it has been carried
// out, and shows a new role in the server's labels.
func (c *Controller) give(ctx context.Context, o capacity.Order, address string) error {
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

// send sends the order with the newest fencing number. The same operation in
// each try lets the engine carry it out but once.
func (c *Controller) send(ctx context.Context, agent pb.AgentClient, o capacity.Order) error {
	operation := platform.NewOperation()
	for range fencedTries {
		fence, held := c.lease.Fence()
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
		case <-time.After(fencedPause):
		}
	}
	return eris.Wrap(errRefused, "old fencing number")
}

// relabel changes the role label, on which routing selects. An operator may be
// editing the same labels: the write is conditional on the version read, so it
// overwrites nothing; after a conflict the labels are read again, and left as
// they are if the role is no longer the one that the decision began from.
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
		return errOverruled
	}
	server.Labels = maps.Clone(server.Labels)
	server.Labels[object.LabelRole] = o.Value
	spec, err := json.Marshal(server)
	if err != nil {
		return eris.Wrap(err, "control: labels")
	}
	if _, held := c.lease.Fence(); !held {
		return errNotHeld
	}
	_, err = platform.PutWithReadBack(ctx, c.opts.Platform, platform.Object{
		Kind: object.KindServer, Name: o.Server, Version: stored.Version, Spec: spec,
	})
	return err
}
