// Package catalog defines a gateway's configuration: the routes and services that
// operators declared, and the backend servers that are registered.
//
// A Config is immutable. Within a process its version only rises, so that a delayed
// update can't restore a configuration that was replaced.
package catalog

import (
	"strings"
	"time"
)

// Kind says whether the requests of a route may be repeated.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered with a stream of events. They run at most
	// once unless Route.Resume is set.
	Streaming
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non-idempotent"
}

// Target is a service of a route, with its weight.
type Target struct {
	Service string
	Weight  float64
}

// Route maps the requests of a host and path to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time until a request's final answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event, within
	// which the answer has its full value; MaxEventGap is the longest pause between
	// events with which it still does.
	LatencyObjective, MaxEventGap time.Duration
	// Priority orders requests; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the servers that may run one request.
	MaxAttempts int
	// Resume: a broken stream may continue at another server after its last event.
	Resume bool
	// Open: requests need no key. A key that one presents is ignored.
	Open bool
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resume
}

// Engine holds the parameters of a service whose servers are model engines.
type Engine struct {
	// Slots bounds the requests that one server decodes at once.
	Slots int
	// KVTokens is the size of one server's KV cache, in tokens.
	KVTokens int
	// EventTokens is how many tokens one event of a stream carries, 0 if unknown.
	EventTokens int
	// PrefillResultTTL is how long a prefill's result is kept until it is fetched.
	PrefillResultTTL time.Duration
	// SwitchTime is how long a server is unavailable while it changes its stage.
	SwitchTime time.Duration
	// ReservationTTL is the longest time that a reservation lasts.
	ReservationTTL time.Duration
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds one server's connections from all callers together.
	MaxConnections int
	// HealthPath is the path that answers 200 while a server considers itself healthy.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
}

// Config is a complete configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations is nil if requests need no keys.
	Organisations *Organisations
}

// Match returns the route of a host and path: among the routes of the host the
// one with the longest prefix of the path. It returns nil if there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// Stage is the part of a generation that an engine runs.
type Stage int

// The stages.
const (
	// NoStage is the stage of a plain service's servers.
	NoStage Stage = iota
	Prefill
	Decode
)

// String returns the stage's name.
func (s Stage) String() string {
	switch s {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	}
	return "none"
}

// Server is one backend server as it reported itself.
type Server struct {
	// ID is unique among the servers that exist at the same time.
	ID string
	// Incarnation distinguishes the starts of a server under the same ID: it is
	// the Unix millisecond of the start, 0 if unknown.
	Incarnation int64
	Service     string
	// Address is "ip:port".
	Address          string
	AvailabilityZone string
	Slots            int
	Stage            Stage
	// Software is the version of the server's software, not of the weights that it serves;
	// "" if it doesn't say.
	Software string
	// Leaving: the server is draining. It finishes its requests and gets no new ones.
	Leaving bool
}
