// Package object defines the kinds of objects in the platform's store and
// validates their specs. All are JSON with a format version.
package object

// Kinds of object. Server, Pool, Selector, Intent and Organisation are the
// configuration; the others are written by the system itself.
const (
	KindServer       = "server"
	KindPool         = "pool"
	KindSelector     = "selector"
	KindIntent       = "intent"
	KindOrganisation = "organisation"
	KindLease        = "lease"
	KindStatus       = "status"
	KindConviction   = "conviction"
	KindClaims       = "claims"
)

// Format is the format version that this code reads and writes.
const Format = 1

// Label keys that routing interprets. Operators may use any others.
const (
	LabelModel   = "model"
	LabelVersion = "version"
	// LabelRole is RolePrefill, RoleDecode or RoleService.
	LabelRole  = "role"
	LabelGroup = "group"
)

// Values of LabelRole.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleService = "service"
)

// Server holds the labels of a backend server. The object's name is the instance
// ID of the server's agent.
type Server struct {
	Format int               `json:"format"`
	Labels map[string]string `json:"labels"`
}

// Pool is a declared set of backend servers: either a model with prefill and
// decode engines, or a plain service.
type Pool struct {
	Format int `json:"format"`
	// Model is the name that callers request; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Prefill and Decode select engines by labels, all of which must match.
	Prefill map[string]string `json:"prefill,omitempty"`
	Decode  map[string]string `json:"decode,omitempty"`
	// Service selects the servers of a plain service.
	Service map[string]string `json:"service,omitempty"`
}

// Match restricts the requests that a selector applies to. An empty list matches
// all requests.
type Match struct {
	Models        []string `json:"models,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
	// Priorities are "interactive" and "batch".
	Priorities        []string `json:"priorities,omitempty"`
	Methods           []string `json:"methods,omitempty"`
	PathPrefixes      []string `json:"pathPrefixes,omitempty"`
	AvailabilityZones []string `json:"availabilityZones,omitempty"`
	// Groups are values of the caller's Jayford-Group header.
	Groups []string `json:"groups,omitempty"`
}

// Target is a pool with its share of the selector's requests.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Selector routes matching requests to pools and may set their priority.
type Selector struct {
	Format int `json:"format"`
	// Order ranks the selectors: the matching one with the lowest order applies,
	// and ties are broken by name.
	Order int   `json:"order"`
	Match Match `json:"match"`
	// Targets receive the requests in proportion to their weights, for example
	// for a canary.
	Targets []Target `json:"targets"`
	// Priority overrides the caller's: "interactive", "batch" or "".
	Priority string `json:"priority,omitempty"`
}

// Intent is the state of a server or pool that operators want.
type Intent struct {
	Format int `json:"format"`
	// Server names the server that Drain applies to. A draining server takes no
	// new work.
	Server string `json:"server,omitempty"`
	Drain  bool   `json:"drain,omitempty"`
	// Pool names the pool that the fields below apply to. MinPrefill and MinDecode
	// are its minimum numbers of engines by role; the capacity controller moves
	// towards them within its bounds.
	Pool       string `json:"pool,omitempty"`
	MinPrefill int    `json:"minPrefill,omitempty"`
	MinDecode  int    `json:"minDecode,omitempty"`
	// Version that the pool's engines should serve.
	Version string `json:"version,omitempty"`
}

// Organisation declares an organisation's share of capacity.
type Organisation struct {
	Format int `json:"format"`
	// Share is a weight relative to those of the other organisations.
	Share float64 `json:"share"`
}
