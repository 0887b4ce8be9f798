package test

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayford.example/jayford/internal/standin/loopback"
)

// process is one process of a test: a daemon or a stand-in.
type process struct {
	t    *testing.T
	name string
	path string
	args []string
	env  []string

	mu sync.Mutex
	// All below is guarded by mu.
	cmd    *exec.Cmd
	log    *bytes.Buffer
	exited chan struct{}
}

// start starts the process, also again after it ended.
func (p *process) start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log == nil {
		p.log = new(bytes.Buffer)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout = &lockedWriter{p: p}
	cmd.Stderr = cmd.Stdout
	// A test binary that dies takes its processes along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	p.cmd = cmd
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

type lockedWriter struct{ p *process }

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(b)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(s)
	}
}

func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// freeze stops the process as a pause of its machine would; thaw ends it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate asks for a graceful stop and waits for it.
func (p *process) terminate(d time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.wait(d)
}

func (p *process) restart() {
	p.kill()
	p.start()
}

// logs returns what the process wrote.
func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// dumpLogs shows the logs of a failed test's processes.
func dumpLogs(t *testing.T, procs []*process) {
	dir := os.Getenv("JAYFORD_TEST_LOGS")
	if !t.Failed() || dir == "" {
		return
	}
	for _, p := range procs {
		name := strings.ReplaceAll(t.Name(), "/", "-") + "-" + p.name + ".log"
		_ = os.WriteFile(filepath.Join(dir, name), []byte(p.logs()), 0o600)
	}
}

// envHost is the loopback address of all listeners. Runs of the tests beside each
// other need one each, 127.0.0.2 and so on.
const envHost = "JAYFORD_TEST_HOST"

var addresses = loopback.New(cmp.Or(os.Getenv(envHost), loopback.Host), loopback.Tests)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := addresses.FindFree()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until f returns nil.
func eventually(t *testing.T, d time.Duration, what string, f func() error) {
	t.Helper()
	end := time.Now().Add(d)
	err := f()
	for err != nil && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		err = f()
	}
	if err != nil {
		t.Fatalf("%s: not within %s: %v", what, d, err)
	}
}

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }
