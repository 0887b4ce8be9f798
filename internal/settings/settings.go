// Package settings defines the static settings of each role. They are read once
// at start from a file of JSON with comments, and checked strictly.
//
// Durations are JSON strings in Go's notation ("250ms"); sizes are bytes.
package settings

import "time"

// Duration is a time.Duration that is written as a string in JSON.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Process holds what each role needs.
type Process struct {
	// ID is the instance id in the platform's list.
	ID               string `json:"id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Peer is the "ip:port" of the gRPC listener for our own processes.
	Peer string `json:"peer"`
	// Operator is the "ip:port" of the listener for /metrics, /debug/state and
	// the operators' client. Callers must not reach it.
	Operator string `json:"operator"`
	// Platform is the "ip:port" of the platform's services.
	Platform string `json:"platform"`
	// Seeds are peer addresses of entries, asked when the platform is silent.
	Seeds []string `json:"seeds,omitempty"`
	// TLS secures the connections between our processes; all of it or none.
	TLS TLS `json:"tls"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel"`
	// StopWithin bounds a graceful stop.
	StopWithin Duration `json:"stopWithin"`
}

// TLS names files in PEM. The certificate's subject has the process's role
// ("entry", "agent") as organisational unit and its ID as common name.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// Authority signs the certificates of all processes.
	Authority string `json:"authority,omitempty"`
}

// Entry holds the settings of the role entry.
type Entry struct {
	Process
	// Listen is the "ip:port" of the callers' listener.
	Listen   string   `json:"listen"`
	Limits   Limits   `json:"limits"`
	Policy   Policy   `json:"policy"`
	Capacity Capacity `json:"capacity"`
}

// Capacity holds what the capacity controller depends on. All entries of a
// region must have the same.
type Capacity struct {
	// LeaseTerm is how long a leader may be silent before another takes over.
	LeaseTerm Duration `json:"leaseTerm"`
	// Every is how often the leader looks at demand.
	Every Duration `json:"every"`
	// Smooth is the time over which demand is averaged, Sustain how long a
	// change of role must be worth while, and Stay the least time from one to
	// one back.
	Smooth  Duration `json:"smooth"`
	Sustain Duration `json:"sustain"`
	Stay    Duration `json:"stay"`
	// Settle is how long labels and engines may differ before an order.
	Settle Duration `json:"settle"`
	// DrainWithin bounds the wait for a server to be empty before a change.
	DrainWithin Duration `json:"drainWithin"`
}

// Limits bound what callers can make an entry hold.
type Limits struct {
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	MaxBodyBytes   int `json:"maxBodyBytes"`
	// MaxHeldBytes bounds the bodies of all running requests together. Queues
	// are bounded by pool and in requests: long prompts in many of them would
	// take many times the memory of an instance. A request takes about eight
	// times its body.
	MaxHeldBytes   int64 `json:"maxHeldBytes"`
	MaxConnections int   `json:"maxConnections"`
	// MaxQueue bounds the requests that wait for admission.
	MaxQueue int `json:"maxQueue"`
	// MaxQueuePerOrganisation bounds one organisation's part of the queue.
	MaxQueuePerOrganisation int `json:"maxQueuePerOrganisation"`
	// WriteTimeout bounds one write to a caller.
	WriteTimeout Duration `json:"writeTimeout"`
	// DefaultDeadline is a request's deadline if its caller names none.
	DefaultDeadline Duration `json:"defaultDeadline"`
	MaxDeadline     Duration `json:"maxDeadline"`
}

// Placement baselines and the policy proper.
const (
	PlacementPolicy      = "policy"
	PlacementRoundRobin  = "round-robin"
	PlacementLeastLoaded = "least-loaded"
)

// When the decode slot is reserved.
const (
	ReserveEarly     = "early"
	ReserveLate      = "late"
	ReservePredicted = "predicted"
)

