package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const (
	readyWithin = 20 * time.Second
	settleTime  = 3 * time.Second
)

// Bench runs measurements. Each measurement starts its own processes, prints its
// results and stops the processes.
type Bench struct {
	// Window is the duration of the measurement of one point.
	Window time.Duration
	Out    io.Writer

	dir string
	// authority is the directory of the certificates; empty for connections
	// without TLS.
	authority string
	group     *errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc
	processes []*process

	platform     *platformstandin.Platform
	platformAt   string
	platformWire meter
	instances    []platform.Instance
}

// Run builds the daemon from the module in the working directory and runs the
// given measurements.
func (b *Bench) Run(parts ...func(*Bench) error) error {
	dir, err := os.MkdirTemp("", "jayford-slopes")
	if err != nil {
		return eris.Wrap(err, "slopes")
	}
	defer os.RemoveAll(dir)
	b.dir = dir
	if text, err := exec.Command("go", "build", "-o", dir, "./cmd/jayfordd").CombinedOutput(); err != nil {
		return eris.Wrapf(err, "build: %s", text)
	}
	for _, part := range parts {
		b.printLoad()
		if err := part(b); err != nil {
			return err
		}
	}
	b.printLoad()
	return nil
}

func (b *Bench) printf(format string, a ...any) { _, _ = fmt.Fprintf(b.Out, format, a...) }

// printLoad prints the machine's load average: points measured while the machine
// is loaded by other processes must be measured again.
func (b *Bench) printLoad() {
	text, _ := os.ReadFile("/proc/loadavg")
	b.printf("%s load average %s", time.Now().Format(time.DateTime), text)
}

// runScenario calls run with a new platform that holds the fleet, and then stops
// all processes and goroutines that were started.
func (b *Bench) runScenario(f fleet, run func() error) error {
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.group, b.ctx = errgroup.WithContext(b.ctx)
	b.processes = nil
	defer func() {
		b.cancel()
		for _, p := range b.processes {
			p.kill()
		}
		_ = b.group.Wait()
	}()
	b.platform = platformstandin.New(platformstandin.Options{})
	for _, o := range f.objects() {
		if _, err := b.platform.Put(o); err != nil {
			return eris.Wrap(err, "declare")
		}
	}
	b.instances = f.instances()
	var err error
	if b.platformAt, err = b.serve(b.platform, &b.platformWire); err != nil {
		return err
	}
	return run()
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in in this process and counts its traffic in m.
func (b *Bench) serve(s server, m *meter) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	b.group.Go(func() error { return s.Serve(b.ctx, &meteredListener{l, m}) })
	return l.Addr().String(), nil
}

func (b *Bench) settings(id, zone string) (settings.Process, error) {
	p := settings.DefaultProcess()
	p.ID, p.AvailabilityZone, p.Region, p.Platform, p.LogLevel = id, zone, regionOf(0), b.platformAt, "error"
	var err error
	if p.Peer, err = addresses.FindFree(); err != nil {
		return p, err
	}
	p.Operator, err = addresses.FindFree()
	return p, err
}

func (b *Bench) list(p settings.Process, role string) {
	b.instances = append(b.instances, platform.Instance{
		ID: p.ID, Address: p.Peer, Role: role, AvailabilityZone: p.AvailabilityZone, Region: p.Region, State: platform.Live,
	})
}

// entry starts an entry and adds it to the list of instances, which the caller
// must publish.
func (b *Bench) entry(id, zone string) (*process, settings.Entry, error) {
	e := settings.DefaultEntry()
	p, err := b.settings(id, zone)
	if err != nil {
		return nil, e, err
	}
	e.Process = p
	if e.TLS, err = b.issue("entry", id); err != nil {
		return nil, e, err
	}
	if e.Listen, err = addresses.FindFree(); err != nil {
		return nil, e, err
	}
	b.list(p, "entry")
	run, err := b.start("entry", id, e)
	return run, e, err
}

func (b *Bench) agent(id, zone, backend string, slots int) (*process, settings.Agent, error) {
	a := settings.DefaultAgent()
	p, err := b.settings(id, zone)
	if err != nil {
		return nil, a, err
	}
	a.Process, a.Backend, a.Slots = p, backend, slots
	if a.TLS, err = b.issue("agent", id); err != nil {
		return nil, a, err
	}
	b.list(p, "agent")
	run, err := b.start("agent", id, a)
	return run, a, err
}

func (b *Bench) publish() { b.platform.SetInstances(b.instances) }

var errNotReady = errors.New("a process isn't ready in time")

// waitStatus waits until the process reports a status and has received a
// configuration (a revision above 0).
func waitStatus(operator string) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + operator + "/status")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && !strings.Contains(string(text), `"revision":0,`) {
			return nil
		}
	}
	return errNotReady
}

// cost is the resource usage of a process and its connections in a window.
type cost struct {
	// core is in percent of a core, resident in megabytes, bytes per second.
	core, resident, bytes float64
}

// measure returns the cost of a process over one window. wire may be nil.
func (b *Bench) measure(p *process, wire *meter) (cost, error) {
	from, err := p.usage()
	if err != nil {
		return cost{}, err
	}
	before := 0.0
	if wire != nil {
		before = wire.total()
	}
	time.Sleep(b.Window)
	to, err := p.usage()
	if err != nil {
		return cost{}, err
	}
	s := cost{core: share(from, to), resident: to.resident / megabytes}
	if wire != nil {
		s.bytes = (wire.total() - before) / to.at.Sub(from.at).Seconds()
	}
	return s, nil
}
