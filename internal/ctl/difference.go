package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"jayford.example/jayford/internal/object"
)

// Change is one value that differs between two states of an object.
type Change struct {
	// Path is the value's place in the spec, such as "labels.role" or
	// "targets[0].pool".
	Path string `json:"path"`
	// Old and New are JSON texts, or "" for a missing value.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// difference returns the changes from one spec to the other, sorted by path.
// Differences in formatting alone are ignored.
func difference(kind string, from, to json.RawMessage) []Change {
	before, after := leaves(kind, from), leaves(kind, to)
	var list []Change
	for path, old := range before {
		if after[path] != old {
			list = append(list, Change{Path: path, Old: old, New: after[path]})
		}
	}
	for path, value := range after {
		if _, known := before[path]; !known {
			list = append(list, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(list, func(a, b Change) int {
		if a.Path < b.Path {
			return -1
		}
		return 1
	})
	return list
}

// leaves returns the JSON text of each scalar value of a spec by path.
func leaves(kind string, spec json.RawMessage) map[string]string {
	out := map[string]string{}
	if len(spec) == 0 {
		return out
	}
	if typed, err := object.Parse(kind, spec); err == nil {
		// Marshalling the typed value normalises the spec.
		if text, err := json.Marshal(typed); err == nil {
			spec = text
		}
	}
	var value any
	if err := json.Unmarshal(spec, &value); err != nil {
		out[""] = string(spec)
		return out
	}
	addLeaves(out, "", value)
	return out
}

func addLeaves(out map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for k, inner := range v {
			if path != "" {
				k = path + "." + k
			}
			addLeaves(out, k, inner)
		}
	case []any:
		for i, inner := range v {
			addLeaves(out, fmt.Sprintf("%s[%d]", path, i), inner)
		}
	default:
		text, _ := json.Marshal(v) // came from JSON
		out[path] = string(text)
	}
}

func writeChanges(w io.Writer, indent string, changes []Change) {
	for _, c := range changes {
		if c.Old != "" {
			fmt.Fprintf(w, "%s- %s: %s\n", indent, c.Path, c.Old) //nolint:errcheck // reported by the caller's last write
		}
		if c.New != "" {
			fmt.Fprintf(w, "%s+ %s: %s\n", indent, c.Path, c.New) //nolint:errcheck // reported by the caller's last write
		}
	}
}
