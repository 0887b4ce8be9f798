// Package ctl implements jayfordctl, the command-line client for operators. It
// checks, compares and writes configuration, shows the state of the system's
// processes, evaluates their logs, and generates load.
//
// Exit codes: 0 success; 1 wrong usage, or a check with findings; 2 a file, object or response is invalid,
// or the object doesn't exist; 3 conflict: another writer changed an object
// first, and its change was not overwritten; 4 the platform, an entry or an
// agent is unreachable; 5 it is unknown whether a write took effect. After 3, 4
// and 5 the output states for each object whether it was written. It is safe to
// repeat an interrupted command.
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

	"jayford.example/jayford/internal/configcheck"
	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/strictjson"
)

// Exit codes of the client.
const (
	ExitOK          = 0
	ExitUsage       = 1
	ExitFindings    = 1
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
	errFindings    = errors.New("the configuration has errors or warnings")
	errInvalid     = errors.New("invalid")
	errConflict    = errors.New("conflict")
	errUnreachable = errors.New("unreachable")
)

// Environment holds the dependencies of a run of the client.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// Open returns a client of the object API at addr ("ip:port"). The timeout
	// applies to each call except watches.
	Open func(addr string, timeout time.Duration) platform.Store
	// ReadConfig decodes the text of a gateway's configuration. Its error says that there
	// is none.
	ReadConfig func(file string, text []byte) (configcheck.Draft, error)
}

// client is the state of one run of jayfordctl.
type client struct {
	ctx     context.Context
	env     Environment
	options globalOptions
}

type globalOptions struct {
	Platform string        `long:"platform" value-name:"IP:PORT" description:"address of the platform's services"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Timeout  time.Duration `long:"timeout" default:"5s" description:"timeout of one call"`
	Settle   time.Duration `long:"settle" default:"20s" description:"how long to read back the outcome of a write that got no reply"`
}

// Run runs the client with the command line args and returns its exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	c := &client{ctx: ctx, env: env}
	parser := flags.NewNamedParser("jayfordctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done, 1 usage or findings, 2 invalid, 3 conflict, 4 unreachable, 5 unclear."
	if _, err := parser.AddGroup("Global options", "", &c.options); err != nil {
		panic(err) // invalid option tags; any test finds them
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
	data        any
}

func (c *client) commands() []command {
	return []command{
		{"check", "Check configuration files.", &checkCommand{client: c}},
		{"config", "Work on a gateway's configuration before it is sent.", &configCommand{Check: configCheckCommand{client: c}}},
		{"diff", "Show what apply would change.", &diffCommand{client: c}},
		{"apply", "Write configuration files to the platform.", &applyCommand{client: c}},
		{"get", "Print objects in the format of a configuration file.", &getCommand{client: c}},
		{"delete", "Delete an object of the configuration.", &deleteCommand{client: c}},
		{"label", "Change labels of a backend server.", &labelCommand{client: c}},
		{"drain", "Drain a backend server: it gets no new requests.", &drainCommand{client: c}},
		{"status", "Show the processes and the configuration in force in each.", &statusCommand{client: c}},
		{"dump", "Print the state of one process.", &dumpCommand{client: c}},
		{"quotas", "Show the organisations' quotas and their use at gateways.", &quotasCommand{client: c}},
		{"versions", "Show the software versions of servers, and the streams resumed at them.", &versionsCommand{client: c}},
		{"parts", "Show the parts of prompts that crash servers, or clear one.", &partsCommand{client: c}},
		{"explain", "Explain where a request with the given properties would be placed.", &explainCommand{client: c}},
		{"trace", "Show the log lines of one request from the logs of all processes.", &traceCommand{client: c}},
		{"summary", "Count the outcomes of all requests from the logs of all processes.", &summaryCommand{client: c}},
		{"keys", "Issue certificates for the connections between processes.", &keysCommand{}},
		{"load", "Generate an open-loop load and report on it.", &loadCommand{client: c}},
	}
}

// finish prints err and returns the exit code.
func (c *client) finish(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(c.env.Stdout, usage.Message) //nolint:errcheck // nowhere left to report it
		return ExitOK
	}
	fmt.Fprintf(c.env.Stderr, "jayfordctl: %v\n", err) //nolint:errcheck // nowhere left to report it
	return exitCode(err)
}

func exitCode(err error) int {
	var problems strictjson.Problems
	switch {
	// Checked first: it can wrap the error of the read-back.
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return ExitUnclear
	case errors.Is(err, errConflict), errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.Is(err, errUnreachable), errors.Is(err, platform.ErrUnavailable), errors.Is(err, load.ErrPrefillCounters):
		return ExitUnreachable
	case errors.Is(err, errFindings):
		return ExitFindings
	case errors.As(err, &problems), errors.Is(err, errInvalid),
		errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrTooLarge):
		return ExitInvalid
	default:
		return ExitUsage
	}
}

// store returns a client of the platform's object API.
func (c *client) store() (platform.Store, error) {
	if !strictjson.IsAddress(c.options.Platform, false) {
		return nil, eris.Wrap(errUsage, "--platform: expected ip:port")
	}
	return c.env.Open(c.options.Platform, c.options.Timeout), nil
}

// print writes value as JSON, or calls text if the output format is text.
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
