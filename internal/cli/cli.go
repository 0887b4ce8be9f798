// Package cli implements the command line of jayfordd.
package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/daemon"
	"jayford.example/jayford/internal/dev"
	"jayford.example/jayford/internal/hangup"
	"jayford.example/jayford/internal/logs"
	"jayford.example/jayford/internal/settings"
)

// Exit codes of jayfordd.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitInvalid = 3
)

const (
	// flushTimeout bounds the flush of buffered log lines on exit.
	flushTimeout = 200 * time.Millisecond
	// stderrTimeout bounds a write to standard error.
	stderrTimeout = 200 * time.Millisecond
)

// errInvalid marks invalid settings; the problems have been printed.
var errInvalid = errors.New("invalid settings")

type roleCommand struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings in JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

type entryCommand struct{ roleCommand }

// Execute runs an entry.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return reportInvalid(err)
	}
	if c.Check {
		return nil
	}
	return runRole(s.LogLevel, func(ctx context.Context, log *logrus.Logger) error {
		return daemon.RunEntry(ctx, s, log)
	})
}

type agentCommand struct{ roleCommand }

// Execute runs an agent.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return reportInvalid(err)
	}
	if c.Check {
		return nil
	}
	return runRole(s.LogLevel, func(ctx context.Context, log *logrus.Logger) error {
		return daemon.RunAgent(ctx, s, log)
	})
}

// GatewayRunner runs a gateway until ctx ends. The program supplies it with the
// gateway's external dependencies.
type GatewayRunner func(ctx context.Context, s settings.Gateway, log *logrus.Logger) error

type gatewayCommand struct {
	roleCommand
	MaxServerAge milliseconds `long:"max-server-age-ms" value-name:"MS" description:"following.maxServerAge, in place of that in the settings"`
	MaxConfigAge milliseconds `long:"max-config-age-ms" value-name:"MS" description:"following.maxConfigAge, in place of that in the settings"`
	run          GatewayRunner
}

// milliseconds is the value of an option that takes the place of a setting, 0 if it isn't given or
// empty.
type milliseconds time.Duration

// UnmarshalFlag implements flags.Unmarshaler.
func (m *milliseconds) UnmarshalFlag(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	d := time.Duration(n) * time.Millisecond
	if err != nil || d < settings.MinCopyAge || d > settings.MaxCopyAge {
		return fmt.Errorf("expected %d to %d, got %q", settings.MinCopyAge.Milliseconds(), settings.MaxCopyAge.Milliseconds(), text)
	}
	*m = milliseconds(d)
	return nil
}

// or returns the option's value, or the setting if it isn't given.
func (m milliseconds) or(setting settings.Duration) settings.Duration {
	return cmp.Or(settings.Duration(m), setting)
}

// Execute runs a gateway.
func (c *gatewayCommand) Execute([]string) error {
	hup := hangup.Catch()
	// Before the file is read, so that a change meanwhile isn't missed.
	read := modTime(c.Settings)
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return reportInvalid(err)
	}
	if c.Check {
		return nil
	}
	return runRole(s.LogLevel, func(ctx context.Context, log *logrus.Logger) error {
		go watchSettings(ctx, c.Settings, s, read, hup, log)
		f := s.Following
		s.Following.MaxServerAge, s.Following.MaxConfigAge = c.MaxServerAge.or(f.MaxServerAge), c.MaxConfigAge.or(f.MaxConfigAge)
		return c.run(ctx, s, log)
	})
}

type devCommand struct {
	Listen   string `long:"listen" default:"127.0.0.1:8080" value-name:"IP:PORT" description:"listener for callers"`
	Operator string `long:"operator" default:"127.0.0.1:8081" value-name:"IP:PORT" description:"operator listener of the entry"`
	Prefill  int    `long:"prefill" default:"2" description:"prefill engines"`
	Decode   int    `long:"decode" default:"2" description:"decode engines"`
	Service  int    `long:"service" default:"2" description:"plain services"`
	LogLevel string `long:"log-level" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log lines"`
}

// Execute runs the dev role.
func (c *devCommand) Execute([]string) error {
	return runRole(c.LogLevel, func(ctx context.Context, log *logrus.Logger) error {
		return dev.Run(ctx, dev.Options{
			Listen: c.Listen, Operator: c.Operator,
			Prefill: c.Prefill, Decode: c.Decode, Service: c.Service, Log: log,
		})
	})
}

func reportInvalid(err error) error {
	printError(err)
	return errInvalid
}

// runRole runs a role until it ends or the process gets SIGINT or SIGTERM.
func runRole(level string, role func(ctx context.Context, log *logrus.Logger) error) error {
	log := logrus.StandardLogger()
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return reportInvalid(err)
	}
	flush := logs.Install(log, os.Stdout, logs.Options{Level: lv})
	defer flush(flushTimeout)
	logs.TakeLibraries(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return role(ctx, log)
}

// Main runs jayfordd with the given arguments and returns its exit code.
//
// It ignores SIGPIPE: the runtime would otherwise end the process, with all its requests, at
// the first write to a standard output or error whose reader has ended.
func Main(args []string, gateway GatewayRunner) int {
	signal.Ignore(syscall.SIGPIPE)
	p := flags.NewNamedParser("jayfordd", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Routes requests to prefill and decode engines and to plain services."
	commands := []struct {
		name, short string
		data        any
	}{
		{"entry", "Accept callers on an entry instance.", &entryCommand{}},
		{"agent", "Admit requests to the backend server of this instance.", &agentCommand{}},
		{hangup.GatewayRole, "Accept callers where backend servers do their own admission control.", &gatewayCommand{run: gateway}},
		{"dev", "Run a small system with stand-ins in one process.", &devCommand{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			printError(err)
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		printError(usage)
		return ExitUsage
	case errors.Is(err, errInvalid):
		return ExitInvalid
	}
	printError(err)
	return ExitFailed
}

func printError(err error) {
	logs.WriteWithin(os.Stderr, err.Error()+"\n", stderrTimeout)
}
