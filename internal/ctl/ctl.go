// Package ctl is the operators' client: it checks, compares and writes
// configuration, shows the state of the system's processes, and sends load.
//
// Exit codes: 0 done; 1 wrong usage; 2 a file, an object or an answer is
// invalid, or there is no such object; 3 somebody else changed an object first,
// and nothing of theirs was overwritten; 4 the platform, an entry or an agent
// can't be reached; 5 it isn't known whether a write took effect. After 3, 4 and
// 5 the result says of each object whether it was written; a command that was
// cut short can be given again.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/strictjson"
)

// Exit codes of the client.
const (
	ExitOK          = 0
	ExitUsage       = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	ExitUnclear     = 5
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

var (
	errUsage       = errors.New("wrong usage")
	errInvalid     = errors.New("invalid")
	errConflict    = errors.New("conflict")
	errUnreachable = errors.New("unreachable")
)

// Environment is what a run of the client needs from its process.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// Open returns the object API at addr ("ip:port"). Each call but a watch
	// ends within timeout.
	Open func(addr string, timeout time.Duration) platform.Store
}

// client is one run of the client.
type client struct {
	ctx     context.Context
	env     Environment
	options globalOptions
}

type globalOptions struct {
	Platform string        `long:"platform" value-name:"IP:PORT" description:"address of the platform's services"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
	Timeout  time.Duration `long:"timeout" default:"5s" description:"bound of one call"`
	Settle   time.Duration `long:"settle" default:"20s" description:"bound of finding out what became of a write without a reply"`
}

// Run runs the client with the command line args and returns its exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	c := &client{ctx: ctx, env: env}
	parser := flags.NewNamedParser("jayfordctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done, 1 usage, 2 invalid, 3 conflict, 4 unreachable, 5 unclear."
	if _, err := parser.AddGroup("Global options", "", &c.options); err != nil {
		panic(err) // a fault of the option tags, found by any test
	}
	for _, cmd := range c.commands() {
		if _, err := parser.AddCommand(cmd.name, cmd.short, cmd.short, cmd.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return c.finish(err)
}

type command struct {
	name, short string
	data        flags.Commander
}

func (c *client) commands() []command {
	return []command{
		{"check", "Check configuration files.", &checkCommand{client: c}},
		{"diff", "Show what apply would change.", &diffCommand{client: c}},
		{"apply", "Write configuration files to the platform.", &applyCommand{client: c}},
		{"get", "Print objects, in the form of a configuration file.", &getCommand{client: c}},
		{"delete", "Delete an object of the configuration.", &deleteCommand{client: c}},
		{"label", "Change labels of a backend server.", &labelCommand{client: c}},
		{"drain", "Let a backend server take no new work.", &drainCommand{client: c}},
		{"status", "Show the processes and the configuration in force in each.", &statusCommand{client: c}},
		{"dump", "Print the state of one process.", &dumpCommand{client: c}},
		{"explain", "Say where a described request would land, and why.", &explainCommand{client: c}},
		{"trace", "Tell the story of one request from the processes' logs.", &traceCommand{client: c}},
		{"summary", "Tell what became of all requests from the processes' logs.", &summaryCommand{client: c}},
		{"keys", "Make certificates for the processes' own connections.", &keysCommand{}},
		{"load", "Send an open-loop load and report on it.", &loadCommand{client: c}},
	}
}

// finish tells err and returns the exit code.
func (c *client) finish(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(c.env.Stdout, usage.Message) //nolint:errcheck // no place left to tell it
		return ExitOK
	}
	fmt.Fprintf(c.env.Stderr, "jayfordctl: %v\n", err) //nolint:errcheck // no place left to tell it
	return exitCode(err)
}

func exitCode(err error) int {
	var problems strictjson.Problems
	switch {
	// First, because it can wrap why reading back failed.
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return ExitUnclear
	case errors.Is(err, errConflict), errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.Is(err, errUnreachable), errors.Is(err, platform.ErrUnavailable), errors.Is(err, load.ErrCounts):
		return ExitUnreachable
	case errors.As(err, &problems), errors.Is(err, errInvalid),
		errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrTooLarge):
		return ExitInvalid
	default:
		return ExitUsage
	}
}

// store returns the platform's object API.
func (c *client) store() (platform.Store, error) {
	if !strictjson.IsAddress(c.options.Platform, false) {
		return nil, eris.Wrap(errUsage, "--platform: expected ip:port")
	}
	return c.env.Open(c.options.Platform, c.options.Timeout), nil
}

// print writes value as JSON, or calls text.
func (c *client) print(value any, text func(io.Writer) error) error {
	if c.options.Output == outputText {
		return text(c.env.Stdout)
	}
	e := json.NewEncoder(c.env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return eris.Wrapf(errUsage, "unexpected argument %q", args[0])
	}
	return nil
}
