// Command jayfordctl is the command-line client for operators of jayford.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := ctl.Environment{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Open: func(addr string, timeout time.Duration) platform.Store {
			return platform.NewHTTP(addr, timeout)
		},
	}
	code := ctl.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
