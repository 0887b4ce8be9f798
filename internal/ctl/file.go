package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/strictjson"
)

const (
	maxFileBytes = 64 << 20
	maxSpecBytes = 1 << 20
)

// writableKinds are the kinds that operators write, in the order in which apply
// writes them: kinds that others refer to come first.
var writableKinds = []string{
	object.KindServer, object.KindOrganisation, object.KindPool, object.KindSelector, object.KindIntent,
}

// fileObject is one object of a configuration file.
type fileObject struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the version that the change is based on, as printed by get; 0
	// stands for the version that is stored when apply begins.
	Version uint64              `json:"version,omitempty"`
	Spec    strictjson.Deferred `json:"spec"`
}

// declared is an object declared in a configuration file.
type declared struct {
	Kind    string
	Name    string
	Version uint64
	Spec    json.RawMessage
	// place is the "FILE:LINE" of the declaration.
	place string
}

func (d declared) id() string { return d.Kind + "/" + d.Name }

// readFiles reads and validates configuration files. The error lists the
// problems of all files.
func readFiles(paths []string) ([]declared, error) {
	if len(paths) == 0 {
		return nil, eris.Wrap(errUsage, "expected FILE...")
	}
	var all []declared
	var problems strictjson.Problems
	seen := map[string]string{}
	for _, p := range paths {
		text, err := readFile(p)
		if err != nil {
			return nil, err
		}
		list, found := parseFile(p, text, seen)
		all = append(all, list...)
		problems = append(problems, found...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	slices.SortStableFunc(all, func(a, b declared) int {
		return cmp.Compare(slices.Index(writableKinds, a.Kind), slices.Index(writableKinds, b.Kind))
	})
	return all, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "configuration file")
	}
	if info.Size() > maxFileBytes {
		return nil, eris.Wrapf(errInvalid, "%s: over %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return text, eris.Wrap(err, "configuration file")
}

// parseFile parses one file, a list of objects. It looks up duplicates in seen,
// which maps the objects of all files to their places, and adds to it.
func parseFile(path string, text []byte, seen map[string]string) ([]declared, strictjson.Problems) {
	var list []fileObject
	d := strictjson.Parse(path, text, &list)
	out := make([]declared, 0, len(list))
	for i, f := range list {
		key := fmt.Sprintf("[%d]", i)
		checkObject(d, key, f)
		o := declared{Kind: f.Kind, Name: f.Name, Version: f.Version}
		o.place = fmt.Sprintf("%s:%d", path, d.Line(key))
		if f.Spec.IsSet() {
			o.Spec = f.Spec.JSON()
		}
		if first, twice := seen[o.id()]; twice {
			d.Reject(key+".name", "expected a name that isn't declared at %s already", first)
		}
		seen[o.id()] = o.place
		out = append(out, o)
	}
	if err := d.Err(); err != nil {
		return nil, err.(strictjson.Problems) //nolint:errorlint // Err returns no other type
	}
	return out, nil
}

func checkObject(d *strictjson.Document, key string, f fileObject) {
	if err := object.CheckName(f.Name); err != nil {
		d.Reject(key+".name", "expected 1 to 128 of A-Z a-z 0-9 . _ - that begin and end with a letter or digit")
	}
	d.OneOf(key+".kind", f.Kind, writableKinds...)
	if !f.Spec.IsSet() {
		d.Reject(key+".spec", "expected an object")
		return
	}
	typed := newSpec(f.Kind)
	if typed == nil {
		return
	}
	spec := f.Spec.JSON()
	if len(spec) > maxSpecBytes {
		d.Reject(key+".spec", "expected at most %d bytes", maxSpecBytes)
		return
	}
	// Resolve reports wrong keys and types with their lines; object.Parse then
	// checks against the schema.
	d.Resolve(f.Spec, typed)
	if _, err := object.Parse(f.Kind, spec); err != nil {
		rejectSpec(d, key+".spec", f.Kind, err)
	}
}

func newSpec(kind string) any {
	switch kind {
	case object.KindServer:
		return new(object.Server)
	case object.KindPool:
		return new(object.Pool)
	case object.KindSelector:
		return new(object.Selector)
	case object.KindIntent:
		return new(object.Intent)
	case object.KindOrganisation:
		return new(object.Organisation)
	default:
		return nil
	}
}

// rejectSpec adds a schema error to d. The error begins with the kind, mostly
// followed by a field, whose line is then reported.
func rejectSpec(d *strictjson.Document, key, kind string, err error) {
	text := strings.TrimPrefix(err.Error(), kind+": ")
	field, rest, found := strings.Cut(text, ": ")
	if !found || strings.Contains(field, " ") {
		d.Reject(key, "%s", text)
		return
	}
	// Resolve has already reported the fault at which the decoder stopped.
	if field == "spec" {
		if !d.RejectedWithin(key) {
			d.Reject(key, "%s", rest)
		}
		return
	}
	d.Reject(key+"."+field, "%s", rest)
}

// stored returns the object to put in place of the given version.
func (d declared) stored(version uint64, operation string) platform.Object {
	return platform.Object{Kind: d.Kind, Name: d.Name, Version: version, Operation: operation, Spec: d.Spec}
}
