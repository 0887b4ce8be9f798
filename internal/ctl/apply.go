package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/wait"
)

// Action is what apply did, or what diff predicts it would do, with one object.
type Action string

// Actions.
const (
	Created   Action = "created"
	Updated   Action = "updated"
	Unchanged Action = "unchanged"
	Deleted   Action = "deleted"
	// Conflicted: not written, because another writer changed the object first.
	Conflicted Action = "conflict"
	// Unclear: it is unknown whether the write took effect.
	Unclear Action = "unclear"
	// Failed: not written.
	Failed Action = "failed"
	// NotTried: not written, because another object failed or conflicts.
	NotTried Action = "not-tried"
)

// Outcome is the result for one object.
type Outcome struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action Action `json:"action"`
	// Version is the stored version, as far as known.
	Version uint64 `json:"version,omitempty"`
	// Changes lists the differences from the stored to the wanted spec. In a
	// conflict they weren't written.
	Changes []Change `json:"changes,omitempty"`
	// Theirs lists, in a conflict, what the other writer changed since the
	// version that our change is based on, as far as known.
	Theirs []Change `json:"theirs,omitempty"`
	Error  string   `json:"error,omitempty"`

	err error
}

// plan is a declared object together with the stored one.
type plan struct {
	want declared
	// have is the stored object. Its Version is 0 if none is stored.
	have platform.Object
}

func (p plan) changes() []Change { return difference(p.want.Kind, p.have.Spec, p.want.Spec) }

// makePlans reads the stored objects with one list call.
func makePlans(ctx context.Context, store platform.Store, wanted []declared) ([]plan, error) {
	listing, err := store.List(ctx, "")
	if err != nil {
		return nil, eris.Wrap(err, "reading the configuration")
	}
	stored := make(map[string]platform.Object, len(listing.Objects))
	for _, o := range listing.Objects {
		if !o.Deleted {
			stored[o.Kind+"/"+o.Name] = o
		}
	}
	plans := make([]plan, len(wanted))
	for i, d := range wanted {
		plans[i] = plan{want: d, have: stored[d.id()]}
	}
	return plans, nil
}

// preview returns the expected outcome of applying p, without writing.
func (p plan) preview() Outcome {
	o := Outcome{Kind: p.want.Kind, Name: p.want.Name, Version: p.have.Version, Changes: p.changes()}
	switch {
	case p.have.Version != 0 && len(o.Changes) == 0:
		o.Action = Unchanged
	case p.want.Version != 0 && p.want.Version != p.have.Version:
		o.Action = Conflicted
		o.err = eris.Wrapf(errConflict, "%s was made on version %d, stored is version %d",
			p.want.id(), p.want.Version, p.have.Version)
		o.Error = o.err.Error()
	case p.have.Version == 0:
		o.Action = Created
	default:
		o.Action = Updated
	}
	return o
}

// apply writes the plans in order and stops at the first failure. If any
// conflict is detected in advance, it writes nothing.
func (c *client) apply(store platform.Store, plans []plan) ([]Outcome, error) {
	outcomes := make([]Outcome, len(plans))
	var err error
	for i, p := range plans {
		outcomes[i] = p.preview()
		if err == nil {
			err = outcomes[i].err
		}
	}
	for i, p := range plans {
		wanted := outcomes[i].Action == Created || outcomes[i].Action == Updated
		switch {
		case !wanted:
		case err != nil:
			outcomes[i].Action = NotTried
		default:
			outcomes[i] = c.write(store, p, outcomes[i])
			err = outcomes[i].err
		}
	}
	return outcomes, err
}

// write puts one object, provided that the version read before is still stored.
func (c *client) write(store platform.Store, p plan, o Outcome) Outcome {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.Settle)
	defer cancel()
	version, err := platform.PutWithReadBack(ctx, store, p.want.stored(p.have.Version, platform.NewOperation()))
	if err == nil {
		o.Version = version
		return o
	}
	o.err = eris.Wrap(err, p.want.id())
	o.Error = o.err.Error()
	switch {
	case errors.Is(err, platform.ErrSuperseded):
		o = explainConflict(ctx, store, p, o)
		o.Action = Unclear
	case errors.Is(err, platform.ErrOutcomeUnknown):
		o.Action = Unclear
	case errors.Is(err, platform.ErrConflict):
		o = explainConflict(ctx, store, p, o)
	default:
		o.Action = Failed
	}
	return o
}

