package cli

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/grpclog"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/hangup"
	"jayford.example/jayford/internal/settings"
)

const (
	// envRunner selects what the gateway of a process started by a test does.
	envRunner = "JAYFORD_TEST_RUNNER"
	// maxExitTime is how long a process may take that has nothing to wait for.
	maxExitTime = 5 * time.Second
)

// runners are the gateways of processes started by tests.
var runners = map[string]GatewayRunner{
	// Fails, so that the process writes the error and exits.
	"fails": func(_ context.Context, _ settings.Gateway, log *logrus.Logger) error {
		log.Info("gateway: failing.")
		return errors.New(strings.Repeat("the listener failed ", 5000))
	},
	// Writes through the loggers that libraries use, more than a pipe holds.
	"libraries": func(_ context.Context, _ settings.Gateway, _ *logrus.Logger) error {
		for range 1000 {
			stdlog.Print(strings.Repeat("x", 100))
			grpclog.Error(strings.Repeat("y", 100))
		}
		return nil
	},
	// Logs a field that has no JSON, as often as to fill a pipe.
	"format": func(_ context.Context, _ settings.Gateway, log *logrus.Logger) error {
		for range 1000 {
			log.WithField("x", func() {}).WithField("y", make(chan int)).Info("gateway: no JSON.")
		}
		return nil
	},
}

// TestMain runs jayfordd if this process was started for it.
func TestMain(m *testing.M) {
	if r := os.Getenv(envRunner); r != "" {
		os.Exit(Main(os.Args[1:], runners[r]))
	}
	os.Exit(m.Run())
}

// startDaemon starts a gateway that runs the runner, with invalid settings if there is none.
func startDaemon(t *testing.T, runner string, stdout, stderr *os.File) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	text := `{"id": "g", "region": "r", "availabilityZone": "z", "peer": "127.0.0.1:1", "operator": "127.0.0.1:2",
  "platform": "127.0.0.1:3", "listen": "127.0.0.1:4", "ready": "127.0.0.1:5"}`
	if runner == "" {
		runner, text = "fails", "{\n"+strings.Repeat(`"unknown": 1,`+"\n", 5000)
	}
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0], hangup.GatewayRole, "--settings", file)
	cmd.Env = append(os.Environ(), fmt.Sprint(envRunner, "=", runner))
	cmd.Stdout, cmd.Stderr = stdout, stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, cmd.Start())
	return cmd
}

// waitExitCode waits for a process and returns its exit code, -1 if a signal ended it.
func waitExitCode(t *testing.T, cmd *exec.Cmd) int {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(maxExitTime):
		_ = cmd.Process.Kill()
		<-ended
		t.Fatalf("the process hasn't ended within %s", maxExitTime)
	}
	return cmd.ProcessState.ExitCode()
}

var outcomes = map[string]int{"fails": ExitFailed, "libraries": ExitOK, "format": ExitOK, "": ExitInvalid}

// Guards against a process that is ended by SIGPIPE as the reader of its output has ended.
func TestExitCodeWithoutAReader(t *testing.T) {
	for runner, code := range outcomes {
		t.Run(runner, func(t *testing.T) {
			r, w, err := os.Pipe()
			assert.NilError(t, err)
			assert.NilError(t, r.Close())
			assert.Equal(t, waitExitCode(t, startDaemon(t, runner, w, w)), code)
		})
	}
}

// Guards against a process that doesn't end as the reader of its output stands still.
func TestExitWithAReaderThatStandsStill(t *testing.T) {
	for runner, code := range outcomes {
		t.Run(runner, func(t *testing.T) {
			r, w, err := os.Pipe()
			assert.NilError(t, err)
			defer func() { _ = r.Close() }()
			size, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
			assert.NilError(t, err)
			_, err = w.Write(make([]byte, size))
			assert.NilError(t, err)
			assert.Equal(t, waitExitCode(t, startDaemon(t, runner, w, w)), code)
		})
	}
}
