package object

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Conviction marks a poison request: its content crashes backend servers, so no
// entry sends it to another one.
type Conviction struct {
	Format int
	// Fingerprint of the content, written as hexadecimal text because JSON
	// numbers lose digits above 2^53.
	Fingerprint uint64
	// Until is when the conviction expires.
	Until time.Time
}

type convictionJSON struct {
	Format      int       `json:"format"`
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// MarshalJSON writes the fingerprint as hexadecimal text.
func (c Conviction) MarshalJSON() ([]byte, error) {
	return json.Marshal(convictionJSON{
		Format:      c.Format,
		Fingerprint: strconv.FormatUint(c.Fingerprint, 16),
		Until:       c.Until,
	})
}

// UnmarshalJSON reads the format of MarshalJSON. Unknown keys are an error.
func (c *Conviction) UnmarshalJSON(b []byte) error {
	var t convictionJSON
	if err := decodeStrict(b, &t); err != nil {
		return err
	}
	f, err := strconv.ParseUint(t.Fingerprint, 16, 64)
	if err != nil {
		return eris.New("fingerprint: not a hexadecimal number")
	}
	*c = Conviction{Format: t.Format, Fingerprint: f, Until: t.Until}
	return nil
}

// Claim reserves the key of a non-idempotent request that was dispatched.
type Claim struct {
	Key string `json:"key"`
	// Request is the ID of the request that holds the key.
	Request string `json:"request"`
	// Entry is the instance ID of the entry that accepted the request.
	Entry string    `json:"entry"`
	Until time.Time `json:"until"`
}

// Claims holds the claims of one shard of the key space in one object.
type Claims struct {
	Format int     `json:"format"`
	Claims []Claim `json:"claims"`
}

// Lease names the controller that holds a scope. Its fencing token is the version
// of the stored object.
type Lease struct {
	Format int `json:"format"`
	// Holder is "id#incarnation" of the holding process; empty if free.
	Holder string `json:"holder"`
	// Term is how long the lease is valid, counted from before it was requested.
	Term time.Duration `json:"termNanoseconds"`
	// Renewals counts the renewals. An observer that sees it unchanged for a term
	// may acquire the lease.
	Renewals uint64 `json:"renewals"`
}

// ProcessStatus is the status that a process reports.
type ProcessStatus struct {
	ID               string `json:"id"`
	Role             string `json:"role"`
	AvailabilityZone string `json:"availabilityZone"`
	// Revision and Digest of the active configuration.
	Revision      uint64 `json:"revision"`
	Digest        uint64 `json:"digest,string"`
	Incarnation   uint64 `json:"incarnation,string"`
	UptimeSeconds uint64 `json:"uptimeSeconds"`
}

// Status holds the status of all processes of one availability zone.
type Status struct {
	Format int `json:"format"`
	// Writer is the instance ID of the entry that collected the reports.
	Writer    string          `json:"writer"`
	Time      time.Time       `json:"time"`
	Processes []ProcessStatus `json:"processes"`
}
