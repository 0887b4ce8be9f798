// Package settings defines the static settings of each role. They are read at
// start from a file of JSON with comments and validated strictly.
//
// Durations are JSON strings in Go's notation ("250ms"); sizes are bytes.
package settings

import "time"

// Duration is a time.Duration that is written as a string in JSON.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MachineBytes returns the memory of the machine in bytes, 0 if it isn't set.
func (p Process) MachineBytes() int64 { return int64(p.MachineMB) << 20 }

// Process holds the settings that entry, agent and gateway share.
type Process struct {
	// ID is the instance ID in the platform's list.
	ID               string `json:"id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Peer is the "ip:port" of the listener for other jayford processes.
	Peer string `json:"peer"`
	// Operator is the "ip:port" of the listener for /metrics, /debug/state and
	// jayfordctl. It must not be reachable by callers.
	Operator string `json:"operator"`
	// Platform is the "ip:port" of the platform's services.
	Platform string `json:"platform"`
	// Seeds are peer addresses of entries to contact while the platform is
	// unavailable.
	Seeds []string `json:"seeds,omitempty"`
	// TLS secures the connections between jayford processes. Either all of its
	// fields are set or none.
	TLS TLS `json:"tls"`
	// MachineMB is the memory of the machine in units of 2^20 bytes. With 0 it follows from the
	// runtime's limit that the process was started with (GOMEMLIMIT), or else from the kernel.
	MachineMB int `json:"machineMB"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel"`
	// StopWithin is the timeout of a graceful stop.
	StopWithin Duration `json:"stopWithin"`
}

// TLS holds the paths of PEM files. The certificate's subject has the process's
// role ("entry", "agent") as organisational unit and its ID as common name.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// Authority is the CA certificate that signs the certificates of all
	// processes.
	Authority string `json:"authority,omitempty"`
}

// Entry holds the settings of the role entry.
type Entry struct {
	Process
	// Listen is the "ip:port" of the listener for callers.
	Listen   string   `json:"listen"`
	Limits   Limits   `json:"limits"`
	Policy   Policy   `json:"policy"`
	Capacity Capacity `json:"capacity"`
}

// Capacity holds the settings of the capacity controller. They must be the same
// in all entries of a region.
type Capacity struct {
	// LeaseTerm is how long the leader's lease lasts without a renewal before
	// another entry takes it over.
	LeaseTerm Duration `json:"leaseTerm"`
	// Every is the interval at which the leader evaluates demand.
	Every Duration `json:"every"`
	// Smooth is the time over which demand is averaged, Sustain how long a
	// change of role must stay worthwhile before it is ordered, and Stay the
	// minimum time between a change and its reversal.
	Smooth  Duration `json:"smooth"`
	Sustain Duration `json:"sustain"`
	Stay    Duration `json:"stay"`
	// Settle is how long an engine may differ from its labels before it is
	// ordered to change.
	Settle Duration `json:"settle"`
	// DrainWithin is the timeout for a server to drain before a change.
	DrainWithin Duration `json:"drainWithin"`
}

// Limits bounds the resources that callers can take up in an entry.
type Limits struct {
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	MaxBodyBytes   int `json:"maxBodyBytes"`
	// MaxHeldBytes bounds the total size of the bodies of all running requests.
	// The queue limits are per pool and count requests, so long prompts in many
	// queues could take many times the memory of an instance. A request takes
	// about eight times the size of its body.
	MaxHeldBytes   int64 `json:"maxHeldBytes"`
	MaxConnections int   `json:"maxConnections"`
	// MaxQueue bounds the requests that wait for admission.
	MaxQueue int `json:"maxQueue"`
	// MaxQueuePerOrganisation bounds one organisation's share of the queue.
	MaxQueuePerOrganisation int `json:"maxQueuePerOrganisation"`
	// WriteTimeout bounds one write to a caller.
	WriteTimeout Duration `json:"writeTimeout"`
	// DefaultDeadline applies to requests whose caller sets no deadline.
	DefaultDeadline Duration `json:"defaultDeadline"`
	MaxDeadline     Duration `json:"maxDeadline"`
}

// Placement policies: jayford's own and the two baselines it is compared with.
const (
	PlacementPolicy      = "policy"
	PlacementRoundRobin  = "round-robin"
	PlacementLeastLoaded = "least-loaded"
)

// Values of Policy.Reserve: when the decode slot is reserved.
const (
	ReserveEarly     = "early"
	ReserveLate      = "late"
	ReservePredicted = "predicted"
)

// Policy holds the settings of placement, reservation and retries.
type Policy struct {
	Placement string `json:"placement"`
	// Reserve is when the decode slot is reserved. The baselines ignore it and
	// always reserve late.
	Reserve string `json:"reserve"`
	// WastedPrefillWeight is the cost of a wasted prefill relative to the value
	// of a request that meets its targets.
	WastedPrefillWeight float64 `json:"wastedPrefillWeight"`
	// TTFTTarget and TokenTarget are the TTFT and time per output token within
	// which a request counts as goodput.
	TTFTTarget  Duration `json:"ttftTarget"`
	TokenTarget Duration `json:"tokenTarget"`
	// RetryRatio is how many retries each first attempt adds to the retry
	// budget of its organisation and target.
	RetryRatio float64 `json:"retryRatio"`
	// Subset is how many servers one decision considers; in pools up to this
	// size it considers all.
	Subset int `json:"subset"`
}

// Baseline reports whether the policy is one of the baselines that jayford's own
// policy is compared with. Baselines place by their rule alone, queue requests
// in one FIFO, and reserve the decode slot only after the prefill has ended.
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
	// Backend is the "ip:port" of the agent's backend server.
	Backend string `json:"backend"`
	// BackendKind is BackendEngine or BackendService.
	BackendKind string `json:"backendKind"`
	// ChecksFence states that the engine rejects orders with an outdated
	// fencing token.
	ChecksFence bool `json:"checksFence"`
	// Slots is how many attempts run concurrently on the backend server.
	Slots int `json:"slots"`
	// BatchHeadroom is how many decode slots batch requests leave free while
	// there are interactive requests.
	BatchHeadroom int `json:"batchHeadroom"`
	// PrefillQueue bounds the number of queued prefills.
	PrefillQueue int `json:"prefillQueue"`
	// LapseAfter is how long a grant is valid without a renewal.
	LapseAfter Duration `json:"lapseAfter"`
	// LinkBytesPerSecond is the bandwidth of the link that KV-cache transfers
	// share; 0 disables pacing.
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
		// See docs/MEASUREMENTS.md, round 3.
		BatchHeadroom: 1,
		PrefillQueue:  16,
		LapseAfter:    Duration(2 * time.Second),
	}
}
