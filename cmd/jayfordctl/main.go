// Command jayfordctl is the command-line client for operators of jayford.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/platform"
	adapter "jayford.example/jayford/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, environment(os.Stdout, os.Stderr), os.Args[1:])
	stop()
	os.Exit(code)
}

func environment(stdout, stderr io.Writer) ctl.Environment {
	return ctl.Environment{
		Stdout: stdout,
		Stderr: stderr,
		Open: func(addr string, timeout time.Duration) platform.Store {
			return platform.NewHTTP(addr, timeout)
		},
		ReadConfig: adapter.ReadDraft,
	}
}