// explainConflict reads the spec that the other writer stored and adds the
// differences to the outcome, so that the operator can resolve the conflict. It
// writes nothing, because a merge would be a guess. While the platform is
// unavailable the read is retried until ctx ends.
func explainConflict(ctx context.Context, store platform.Store, p plan, o Outcome) Outcome {
	o.Action = Conflicted
	now, err := store.Get(ctx, p.want.Kind, p.want.Name)
	for errors.Is(err, platform.ErrUnavailable) && wait.Sleep(ctx, readRetryDelay) {
		now, err = store.Get(ctx, p.want.Kind, p.want.Name)
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		now = platform.Object{}
	case err != nil:
		o.Error += fmt.Sprintf("; what is stored can't be read: %v", err)
		return o
	}
	o.Version = now.Version
	o.Theirs = difference(p.want.Kind, p.have.Spec, now.Spec)
	o.Changes = difference(p.want.Kind, now.Spec, p.want.Spec)
	return o
}

func (c *client) printOutcomes(outcomes []Outcome) error {
	return c.print(outcomes, func(w io.Writer) error {
		for _, o := range outcomes {
			if err := writeOutcome(w, o); err != nil {
				return err
			}
		}
		return nil
	})
}

func writeOutcome(w io.Writer, o Outcome) error {
	_, err := fmt.Fprintf(w, "%s %s/%s", o.Action, o.Kind, o.Name)
	if err != nil {
		return err
	}
	if o.Version != 0 {
		fmt.Fprintf(w, " version %d", o.Version) //nolint:errcheck // reported by the last write
	}
	if o.Error != "" {
		fmt.Fprintf(w, ": %s", o.Error) //nolint:errcheck // reported by the last write
	}
	if len(o.Theirs) > 0 {
		fmt.Fprint(w, "\n  changed by somebody else:\n") //nolint:errcheck // reported by the last write
		writeChanges(w, "    ", o.Theirs)
		fmt.Fprint(w, "  from what is stored to yours, not written:") //nolint:errcheck // reported by the last write
	}
	_, err = fmt.Fprintln(w)
	writeChanges(w, "    ", o.Changes)
	return err
}

type checkCommand struct{ client *client }

// Execute validates the given files.
func (cmd *checkCommand) Execute(args []string) error {
	list, err := readFiles(args)
	if err != nil {
		return err
	}
	result := struct {
		Objects int `json:"objects"`
	}{len(list)}
	return cmd.client.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%d objects, all valid\n", len(list))
		return err
	})
}

type diffCommand struct{ client *client }

// Execute shows what apply would do.
func (cmd *diffCommand) Execute(args []string) error {
	plans, _, err := cmd.client.plansOf(args)
	if err != nil {
		return err
	}
	outcomes := make([]Outcome, len(plans))
	var first error
	for i, p := range plans {
		outcomes[i] = p.preview()
		if first == nil {
			first = outcomes[i].err
		}
	}
	if err := cmd.client.printOutcomes(outcomes); err != nil {
		return err
	}
	return first
}

type applyCommand struct{ client *client }

// Execute writes the objects of the given files.
func (cmd *applyCommand) Execute(args []string) error {
	plans, store, err := cmd.client.plansOf(args)
	if err != nil {
		return err
	}
	return cmd.client.applyAndPrint(store, plans)
}

func (c *client) applyAndPrint(store platform.Store, plans []plan) error {
	outcomes, err := c.apply(store, plans)
	if printErr := c.printOutcomes(outcomes); err == nil {
		err = printErr
	}
	return err
}

func (c *client) plansOf(files []string) ([]plan, platform.Store, error) {
	wanted, err := readFiles(files)
	if err != nil {
		return nil, nil, err
	}
	store, err := c.store()
	if err != nil {
		return nil, nil, err
	}
	plans, err := makePlans(c.ctx, store, wanted)
	return plans, store, err
}

// rawSpec marshals a typed spec that this package built.
func rawSpec(spec any) (json.RawMessage, error) {
	text, err := json.Marshal(spec)
	return text, eris.Wrap(err, "spec")
}
