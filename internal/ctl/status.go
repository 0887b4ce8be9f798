package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

type statusCommand struct {
	client    *client
	Operators []string `long:"operator" value-name:"IP:PORT" description:"operator listener of a process to query directly; may be repeated"`
}

// Status is the result of the command status.
type Status struct {
	// Configuration is the highest version among the stored configuration
	// objects; 0 if the platform wasn't queried.
	Configuration uint64 `json:"configuration"`
	// Digest is the digest of the stored configuration, computed as the
	// processes do.
	Digest    json.Number `json:"digest,omitempty"`
	Processes []Process   `json:"processes"`
	// Errors lists what couldn't be read.
	Errors []string `json:"errors,omitempty"`
}

// Process is the state of one process.
type Process struct {
	ID               string      `json:"id"`
	Role             string      `json:"role"`
	AvailabilityZone string      `json:"availabilityZone,omitempty"`
	Revision         uint64      `json:"revision"`
	Digest           json.Number `json:"digest,omitempty"`
	Incarnation      json.Number `json:"incarnation,omitempty"`
	UptimeSeconds    uint64      `json:"uptimeSeconds,omitempty"`
	// Current reports whether the process ran with the stored configuration at
	// the time of its report. It is false if the platform wasn't queried.
	Current bool `json:"current"`
	// AgeSeconds is the age of the report by the local clock; 0 if the process
	// was queried directly. Status objects are written infrequently, to limit
	// the load on the platform.
	AgeSeconds uint64 `json:"ageSeconds"`
	// Source is the status object or the address that the report comes from.
	Source string `json:"source"`
}

// statusSpec is the spec of a status object. It is decoded leniently, because a
// later format may add fields.
type statusSpec struct {
	Time      time.Time `json:"time"`
	Processes []Process `json:"processes"`
}

// Execute shows the processes from the status objects and from the given
// operator listeners. A failed read doesn't suppress the other results.
func (cmd *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.client.options.Platform == "" && len(cmd.Operators) == 0 {
		return eris.Wrap(errUsage, "expected --platform, --operator or both")
	}
	var status Status
	var first error
	note := func(err error) {
		if err == nil {
			return
		}
		first = cmp.Or(first, err)
		status.Errors = append(status.Errors, err.Error())
	}
	if cmd.client.options.Platform != "" {
		note(cmd.fromPlatform(&status))
	}
	for _, o := range cmd.Operators {
		note(cmd.fromOperator(&status, o))
	}
	for i := range status.Processes {
		p := &status.Processes[i]
		p.Current = status.inForce(*p)
	}
	slices.SortStableFunc(status.Processes, func(a, b Process) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.ID, b.ID), strings.Compare(a.Source, b.Source))
	})
	if err := cmd.client.print(status, status.writeText); err != nil {
		return err
	}
	return first
}

// inForce reports whether p runs with the stored configuration. It compares
// digests if p reports one: after a deletion no stored object has the newest
// version, so revisions alone don't tell.
func (s Status) inForce(p Process) bool {
	if s.Digest == "" {
		return false
	}
	if p.Digest != "" {
		return p.Digest == s.Digest
	}
	return p.Revision >= s.Configuration
}

func (cmd *statusCommand) fromPlatform(status *Status) error {
	store, err := cmd.client.store()
	if err != nil {
		return err
	}
	configuration, err := store.List(cmd.client.ctx, "")
	if err != nil {
		return eris.Wrap(err, "reading the configuration")
	}
	for _, o := range configuration.Objects {
		status.Configuration = max(status.Configuration, o.Version)
	}
	stored := config.NewStore(nil)
	stored.Apply(configuration.Objects, configuration.Revision, true)
	status.Digest = json.Number(strconv.FormatUint(stored.Digest(), 10))
	listing, err := store.List(cmd.client.ctx, object.KindStatus)
	if err != nil {
		return eris.Wrap(err, "reading the status")
	}
	for _, o := range listing.Objects {
		if err := addStatus(status, o); err != nil {
			return err
		}
	}
	return nil
}

func addStatus(status *Status, o platform.Object) error {
	if o.Deleted {
		return nil
	}
	var spec statusSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		return eris.Wrapf(errInvalid, "status/%s: %v", o.Name, err)
	}
	for _, p := range spec.Processes {
		p.Source = "status/" + o.Name
		p.AgeSeconds = age(spec.Time)
		status.Processes = append(status.Processes, p)
	}
	return nil
}

// age returns the seconds since t, or 0 if t is missing or ahead of the local
// clock.
func age(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(0, time.Since(t)).Seconds())
}

func (cmd *statusCommand) fromOperator(status *Status, address string) error {
	answer, err := cmd.client.fetch(address, pathStatus, nil)
	if err != nil {
		return err
	}
	var p Process
	if err := json.Unmarshal(answer, &p); err != nil {
		return eris.Wrapf(errInvalid, "%s%s: %v", address, pathStatus, err)
	}
	p.Source = address
	status.Processes = append(status.Processes, p)
	return nil
}

func (s Status) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "stored configuration: version %d\n", s.Configuration)                                               //nolint:errcheck // reported by Flush
	fmt.Fprintln(table, "ROLE\tID\tAVAILABILITY ZONE\tREVISION\tCURRENT\tDIGEST\tINCARNATION\tUPTIME (s)\tAGE (s)\tSOURCE") //nolint:errcheck // reported by Flush
	for _, p := range s.Processes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%s\t%s\t%d\t%d\t%s\n", //nolint:errcheck // reported by Flush
			p.Role, p.ID, p.AvailabilityZone, p.Revision, p.Current, p.Digest, p.Incarnation, p.UptimeSeconds, p.AgeSeconds, p.Source)
	}
	return table.Flush()
}
