package blame

import "time"

const (
	// minRestartTime is the least time from the end of a server until it serves again.
	minRestartTime = 500 * time.Millisecond
	// maxReportDelay bounds how much later than it happened a loss seems to be that a peer
	// reports: reports give times relative to their own.
	maxReportDelay = time.Second
)

// Answer is an answer of a server to a call.
type Answer struct {
	// Server is a hash of the server's incarnation, as in Loss.
	Server uint64
	// Sent is when the call was sent.
	Sent time.Time
	// Connected is when the connection that carried the answer was established, zero if
	// unknown.
	Connected time.Time
	// Identified: the answer came from a server with the id of the one that was called. It
	// may have started again since.
	Identified bool
}

// disproves reports whether the answer shows that the server hadn't crashed when it was
// reported lost. Only the same start of the server can show that. Another one may have the
// address by then, or the same one may have started again under its id, so what an answer
// says of its server isn't enough:
//   - A connection doesn't outlast the process that accepted it. An answer on one that was
//     established before the request began comes from the start that ran the request.
//   - A server that crashed needs minRestartTime to serve again.
func (a Answer) disproves(x Loss, now time.Time) bool {
	if a.Server != x.Server || !a.Sent.After(x.Lost) {
		return false
	}
	if !a.Connected.IsZero() && a.Connected.Before(x.Began.Add(-maxReportDelay)) {
		return true
	}
	return a.Identified && x.Prompt && now.Sub(x.Lost) < minRestartTime
}
