// Package layout writes the initial configuration of systems that run with stand-ins,
// and publishes their list of instances to the platform stand-in.
package layout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

// Names of the pools and of their selectors.
const (
	ModelPool   = "model"
	ServicePool = "service"
)

const (
	modelOrder   = 10
	serviceOrder = 20
	operation    = "layout"
)

// Layout collects the objects of a configuration until Write.
type Layout struct{ objects []platform.Object }

// Add adds an object. The spec must be one of package object's types.
func (l *Layout) Add(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		// The specs are plain structs, which can always be encoded.
		panic(err)
	}
	l.objects = append(l.objects, platform.Object{Kind: kind, Name: name, Spec: text, Operation: operation})
}

// Server adds a backend server with labels.
func (l *Layout) Server(id string, labels map[string]string) {
	l.Add(object.KindServer, id, object.Server{Format: object.Format, Labels: labels})
}

// Labels returns the labels of an engine that serves model in role.
func Labels(model, role string) map[string]string {
	return map[string]string{object.LabelModel: model, object.LabelRole: role}
}

// Pools adds a pool of the model's engines, a pool of all plain services, and a
// selector for each.
func (l *Layout) Pools(model string) {
	l.Add(object.KindPool, ModelPool, object.Pool{
		Format: object.Format, Model: model,
		Prefill: Labels(model, object.RolePrefill), Decode: Labels(model, object.RoleDecode),
	})
	l.Add(object.KindPool, ServicePool, object.Pool{
		Format: object.Format, Service: map[string]string{object.LabelRole: object.RoleService},
	})
	l.selector(ModelPool, modelOrder, object.Match{Models: []string{model}})
	l.selector(ServicePool, serviceOrder, object.Match{PathPrefixes: []string{"/"}})
}

func (l *Layout) selector(pool string, order int, m object.Match) {
	l.Add(object.KindSelector, pool, object.Selector{
		Format: object.Format, Order: order, Match: m, Targets: []object.Target{{Pool: pool, Weight: 1}},
	})
}

// Write creates all objects in store. It fails if one exists already.
func (l *Layout) Write(ctx context.Context, store platform.Store) error {
	for _, o := range l.objects {
		if _, err := store.Put(ctx, o); err != nil {
			return eris.Wrapf(err, "layout: declare %s %s", o.Kind, o.Name)
		}
	}
	return nil
}

// PublishInstances sets the list of instances of the platform stand-in at address.
func PublishInstances(address string, list []platform.Instance, timeout time.Duration) error {
	body, err := json.Marshal(list)
	if err != nil {
		return eris.Wrap(err, "layout: instances")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/instances")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return eris.Wrap(err, "layout: publish instances")
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return eris.Errorf("layout: publish instances: status %d", resp.StatusCode())
	}
	return nil
}
