package strictjson

import (
	"encoding/json"

	"github.com/tailscale/hujson"
)

// Deferred holds a value whose type depends on other fields, to be decoded later
// by Document.Resolve.
type Deferred struct {
	key   string
	value hujson.Value
}

// IsSet reports whether the value is present in the file.
func (v Deferred) IsSet() bool { return v.value.Value != nil }

// JSON returns the value as standard JSON without comments.
func (v Deferred) JSON() json.RawMessage { return standardJSON(v.value) }

// Resolve decodes v into the value that into points to. Problems are added to
// the document.
func (d *Document) Resolve(v Deferred, into any) { d.decode(v.key, v.value, into) }
