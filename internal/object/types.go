package object

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Conviction records that a request's content crashes backend servers, so that
// no entry sends it to another one.
type Conviction struct {
	Format int
	// Fingerprint of the content, written as hexadecimal text because JSON
	// numbers lose digits above 2^53.
	Fingerprint uint64
	// Until is when the conviction lapses.
	Until time.Time
}

type convictionText struct {
	Format      int       `json:"format"`
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// MarshalJSON writes the fingerprint as hexadecimal text.
func (c Conviction) MarshalJSON() ([]byte, error) {
	return json.Marshal(convictionText{
		Format:      c.Format,
		Fingerprint: strconv.FormatUint(c.Fingerprint, 16),
		Until:       c.Until,
	})
}

// UnmarshalJSON reads what MarshalJSON wrote. Unknown keys are an error.
func (c *Conviction) UnmarshalJSON(b []byte) error {
	var t convictionText
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

// Claim is one non-idempotent request that was given out.
type Claim struct {
	Key string `json:"key"`
	// Request is the id of the request that holds the key.
	Request string `json:"request"`
	// Entry is the instance id of the entry that took the request.
	Entry string    `json:"entry"`
	Until time.Time `json:"until"`
}

// Claims groups claims of one shard of the key space in one object.
type Claims struct {
	Format int     `json:"format"`
	Claims []Claim `json:"claims"`
}

// Lease names the holder of a controller's scope. Its fencing number is the
// version of the stored object.
type Lease struct {
	Format int `json:"format"`
	// Holder is "id#incarnation" of the holding process; empty if free.
	Holder string `json:"holder"`
	// Term is how long the lease lasts from before it was asked for.
	Term time.Duration `json:"termNanoseconds"`
	// Renewals rises with each renewal; an observer that sees it stand still
	// for a term may take the lease.
	Renewals uint64 `json:"renewals"`
}

// ProcessStatus is what one process reports of itself.
type ProcessStatus struct {
	ID               string `json:"id"`
	Role             string `json:"role"`
	AvailabilityZone string `json:"availabilityZone"`
	// Revision of the configuration in force, and its digest.
	Revision      uint64 `json:"revision"`
	Digest        uint64 `json:"digest,string"`
	Incarnation   uint64 `json:"incarnation,string"`
	UptimeSeconds uint64 `json:"uptimeSeconds"`
}

// Status groups the processes of one availability zone in one object.
type Status struct {
	Format int `json:"format"`
	// Writer is the instance id of the entry that grouped the reports.
	Writer    string          `json:"writer"`
	Time      time.Time       `json:"time"`
	Processes []ProcessStatus `json:"processes"`
}
