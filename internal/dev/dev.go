// Package dev runs a small but complete system in one process on loopback, with
// stand-ins for the platform, engines and plain services, to try jayford out.
package dev

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
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
)

// Model is the name of the model that the stand-ins serve.
const Model = "small-model"

const (
	zone              = "dev-a"
	region            = "dev"
	stopWithin        = 3 * time.Second
	setupTimeout      = 5 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Options configures the dev role.
type Options struct {
	// Listen is the "ip:port" for callers, Operator that for operators.
	Listen   string
	Operator string
	// Prefill, Decode and Service are how many servers of each kind run.
	Prefill, Decode, Service int
	Log                      *logrus.Logger
}

// system is one run of the dev role.
type system struct {
	opts  Options
	group *errgroup.Group
	ctx   context.Context
	// agents is the context of the agents. It ends after the entry has stopped,
	// because requests that the entry still serves need them.
	agents     context.Context
	stopAgents context.CancelFunc
	roles      context.Context
	platform   string
	instances  []platform.Instance
	layout     layout.Layout
}

// Run runs the system until ctx ends.
func Run(ctx context.Context, o Options) error {
	// The stand-ins outlive the roles, so that the roles can stop gracefully.
	standins, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, standins := errgroup.WithContext(standins)
	roles, stop := context.WithCancel(ctx)
	defer stop()
	context.AfterFunc(standins, stop)
	agents, stopAgents := context.WithCancel(standins)
	defer stopAgents()
	s := &system{opts: o, group: group, ctx: standins, roles: roles, agents: agents, stopAgents: stopAgents}
	if err := s.build(); err != nil {
		return err
	}
	var daemons errgroup.Group
	if err := s.startRoles(&daemons); err != nil {
		return err
	}
	err := daemons.Wait()
	cancel()
	if serr := group.Wait(); err == nil {
		err = serr
	}
	return err
}

type standin interface {
	Serve(ctx context.Context, l net.Listener) error
}

func (s *system) serve(x standin) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "dev: listen")
	}
	s.group.Go(func() error { return x.Serve(s.ctx, l) })
	return l.Addr().String(), nil
}

func (s *system) build() error {
	var err error
	s.platform, err = s.serve(platformstandin.New(platformstandin.Options{}))
	return err
}

// startRoles starts the agents with their backend servers, writes the
// configuration, and starts the entry.
func (s *system) startRoles(g *errgroup.Group) error {
	for i := range s.opts.Prefill {
		if err := s.startEngine(g, fmt.Sprintf("prefill-%d", i), object.RolePrefill); err != nil {
			return err
		}
	}
	for i := range s.opts.Decode {
		if err := s.startEngine(g, fmt.Sprintf("decode-%d", i), object.RoleDecode); err != nil {
			return err
		}
	}
	for i := range s.opts.Service {
		if err := s.startService(g, fmt.Sprintf("service-%d", i)); err != nil {
			return err
		}
	}
	if err := s.declare(); err != nil {
		return err
	}
	return s.startEntry(g)
}

func (s *system) startEngine(g *errgroup.Group, id, role string) error {
	address, err := s.serve(enginestandin.New(enginestandin.Options{Model: Model, Role: role}))
	if err != nil {
		return err
	}
	s.layout.Server(id, layout.Labels(Model, role))
	return s.startAgent(g, id, address, settings.BackendEngine)
}

func (s *system) startService(g *errgroup.Group, id string) error {
	address, err := s.serve(servicestandin.New(servicestandin.Options{Name: id}))
	if err != nil {
		return err
	}
	s.layout.Server(id, map[string]string{object.LabelRole: object.RoleService})
	return s.startAgent(g, id, address, settings.BackendService)
}

func (s *system) process(id string) (settings.Process, error) {
	p := settings.DefaultProcess()
	p.ID, p.Region, p.AvailabilityZone = id, region, zone
	p.Platform = s.platform
	p.StopWithin = settings.Duration(stopWithin)
	var err error
	if p.Peer, err = addresses.FindFree(); err != nil {
		return p, err
	}
	p.Operator, err = addresses.FindFree()
	return p, err
}

var addresses = loopback.New(loopback.Host, loopback.Dev)

func (s *system) startAgent(g *errgroup.Group, id, backend, kind string) error {
	a := settings.DefaultAgent()
	p, err := s.process(id)
	if err != nil {
		return err
	}
	a.Process, a.Backend, a.BackendKind = p, backend, kind
	s.instance(p, daemon.RoleAgent)
	g.Go(func() error { return daemon.RunAgent(s.agents, a, s.opts.Log) })
	return nil
}

func (s *system) startEntry(g *errgroup.Group) error {
	e := settings.DefaultEntry()
	p, err := s.process("entry-0")
	if err != nil {
		return err
	}
	e.Process, e.Listen = p, s.opts.Listen
	if s.opts.Operator != "" {
		e.Operator = s.opts.Operator
	}
	s.instance(p, daemon.RoleEntry)
	if err := layout.PublishInstances(s.platform, s.instances, setupTimeout); err != nil {
		return err
	}
	g.Go(func() error {
		defer s.stopAgents()
		return daemon.RunEntry(s.roles, e, s.opts.Log)
	})
	go s.printUsageWhenReady(e)
	return nil
}

// printUsageWhenReady prints example requests as soon as the entry is ready.
func (s *system) printUsageWhenReady(e settings.Entry) {
	client := fasthttp.Client{NoDefaultUserAgentHeader: true}
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for {
		status, _, err := client.GetTimeout(nil, "http://"+e.Listen+"/readyz", setupTimeout)
		if err == nil && status == fasthttp.StatusOK {
			s.printUsage(e)
			return
		}
		select {
		case <-s.roles.Done():
			return
		case <-t.C:
		}
	}
}

func (s *system) printUsage(e settings.Entry) {
	fmt.Printf(`jayford listens on %s, the operator listener is %s, the platform is %s. Try:

  curl -s http://%s/v1/models
  curl -s http://%s/v1/completions -d '{"model":"%s","prompt":"hello there","max_tokens":8}'
  curl -sN http://%s/v1/completions -d '{"model":"%s","prompt":"hello there","max_tokens":8,"stream":true}'
  curl -s http://%s/faces/42?size=small

Press Ctrl-C to stop.
`, e.Listen, e.Operator, s.platform, e.Listen, e.Listen, Model, e.Listen, Model, e.Listen)
}

func (s *system) instance(p settings.Process, role string) {
	s.instances = append(s.instances, platform.Instance{
		ID: p.ID, Address: p.Peer, Role: role, AvailabilityZone: zone, Region: region, State: platform.Live,
	})
}

// declare writes the configuration of the dev system.
func (s *system) declare() error {
	s.layout.Pools(Model)
	ctx, cancel := context.WithTimeout(s.ctx, setupTimeout)
	defer cancel()
	return s.layout.Write(ctx, platform.NewHTTP(s.platform, setupTimeout))
}
