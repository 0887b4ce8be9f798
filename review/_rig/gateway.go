package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the project's gateway, started with the deploy file's command.
type gateway struct {
	id, listen, ready string
	cmd               *exec.Cmd
	exited            chan struct{}
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startGateway writes the settings file as the platform fills in the template of the deploy
// file, and starts the process. Its log goes to a file in dir.
func startGateway(dir, id, zone, platform string) (*gateway, error) {
	g := &gateway{id: id, exited: make(chan struct{})}
	var peer, operator string
	for _, to := range []*string{&g.listen, &g.ready, &peer, &operator} {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*to = a
	}
	text, err := os.ReadFile("deploy/gateway.settings.jsonc")
	if err != nil {
		return nil, err
	}
	settings := string(text)
	for _, optional := range []string{"bounds.strict-revoke", "bounds.quota-window-s"} {
		begin, end := strings.Index(settings, "{{#"+optional+"}}"), strings.Index(settings, "{{/"+optional+"}}")
		if begin >= 0 && end > begin {
			settings = settings[:begin] + settings[end+len("{{/"+optional+"}}"):]
		}
	}
	settings = strings.NewReplacer(
		"{{ip}}:{{internal-ports.0}}", peer, "{{ip}}:9464", operator, "{{node}}", id, "{{region}}", "wdh", "{{zone}}", zone,
		"{{platform.address}}", platform, "{{listen.front}}", g.listen, "{{listen.ready}}", g.ready,
		"{{bounds.budget-ratio}}", "0.2", "{{bounds.budget-slack}}", "56", "{{bounds.budget-window-s}}", "10",
	).Replace(settings)
	file := filepath.Join(dir, id+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, id+".log"))
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command("target/jayfordd", "gateway", "--settings", file)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	started.add(g)
	go func() {
		_ = g.cmd.Wait()
		_ = log.Close()
		close(g.exited)
	}()
	return g, nil
}

// startReady starts a gateway and waits until it is ready. Another program may take one of its
// ports first: then it is started again with others.
func startReady(dir, id, zone, platform string) (*gateway, error) {
	for tries := 1; ; tries++ {
		g, err := startGateway(dir, id, zone, platform)
		if err != nil {
			return nil, err
		}
		if err = g.awaitReady(5 * time.Second); err == nil {
			return g, nil
		}
		g.kill()
		if tries == 3 {
			return nil, err
		}
	}
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.hasEnded() {
			break
		}
		r, err := http.Get("http://" + g.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s isn't ready", g.id)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) kill() {
	select {
	case <-g.exited:
		return
	default:
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// started has the gateways that this process started.
var started processes

type processes struct {
	mu  sync.Mutex
	all []*gateway
}

func (p *processes) add(g *gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, g)
}

func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.all {
		g.kill()
	}
}
