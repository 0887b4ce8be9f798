package test

import (
	"bytes"
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
	// output is what the process writes to instead of log, if it isn't nil.
	output *os.File

	mu sync.Mutex
	// All below is guarded by mu.
	cmd    *exec.Cmd
	log    *bytes.Buffer
	exited chan struct{}
}

// start starts the process. It may be called again after the process has ended.
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
	if p.output != nil {
		cmd.Stdout = p.output
	}
	cmd.Stderr = cmd.Stdout
	// The kernel kills the child process if the test binary dies.
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

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// freeze stops the process with SIGSTOP, as a pause of its machine would; thaw
// resumes it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM and waits up to d for a graceful stop.
func (p *process) terminate(d time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.wait(d)
}

func (p *process) restart() {
	p.kill()
	p.start()
}

// logs returns the output of the process.
func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// dumpLogs writes the logs of a failed test's processes to the directory
// JAYFORD_TEST_LOGS, if it is set.
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

var addresses = loopback.New(loopback.TestHost(), loopback.Tests)

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := addresses.FindFree()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually polls f until it returns nil, and fails the test after d.
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
