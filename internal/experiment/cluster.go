package experiment

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/daemon"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	"jayford.example/jayford/internal/standin/layout"
	"jayford.example/jayford/internal/standin/loopback"
	platformstandin "jayford.example/jayford/internal/standin/platform"
	servicestandin "jayford.example/jayford/internal/standin/service"
	"jayford.example/jayford/internal/wait"
)

const (
	// defaultEntries is used if Deployment.Entries is 0.
	defaultEntries = 3
	recordLimit    = 1 << 20
	setupTime      = 10 * time.Second
	readyPoll      = 20 * time.Millisecond
	stopWithin     = 3 * time.Second
	// settle gives agents time to discover their engines after the entries are
	// ready.
	settle = 500 * time.Millisecond
)

// cluster is one running deployment.
type cluster struct {
	deployment     Deployment
	policy         settings.Policy
	log            *logrus.Logger
	platform       string
	engines        []*enginestandin.Engine
	services       []string
	targets        []string
	operators      []string
	instances      []platform.Instance
	layout         layout.Layout
	sampledServers []*sampledServer
	failed         atomic.Pointer[error]

	standins, roles errgroup.Group
	// rolesCtx is cancelled before standinsCtx, so that the roles can stop
	// gracefully.
	standinsCtx, rolesCtx context.Context
	stopStandins, stopAll context.CancelFunc
}

func startCluster(ctx context.Context, d Deployment, p settings.Policy) (*cluster, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	// Some packages use logrus's standard logger.
	logrus.SetOutput(io.Discard)
	c := &cluster{deployment: d, policy: p, log: log}
	c.standinsCtx, c.stopStandins = context.WithCancel(context.WithoutCancel(ctx))
	c.rolesCtx, c.stopAll = context.WithCancel(context.WithoutCancel(ctx))
	if err := c.start(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) stop() {
	c.stopAll()
	_ = c.roles.Wait()
	c.stopStandins()
	_ = c.standins.Wait()
}

func (c *cluster) start(ctx context.Context) error {
	var err error
	if c.platform, err = c.serve(platformstandin.New(platformstandin.Options{})); err != nil {
		return err
	}
	model := c.model()
	for i := range c.deployment.Prefill {
		if err := c.startEngine(fmt.Sprintf("prefill-%d", i), model, object.RolePrefill, i); err != nil {
			return err
		}
	}
	for i := range c.deployment.Decode {
		if err := c.startEngine(fmt.Sprintf("decode-%d", i), model, object.RoleDecode, i); err != nil {
			return err
		}
	}
	for i := range c.deployment.Workload.Fleet.Services {
		if err := c.startService(i); err != nil {
			return err
		}
	}
	for i := range cmp.Or(c.deployment.Entries, defaultEntries) {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	if err := c.declare(ctx, model); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// model returns the model of the first completion class. The example workloads
// use a single model.
func (c *cluster) model() string {
	for _, cl := range c.deployment.Workload.Classes {
		if cl.Model != "" {
			return cl.Model
		}
	}
	return ""
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

func (c *cluster) serve(s server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "experiment: listen")
	}
	c.standins.Go(func() error { return s.Serve(c.standinsCtx, l) })
	return l.Addr().String(), nil
}

func (c *cluster) startEngine(id, model, role string, i int) error {
	o := c.deployment.engine(role)
	o.Model = model
	e := enginestandin.New(o)
	c.engines = append(c.engines, e)
	address, err := c.serve(e)
	if err != nil {
		return err
	}
	labels := map[string]string{object.LabelModel: model, object.LabelRole: role}
	return c.startAgent(id, address, settings.BackendEngine, labels, i)
}

func (c *cluster) startService(i int) error {
	id := fmt.Sprintf("service-%d", i)
	address, err := c.serve(servicestandin.New(servicestandin.Options{Name: id}))
	if err != nil {
		return err
	}
	c.services = append(c.services, address)
	return c.startAgent(id, address, settings.BackendService, map[string]string{object.LabelRole: object.RoleService}, i)
}

func (c *cluster) startAgent(id, backend, kind string, labels map[string]string, i int) error {
	a := settings.DefaultAgent()
	p, err := c.process(id, i)
	if err != nil {
		return err
	}
	a.Process, a.Backend, a.BackendKind = p, backend, kind
	c.instance(p, daemon.RoleAgent)
	if kind == settings.BackendEngine {
		c.sampledServers = append(c.sampledServers, &sampledServer{role: labels[object.LabelRole], backend: backend, operator: p.Operator})
	}
	c.layout.Server(id, labels)
	c.role(func() error { return daemon.RunAgent(c.rolesCtx, a, c.log) })
	return nil
}

func (c *cluster) startEntry(i int) error {
	e := settings.DefaultEntry()
	p, err := c.process(fmt.Sprintf("entry-%d", i), i)
	if err != nil {
		return err
	}
	e.Process, e.Policy = p, c.policy
	if e.Listen, err = addresses.FindFree(); err != nil {
		return err
	}
	c.targets = append(c.targets, e.Listen)
	c.operators = append(c.operators, e.Operator)
	c.instance(p, daemon.RoleEntry)
	c.role(func() error { return daemon.RunEntry(c.rolesCtx, e, c.log) })
	return nil
}

func (c *cluster) process(id string, i int) (settings.Process, error) {
	zones := c.deployment.Workload.Fleet.AvailabilityZones
	p := settings.DefaultProcess()
	p.ID, p.Region, p.AvailabilityZone = id, "experiment", zones[i%len(zones)]
	p.Platform = c.platform
	p.StopWithin = settings.Duration(stopWithin)
	var err error
	if p.Peer, err = addresses.FindFree(); err != nil {
		return p, err
	}
	p.Operator, err = addresses.FindFree()
	return p, err
}

var addresses = loopback.New(loopback.Host, loopback.Experiment)

// role runs one role of the daemon in the background. The first failure is kept
// for err.
func (c *cluster) role(run func() error) {
	c.roles.Go(func() error {
		err := run()
		if err != nil {
			c.failed.CompareAndSwap(nil, &err)
		}
		return err
	})
}

// err returns the error of the first role that failed, if any.
func (c *cluster) err() error {
	if e := c.failed.Load(); e != nil {
		return eris.Wrap(*e, "experiment: a role failed")
	}
	return nil
}

func (c *cluster) instance(p settings.Process, role string) {
	c.instances = append(c.instances, platform.Instance{
		ID: p.ID, Address: p.Peer, Role: role, AvailabilityZone: p.AvailabilityZone, Region: p.Region, State: platform.Live,
	})
}

// declare writes the pools, selectors and organisations to the platform and
// publishes the instances.
func (c *cluster) declare(ctx context.Context, model string) error {
	c.layout.Pools(model)
	for _, o := range c.deployment.Workload.Organisations {
		c.layout.Add(object.KindOrganisation, o.Name, object.Organisation{Format: object.Format, Share: o.Share})
	}
	ctx, cancel := context.WithTimeout(ctx, setupTime)
	defer cancel()
	if err := c.layout.Write(ctx, platform.NewHTTP(c.platform, setupTime)); err != nil {
		return err
	}
	return layout.PublishInstances(c.platform, c.instances, setupTime)
}

// waitReady waits until every entry is ready and then for the settle time.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTime)
	defer cancel()
	for _, t := range c.targets {
		for probe(ctx, "http://"+t+"/readyz") != nil {
			if !wait.Sleep(ctx, readyPoll) {
				return eris.Errorf("experiment: entry %s isn't ready within %s", t, setupTime)
			}
		}
	}
	wait.Sleep(ctx, settle)
	return nil
}

// probe returns an error unless a GET of url succeeds with a status below 400.
func probe(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "experiment")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("experiment: %s: status %d", url, resp.StatusCode)
	}
	return nil
}
