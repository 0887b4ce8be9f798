package blame

import (
	"slices"
	"time"
)

// Record is what a Ledger holds against one request, for a state dump.
type Record struct {
	Request   uint64
	Convicted bool
	// Until is when the record is dropped.
	Until  time.Time
	Losses []RecordedLoss
}

// RecordedLoss is a loss of a Record.
type RecordedLoss struct {
	Loss
	// Void: the loss doesn't count.
	Void bool
}

// Records returns what is held against all requests, the convicted ones first.
func (l *Ledger) Records() []Record {
	out := make([]Record, 0, len(l.requests.records))
	for _, a := range l.requests.all() {
		r := Record{Request: a.id, Convicted: a.convicted, Until: a.until}
		for _, x := range a.losses {
			r.Losses = append(r.Losses, RecordedLoss{Loss: x.Loss, Void: x.void})
		}
		out = append(out, r)
	}
	return out
}

// PartRecord is what a Ledger holds against one part of prompts, for a state dump.
type PartRecord struct {
	Part uint64
	// Refused has the parts that a prompt must have to be refused, empty if none is refused for
	// this part.
	Refused []uint64 `json:",omitempty"`
	// Since is when the first loss that counts happened, Last the latest. Until is when the
	// refusal ends, or the record is dropped.
	Since, Last, Until time.Time
	// Requests is the number of requests whose losses count, Crashes that of the crashes in
	// sequence, of which Required convict the part.
	Requests, Crashes, Required int
	// Proven is when the latest run that proves the part began to write, zero if unknown.
	Proven time.Time
	// Fingerprints has the requests whose losses count.
	Fingerprints []uint64
}

// PartRecords returns what is held against all parts, the convicted ones first.
func (l *Ledger) PartRecords() []PartRecord {
	out := make([]PartRecord, 0, len(l.parts.records))
	for _, a := range l.parts.all() {
		c := l.caseOf(a)
		r := PartRecord{
			Part: a.id, Refused: a.refusedWith, Last: a.lastLoss(), Until: a.until,
			Crashes: len(c.crashes), Required: c.required, Proven: a.proven,
		}
		if a.convicted {
			r.Until = a.lastLoss().Add(l.opts.RefuseFor)
		}
		for _, x := range c.blamed {
			if !slices.Contains(r.Fingerprints, x.Request) {
				r.Fingerprints = append(r.Fingerprints, x.Request)
			}
		}
		if r.Requests = len(r.Fingerprints); r.Requests > 0 {
			r.Since = c.blamed[0].Lost
		}
		out = append(out, r)
	}
	return out
}
