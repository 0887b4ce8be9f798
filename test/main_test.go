// Package test runs jayford as separate processes against stand-ins, injects
// failures, and checks the histories recorded by callers and stand-ins.
package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	enginestandin "jayford.example/jayford/internal/standin/engine"
	platformstandin "jayford.example/jayford/internal/standin/platform"
	servicestandin "jayford.example/jayford/internal/standin/service"
)

const (
	envStandin = "JAYFORD_TEST_STANDIN"
	envAddress = "JAYFORD_TEST_ADDRESS"
	envOptions = "JAYFORD_TEST_OPTIONS"
)

// binaries is the directory of the daemons under test.
var binaries string

// TestMain runs a stand-in if this process was started as one, so that
// stand-ins can be killed and stopped like any other process.
func TestMain(m *testing.M) {
	if kind := os.Getenv(envStandin); kind != "" {
		if err := standin(kind, os.Getenv(envAddress), os.Getenv(envOptions)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jayford-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	for _, b := range []string{"jayfordd", "jayfordctl"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, b), "../cmd/"+b).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", b, err, out)
			return 1
		}
	}
	return m.Run()
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

func standin(kind, address, options string) error {
	s, err := newStandin(kind, []byte(options))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Serve(ctx, l)
}

func newStandin(kind string, options []byte) (server, error) {
	switch kind {
	case "engine":
		var o enginestandin.Options
		err := json.Unmarshal(options, &o)
		return enginestandin.New(o), err
	case "platform":
		var o platformstandin.Options
		err := json.Unmarshal(options, &o)
		return platformstandin.New(o), err
	case "service":
		var o servicestandin.Options
		err := json.Unmarshal(options, &o)
		return servicestandin.New(o), err
	}
	return nil, fmt.Errorf("no stand-in %q", kind)
}
