package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/wait"
)

type getCommand struct {
	client *client
	Args   struct {
		Kind string `positional-arg-name:"KIND" description:"kind of object; default: the whole configuration"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// printedObject is an object in the format of a configuration file. Apply takes
// its version as the one that the change is based on.
type printedObject struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// Execute prints objects as a configuration file, whatever the output format.
func (cmd *getCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	store, err := cmd.client.store()
	if err != nil {
		return err
	}
	objects, err := cmd.read(store)
	if err != nil {
		return eris.Wrapf(err, "get %s %s", cmd.Args.Kind, cmd.Args.Name)
	}
	list := make([]printedObject, 0, len(objects))
	for _, o := range objects {
		// The whole configuration is printed to be edited and applied again, so
		// it contains only kinds that apply accepts.
		skip := o.Deleted || cmd.Args.Kind == "" && !slices.Contains(writableKinds, o.Kind)
		if !skip {
			list = append(list, printedObject{o.Kind, o.Name, o.Version, o.Spec})
		}
	}
	cmd.client.options.Output = outputJSON
	return cmd.client.print(list, nil)
}

func (cmd *getCommand) read(store platform.Store) ([]platform.Object, error) {
	if cmd.Args.Name == "" {
		listing, err := store.List(cmd.client.ctx, cmd.Args.Kind)
		return listing.Objects, err
	}
	o, err := store.Get(cmd.client.ctx, cmd.Args.Kind, cmd.Args.Name)
	return []platform.Object{o}, err
}

// readOne reads an object into a plan without a wanted spec. The stored object
// has Version 0 if it doesn't exist.
func (c *client) readOne(store platform.Store, kind, name string) (plan, error) {
	if err := object.CheckName(name); err != nil {
		return plan{}, eris.Wrap(errInvalid, err.Error())
	}
	have, err := store.Get(c.ctx, kind, name)
	if errors.Is(err, platform.ErrNotFound) {
		have, err = platform.Object{}, nil
	}
	return plan{want: declared{Kind: kind, Name: name}, have: have}, eris.Wrapf(err, "get %s/%s", kind, name)
}

// applySpec writes a spec that the client built over the object read into p.
func (c *client) applySpec(store platform.Store, p plan, spec any) error {
	text, err := rawSpec(spec)
	if err != nil {
		return err
	}
	if _, err := object.Parse(p.want.Kind, text); err != nil {
		return eris.Wrap(errInvalid, err.Error())
	}
	p.want.Spec = text
	return c.applyAndPrint(store, []plan{p})
}

type labelCommand struct {
	client *client
	Args   struct {
		Server string   `positional-arg-name:"SERVER" required:"yes" description:"instance id of the server's agent"`
		Labels []string `positional-arg-name:"KEY=VALUE|KEY-" required:"1" description:"label to set or remove"`
	} `positional-args:"yes"`
}

// Execute changes the given labels and keeps all others.
func (cmd *labelCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	store, err := cmd.client.store()
	if err != nil {
		return err
	}
	p, err := cmd.client.readOne(store, object.KindServer, cmd.Args.Server)
	if err != nil {
		return err
	}
	server := object.Server{Format: object.Format}
	if p.have.Version != 0 {
		if err := json.Unmarshal(p.have.Spec, &server); err != nil {
			return eris.Wrapf(errInvalid, "stored object %s: %v", p.want.id(), err)
		}
	}
	server.Labels, err = changeLabels(server.Labels, cmd.Args.Labels)
	if err != nil {
		return err
	}
	return cmd.client.applySpec(store, p, server)
}

func changeLabels(labels map[string]string, changes []string) (map[string]string, error) {
	out := maps.Clone(labels)
	if out == nil {
		out = map[string]string{}
	}
	for _, c := range changes {
		key, value, set := strings.Cut(c, "=")
		removed, remove := strings.CutSuffix(c, "-")
		switch {
		case set && key != "":
			out[key] = value
		case remove && removed != "":
			delete(out, removed)
		default:
			return nil, eris.Wrapf(errUsage, "%q: expected KEY=VALUE or KEY-", c)
		}
	}
	return out, nil
}

type drainCommand struct {
	client *client
	Undo   bool `long:"undo" description:"let the server get new requests again"`
	Args   struct {
		Server string `positional-arg-name:"SERVER" required:"yes" description:"instance id of the server's agent"`
	} `positional-args:"yes"`
}

// drainPrefix is the name prefix of the intents that drain writes.
const drainPrefix = "drain-"

// Execute writes the drain intent of the server, or reverts it.
func (cmd *drainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	store, err := cmd.client.store()
	if err != nil {
		return err
	}
	p, err := cmd.client.readOne(store, object.KindIntent, drainPrefix+cmd.Args.Server)
	if err != nil {
		return err
	}
	spec := object.Intent{Format: object.Format, Server: cmd.Args.Server, Drain: !cmd.Undo}
	return cmd.client.applySpec(store, p, spec)
}

type deleteCommand struct {
	client  *client
	Version uint64 `long:"version" description:"delete only this version; default: the one that is stored"`
	Args    struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute deletes one object of the configuration.
func (cmd *deleteCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if !slices.Contains(object.ConfigurationKinds(), cmd.Args.Kind) {
		return eris.Wrapf(errUsage, "kind %q isn't one of %s", cmd.Args.Kind, strings.Join(object.ConfigurationKinds(), ", "))
	}
	store, err := cmd.client.store()
	if err != nil {
		return err
	}
	have, err := store.Get(cmd.client.ctx, cmd.Args.Kind, cmd.Args.Name)
	if err != nil {
		return eris.Wrapf(err, "get %s/%s", cmd.Args.Kind, cmd.Args.Name)
	}
	o := cmd.client.remove(store, have, cmd.Version)
	if err := cmd.client.printOutcomes([]Outcome{o}); err != nil {
		return err
	}
	return o.err
}

// remove deletes an object, provided that the given version is still stored. If
// version is 0, this is the version that was read.
func (c *client) remove(store platform.Store, have platform.Object, version uint64) Outcome {
	if version == 0 {
		version = have.Version
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.options.Settle)
	defer cancel()
	o := Outcome{Kind: have.Kind, Name: have.Name, Version: have.Version, Action: Deleted}
	err := deleteSettled(ctx, store, have.Kind, have.Name, version)
	if err == nil {
		return o
	}
	o.err = eris.Wrapf(err, "delete %s/%s", have.Kind, have.Name)
	o.Error = o.err.Error()
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		o.Action = Unclear
	case errors.Is(err, platform.ErrConflict):
		wanted := declared{Kind: have.Kind, Name: have.Name}
		o = explainConflict(ctx, store, plan{want: wanted, have: have}, o)
	default:
		o.Action = Failed
	}
	return o
}

// readRetryDelay is the pause before a read is retried.
const readRetryDelay = 100 * time.Millisecond

// deleteSettled deletes an object and, if the reply is lost, reads back and
// retries until ctx ends. A retry is safe because it names the version: it can't
// delete a later object of the same name.
func deleteSettled(ctx context.Context, store platform.Store, kind, name string, version uint64) error {
	err := store.Delete(ctx, kind, name, version)
	for errors.Is(err, platform.ErrOutcomeUnknown) {
		if !wait.Sleep(ctx, readRetryDelay) {
			return err
		}
		have, readErr := store.Get(ctx, kind, name)
		switch {
		case errors.Is(readErr, platform.ErrNotFound):
			return nil
		case readErr != nil:
			continue
		case have.Version != version:
			// The object has been written since. Its writer may have replaced
			// our version or created the object after our delete, so the
			// outcome stays unclear.
			return err
		}
		if repeated := store.Delete(ctx, kind, name, version); repeated == nil {
			return nil
		}
	}
	return err
}