// Policy holds what decisions depend on.
type Policy struct {
	Placement string `json:"placement"`
	// Reserve is when the decode slot is reserved. Baselines reserve late,
	// whatever it says.
	Reserve string `json:"reserve"`
	// WastedPrefillWeight says how much a wasted prefill counts against a
	// request that meets its targets.
	WastedPrefillWeight float64 `json:"wastedPrefillWeight"`
	// TTFTTarget and TokenTarget are the targets of goodput.
	TTFTTarget  Duration `json:"ttftTarget"`
	TokenTarget Duration `json:"tokenTarget"`
	// RetryRatio is how many retries an organisation or target earns with each
	// first try.
	RetryRatio float64 `json:"retryRatio"`
	// Subset is how many servers one decision looks at; pools up to this size
	// are looked at whole.
	Subset int `json:"subset"`
}

// Baseline reports whether the policy is one of the baselines that the policy
// proper is measured against: they place by their rule alone, wait in one queue
// in order of arrival, and reserve no decode slot before the prefill has ended.
func (p Policy) Baseline() bool {
	return p.Placement == PlacementRoundRobin || p.Placement == PlacementLeastLoaded
}

// Kinds of backend server.
const (
	BackendEngine  = "engine"
	BackendService = "service"
)

// Agent holds the settings of the role agent.
type Agent struct {
	Process
	// Backend is the "ip:port" of the backend server beside the agent.
	Backend string `json:"backend"`
	// BackendKind is BackendEngine or BackendService.
	BackendKind string `json:"backendKind"`
	// ChecksFence: the engine refuses an order with an old fencing number.
	ChecksFence bool `json:"checksFence"`
	// Slots is how many attempts run at once on the backend server.
	Slots int `json:"slots"`
	// BatchHeadroom is how many decode slots batch leaves free while there are
	// interactive requests.
	BatchHeadroom int `json:"batchHeadroom"`
	// PrefillQueue bounds the prefills that wait.
	PrefillQueue int `json:"prefillQueue"`
	// LapseAfter is how long a grant lives without a renewal.
	LapseAfter Duration `json:"lapseAfter"`
	// LinkBytesPerSecond is the rate of the link that transfers share; 0 for
	// no pacing.
	LinkBytesPerSecond int64 `json:"linkBytesPerSecond"`
}

// DefaultProcess returns the defaults of Process.
func DefaultProcess() Process {
	return Process{LogLevel: "info", StopWithin: Duration(30 * time.Second)}
}

// DefaultEntry returns the defaults of Entry.
func DefaultEntry() Entry {
	return Entry{
		Process: DefaultProcess(),
		Limits: Limits{
			MaxHeaderBytes:          16 << 10,
			MaxBodyBytes:            4 << 20,
			MaxHeldBytes:            24 << 20,
			MaxConnections:          4096,
			MaxQueue:                512,
			MaxQueuePerOrganisation: 128,
			WriteTimeout:            Duration(10 * time.Second),
			DefaultDeadline:         Duration(60 * time.Second),
			MaxDeadline:             Duration(10 * time.Minute),
		},
		Policy: Policy{
			Placement:           PlacementPolicy,
			Reserve:             ReserveEarly,
			WastedPrefillWeight: 1,
			TTFTTarget:          Duration(1700 * time.Millisecond),
			TokenTarget:         Duration(62 * time.Millisecond),
			RetryRatio:          0.1,
			Subset:              16,
		},
		Capacity: Capacity{
			LeaseTerm:   Duration(15 * time.Second),
			Every:       Duration(5 * time.Second),
			Smooth:      Duration(30 * time.Second),
			Sustain:     Duration(2 * time.Minute),
			Stay:        Duration(20 * time.Minute),
			Settle:      Duration(15 * time.Second),
			DrainWithin: Duration(10 * time.Minute),
		},
	}
}

// DefaultAgent returns the defaults of Agent.
func DefaultAgent() Agent {
	return Agent{
		Process:     DefaultProcess(),
		BackendKind: BackendEngine,
		Slots:       20,
		// docs/MEASUREMENTS.md, round 3.
		BatchHeadroom: 1,
		PrefillQueue:  16,
		LapseAfter:    Duration(2 * time.Second),
	}
}
