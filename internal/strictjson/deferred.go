package strictjson

import (
	"encoding/json"

	"github.com/tailscale/hujson"
)

// Deferred is a value whose type isn't known until its neighbours have been
// read. Document.Resolve reads it.
type Deferred struct {
	key   string
	value hujson.Value
}

// IsSet reports whether the file has the value.
func (v Deferred) IsSet() bool { return v.value.Value != nil }

// JSON returns the value as standard JSON without comments.
func (v Deferred) JSON() json.RawMessage { return standard(v.value) }

// Resolve reads v into what into points to. Problems go to the document.
func (d *Document) Resolve(v Deferred, into any) { d.decode(v.key, v.value, into) }
