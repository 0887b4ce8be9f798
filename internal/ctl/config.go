package ctl

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/configcheck"
	"jayford.example/jayford/internal/settings"
)

// configCommand groups the verbs about a gateway's configuration.
type configCommand struct {
	Check configCheckCommand `command:"check" description:"Check a configuration and compare it with the version in force. Needs no store."`
}

type configCheckCommand struct {
	client         *client
	Against        string `long:"against" value-name:"FILE" description:"the version in force, to show what changes"`
	JSON           bool   `long:"json" description:"print the findings as JSON, the same as --output json"`
	MaxHeaderBytes int    `long:"max-header-bytes" description:"the gateways' setting limits.maxHeaderBytes; default: that of the settings"`
	MaxBodyBytes   int    `long:"max-body-bytes" description:"the gateways' setting limits.maxBodyBytes; default: that of the settings"`
	Args           struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"configuration as the store holds it"`
	} `positional-args:"yes"`
}

// configReport is the result of a check.
type configReport struct {
	File     string                `json:"file"`
	Against  string                `json:"against,omitempty"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Notes    int                   `json:"notes"`
	Findings []configcheck.Finding `json:"findings"`
}

// Execute checks a configuration. Errors and warnings give ExitFindings, a file that can't
// be read or decoded ExitInvalid.
func (cmd *configCheckCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.JSON {
		cmd.client.options.Output = outputJSON
	}
	findings, err := cmd.findings()
	if err != nil {
		return err
	}
	r := newConfigReport(cmd.Args.File, cmd.Against, findings)
	if err := cmd.client.print(r, r.write); err != nil {
		return err
	}
	if r.Errors+r.Warnings > 0 {
		return eris.Wrapf(errFindings, "%d errors, %d warnings", r.Errors, r.Warnings)
	}
	return nil
}

func (cmd *configCheckCommand) findings() ([]configcheck.Finding, error) {
	draft, err := cmd.client.readDraft(cmd.Args.File)
	if err != nil {
		return nil, err
	}
	out := configcheck.Check(draft, cmd.bounds())
	if cmd.Against == "" {
		return out, nil
	}
	before, err := cmd.client.readDraft(cmd.Against)
	if err != nil {
		return nil, err
	}
	return append(out, configcheck.Compare(draft, before)...), nil
}

// bounds returns the gateways' limits: those given, else the defaults of the settings.
func (cmd *configCheckCommand) bounds() configcheck.Bounds {
	limits := settings.DefaultGateway().Limits
	b := configcheck.Bounds{HeaderBytes: limits.MaxHeaderBytes, BodyBytes: limits.MaxBodyBytes}
	if cmd.MaxHeaderBytes > 0 {
		b.HeaderBytes = cmd.MaxHeaderBytes
	}
	if cmd.MaxBodyBytes > 0 {
		b.BodyBytes = cmd.MaxBodyBytes
	}
	return b
}

// readDraft reads and decodes a configuration.
func (c *client) readDraft(path string) (configcheck.Draft, error) {
	text, err := readFile(path)
	if err != nil {
		return configcheck.Draft{}, eris.Wrap(errInvalid, err.Error())
	}
	draft, err := c.env.ReadConfig(path, text)
	if err != nil {
		return configcheck.Draft{}, eris.Wrap(errInvalid, err.Error())
	}
	return draft, nil
}

func newConfigReport(file, against string, findings []configcheck.Finding) configReport {
	return configReport{
		File: file, Against: against,
		Errors:   configcheck.Count(findings, configcheck.Error),
		Warnings: configcheck.Count(findings, configcheck.Warning),
		Notes:    configcheck.Count(findings, configcheck.Note),
		Findings: append([]configcheck.Finding{}, findings...), // an empty list instead of null in JSON
	}
}

// write writes a line for each finding.
func (r configReport) write(w io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s: no findings\n", r.File)
	return err
}
