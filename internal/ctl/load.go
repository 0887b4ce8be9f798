package ctl

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/load"
)

type loadCommand struct {
	client      *client
	Workload    string        `long:"workload" required:"yes" value-name:"FILE" description:"workload file"`
	Targets     []string      `long:"target" required:"yes" value-name:"IP:PORT" description:"listener for callers of an entry; may be repeated"`
	Operators   []string      `long:"operator" value-name:"IP:PORT" description:"operator listener of an entry, scraped for prefill tokens; may be repeated"`
	Duration    time.Duration `long:"duration" default:"30s" description:"how long to send requests"`
	Rate        float64       `long:"rate" default:"1" description:"factor on the workload's rates"`
	TimeScale   float64       `long:"time-scale" default:"1" description:"factor on the workload's times; its rates are divided by it"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the random generator"`
	MaxRequests int           `long:"max-requests" default:"200000" description:"maximum number of requests sent"`
	Concurrency int           `long:"concurrency" default:"4096" description:"maximum number of requests in flight"`
	AllowRemote bool          `long:"allow-remote" description:"accept targets that aren't on loopback"`
	SVG         string        `long:"svg" value-name:"FILE" description:"write a plot to this file"`
	JSON        string        `long:"json" value-name:"FILE" description:"also write the report to this file"`
	Quiet       bool          `long:"quiet" description:"no progress lines"`
}

// Execute runs the load and prints its report.
func (cmd *loadCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.Rate <= 0 || cmd.TimeScale <= 0 || cmd.MaxRequests <= 0 || cmd.Concurrency <= 0 {
		return eris.Wrap(errUsage, "--rate, --time-scale, --max-requests and --concurrency: expected values greater than 0")
	}
	workload, err := load.ReadWorkload(cmd.Workload)
	if err != nil {
		return err
	}
	report, runErr := load.Run(cmd.client.ctx, cmd.loadOptions(workload))
	if runErr != nil && report.Total.Sent == 0 {
		return runErr
	}
	if err := cmd.writeFiles(report); err != nil {
		return err
	}
	if err := cmd.client.print(report, report.WriteText); err != nil {
		return err
	}
	return runErr
}

func (cmd *loadCommand) loadOptions(workload load.Workload) load.Options {
	o := load.Options{
		Workload: workload,
		Plan: load.PlanOptions{
			Seed: cmd.Seed, Duration: cmd.Duration, Rate: cmd.Rate, TimeScale: cmd.TimeScale,
			MaxRequests: cmd.MaxRequests,
		},
		Targets: cmd.Targets, AllowRemote: cmd.AllowRemote, Concurrency: cmd.Concurrency,
	}
	if len(cmd.Operators) > 0 {
		o.Prefill = load.ScrapePrefill(cmd.Operators)
	}
	if !cmd.Quiet {
		o.Progress = cmd.client.env.Stderr
	}
	return o
}

func (cmd *loadCommand) writeFiles(report load.Report) error {
	if cmd.SVG != "" {
		if err := writeFile(cmd.SVG, report.WriteSVG); err != nil {
			return err
		}
	}
	if cmd.JSON == "" {
		return nil
	}
	return writeFile(cmd.JSON, report.WriteJSON)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "report")
}
