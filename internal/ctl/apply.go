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

// Action says what apply did, or diff would do, with one object.
type Action string

// Actions.
const (
	Created   Action = "created"
	Updated   Action = "updated"
	Unchanged Action = "unchanged"
	Deleted   Action = "deleted"
	// Conflicted: somebody else changed the object first; not written.
	Conflicted Action = "conflict"
	// Unclear: it isn't known whether the write took effect.
	Unclear Action = "unclear"
	// Failed: not written.
	Failed Action = "failed"
	// NotTried: an earlier object failed; not written.
	NotTried Action = "not-tried"
)

// Outcome is the result of one object.
type Outcome struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action Action `json:"action"`
	// Version that is stored as far as known.
	Version uint64 `json:"version,omitempty"`
	// Changes that were, or with a conflict weren't, written: from what is
	// stored to what was wanted.
	Changes []Change `json:"changes,omitempty"`
	// Theirs is set with a conflict: what the other writer changed since the
	// version on which ours was made, as far as that is known.
	Theirs []Change `json:"theirs,omitempty"`
	Error  string   `json:"error,omitempty"`

	err error
}

// plan is a declared object beside what is stored.
type plan struct {
	want declared
	// have is the stored object; its Version is 0 if there is none.
	have platform.Object
}

func (p plan) changes() []Change { return difference(p.want.Kind, p.have.Spec, p.want.Spec) }

// makePlans reads what is stored, in one list call.
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

// foresee returns what applying p will do, without writing.
func (p plan) foresee() Outcome {
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

// apply writes the plans in order and stops at the first that can't be
// written. A conflict that shows beforehand stops all.
func (c *client) apply(store platform.Store, plans []plan) ([]Outcome, error) {
	outcomes := make([]Outcome, len(plans))
	var err error
	for i, p := range plans {
		outcomes[i] = p.foresee()
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

// write puts one object on the version that was read.
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

// explainConflict reads what the winner of a race wrote, so that the loser can
// tell what to do. Nothing is written: a merge would be a guess. An outage that
// begins between the conflict and the reading would leave the loser without the
// other's change, so that it is read again until ctx ends.
func explainConflict(ctx context.Context, store platform.Store, p plan, o Outcome) Outcome {
	o.Action = Conflicted
	now, err := store.Get(ctx, p.want.Kind, p.want.Name)
	for errors.Is(err, platform.ErrUnavailable) && wait.Sleep(ctx, readPause) {
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
		fmt.Fprintf(w, " version %d", o.Version) //nolint:errcheck // told by the last write
	}
	if o.Error != "" {
		fmt.Fprintf(w, ": %s", o.Error) //nolint:errcheck // told by the last write
	}
	if len(o.Theirs) > 0 {
		fmt.Fprint(w, "\n  changed by somebody else:\n") //nolint:errcheck // told by the last write
		writeChanges(w, "    ", o.Theirs)
		fmt.Fprint(w, "  from what is stored to yours, not written:") //nolint:errcheck // told by the last write
	}
	_, err = fmt.Fprintln(w)
	writeChanges(w, "    ", o.Changes)
	return err
}

type checkCommand struct{ client *client }

// Execute checks the files given.
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

// Execute shows what apply would do now.
func (cmd *diffCommand) Execute(args []string) error {
	plans, _, err := cmd.client.plansOf(args)
	if err != nil {
		return err
	}
	outcomes := make([]Outcome, len(plans))
	var first error
	for i, p := range plans {
		outcomes[i] = p.foresee()
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

// Execute writes the objects of the files given.
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

// rawSpec marshals a typed spec of this package's own making.
func rawSpec(spec any) (json.RawMessage, error) {
	text, err := json.Marshal(spec)
	return text, eris.Wrap(err, "spec")
}
