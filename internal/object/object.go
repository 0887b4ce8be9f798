// Package object defines the kinds of configuration object that operators
// write, with a checked schema for each. All are JSON with a format version.
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

// Label keys with a meaning for routing. Others are free for operators.
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

// Server holds the labels of a backend server. Its name is the instance id of
// the server's agent.
type Server struct {
	Format int               `json:"format"`
	Labels map[string]string `json:"labels"`
}

// Pool is a declared set of backend servers: either a model with prefill and
// decode engines, or a plain service.
type Pool struct {
	Format int `json:"format"`
	// Model that callers name in the request; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Prefill and Decode select engines by labels; all given must match.
	Prefill map[string]string `json:"prefill,omitempty"`
	Decode  map[string]string `json:"decode,omitempty"`
	// Service selects the servers of a plain service.
	Service map[string]string `json:"service,omitempty"`
}

// Match says which requests a selector takes. An empty list takes all.
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

// Selector says which requests may land where, with what priority.
type Selector struct {
	Format int `json:"format"`
	// Order: the lowest order that matches decides; ties go by name.
	Order int   `json:"order"`
	Match Match `json:"match"`
	// Targets share the requests by weight (canary).
	Targets []Target `json:"targets"`
	// Priority overrides the caller's: "interactive", "batch" or "".
	Priority string `json:"priority,omitempty"`
}

// Intent is what operators want of a server or pool.
type Intent struct {
	Format int `json:"format"`
	// Drain: the server named by Server takes no new work.
	Server string `json:"server,omitempty"`
	Drain  bool   `json:"drain,omitempty"`
	// Pool's wanted engines by role; the capacity controller moves towards it
	// within the bounds.
	Pool       string `json:"pool,omitempty"`
	MinPrefill int    `json:"minPrefill,omitempty"`
	MinDecode  int    `json:"minDecode,omitempty"`
	// Version to be served by the pool's engines.
	Version string `json:"version,omitempty"`
}

// Organisation declares an organisation's share of capacity.
type Organisation struct {
	Format int `json:"format"`
	// Share is a weight against the other organisations' weights.
	Share float64 `json:"share"`
}
