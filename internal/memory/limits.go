package memory

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// Limits of a process, in bytes.
type Limits struct {
	// Machine is the memory of its machine.
	Machine int64 `json:"machine"`
	// Runtime is the soft limit of the Go runtime.
	Runtime int64 `json:"runtime"`
	// Arriving bounds requests that haven't arrived completely, Serving those that have.
	Arriving int64 `json:"arriving"`
	Serving  int64 `json:"serving"`
	// Connections is how many open connections fit.
	Connections int64 `json:"connections"`
	// Answers bounds the answers of servers in a process that has no callers.
	Answers int64 `json:"answers"`
}

const (
	// programBytes is what a process takes without the runtime: the program's pages and those of the
	// libraries.
	programBytes = 24 << 20
	// Shares of what the program leaves of the machine's memory. They overlap: the runtime's holds
	// all others, and its rest is for the process's own state and for garbage.
	runtimeShare     = 0.8
	arrivingShare    = 0.12
	servingShare     = 0.25
	connectionsShare = 0.42
	answersShare     = 0.5
	// connectionBytes is what an open connection costs without a request: a goroutine that waits, the
	// connection itself and its descriptor.
	connectionBytes = 8 << 10
)

// MinMachine is the least memory that a machine is taken to have, in bytes.
const MinMachine = 80 << 20

// Of returns the limits for a machine.
func Of(machine int64) Limits {
	machine = max(machine, MinMachine)
	share := func(x float64) int64 { return int64(x * float64(machine-programBytes)) }
	return Limits{
		Machine: machine, Runtime: share(runtimeShare), Arriving: share(arrivingShare), Serving: share(servingShare),
		Connections: share(connectionsShare) / connectionBytes, Answers: share(answersShare),
	}
}

// Detect returns the limits of this process. configured is the machine's memory in bytes. If it is 0,
// the memory follows from the runtime's limit that the process was started with (GOMEMLIMIT), or else
// from what the kernel reports.
func Detect(configured int64) Limits {
	if configured > 0 {
		return Of(configured)
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return Of(programBytes + int64(float64(limit)/runtimeShare))
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return Of(fallbackMachine)
	}
	return Of(int64(info.Totalram) * int64(info.Unit))
}

// fallbackMachine is the memory of a machine whose kernel doesn't tell.
const fallbackMachine = 256 << 20

// Apply sets the soft limit of the runtime.
func (l Limits) Apply() { debug.SetMemoryLimit(l.Runtime) }

// FitsBody reports whether a body of a size can arrive while nothing else does.
func (l Limits) FitsBody(size int) bool {
	// While its buffer grows by the factor 4, both the old and the new one are there.
	return float64(size)*1.25 < largeShare*float64(l.Arriving)
}
