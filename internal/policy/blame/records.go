package blame

import "time"

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

// Records returns what is held against all requests, in no order.
func (l *Ledger) Records() []Record {
	out := make([]Record, 0, len(l.records))
	for _, el := range l.records {
		a := accountOf(el)
		r := Record{Request: a.fp, Convicted: a.convicted, Until: a.until}
		for _, x := range a.losses {
			r.Losses = append(r.Losses, RecordedLoss{Loss: x.Loss, Void: x.void})
		}
		out = append(out, r)
	}
	return out
}
