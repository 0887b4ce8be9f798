package slopes

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/standin/loopback"
)

// process is a running daemon.
type process struct{ cmd *exec.Cmd }

// start starts the daemon in the given role with settings s.
func (b *Bench) start(role, id string, s any) (*process, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	path := filepath.Join(b.dir, id+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	cmd := exec.Command(filepath.Join(b.dir, "jayfordd"), role, "--settings", path)
	cmd.Stderr = os.Stderr
	// The processes are killed if the bench dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start")
	}
	p := &process{cmd}
	b.processes = append(b.processes, p)
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// usage is the cumulative processor time and the current memory of a process.
type usage struct {
	at  time.Time
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident float64
}

// usage sums the scheduler's statistics of all threads, which have a finer
// resolution than the clock ticks of the process's own statistics.
func (p *process) usage() (usage, error) {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	tasks, err := filepath.Glob(dir + "/task/*/schedstat")
	if err != nil {
		return u, eris.Wrap(err, "threads")
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return u, eris.Wrap(err, "thread")
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return u, eris.Wrap(err, "thread")
		}
		u.cpu += time.Duration(ns)
	}
	text, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return u, eris.Wrap(err, "memory")
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	u.resident = float64(pages * os.Getpagesize())
	return u, eris.Wrap(err, "memory")
}

// share returns the processor time between two readings, in percent of a core.
func share(from, to usage) float64 {
	return 100 * float64(to.cpu-from.cpu) / float64(to.at.Sub(from.at))
}

// megabytes is 10^6 bytes, the unit of the limits.
const megabytes = 1e6

var addresses = loopback.New(loopback.Host, loopback.Slopes)
