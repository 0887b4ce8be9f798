package agent

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
)

var (
	grantsTotal  = metrics.NewCounter("jayford_agent_grants_total")
	cancelsTotal = metrics.NewCounter("jayford_agent_engine_cancels_total")
	lapsesTotal  = metrics.NewCounter("jayford_agent_lapses_total")
	orphansTotal = metrics.NewCounter("jayford_agent_orphans_total")
	silentTotal  = metrics.NewCounter("jayford_agent_silent_connections_total")
)

// countLapses counts grants that ended because their entry stopped renewing
// them.
func countLapses(n int) { lapsesTotal.Add(n) }

func countGrant()  { grantsTotal.Inc() }
func countCancel() { cancelsTotal.Inc() }
func countOrphan() { orphansTotal.Inc() }
func countSilent() { silentTotal.Inc() }

func countReason(name string, r pb.Reason) {
	label := strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, name, label)).Inc()
}

func countRefusal(r pb.Reason) { countReason("jayford_agent_refusals_total", r) }

// countStop counts started attempts that were stopped or lost.
func countStop(r pb.Reason) { countReason("jayford_agent_stops_total", r) }

// timing holds moving averages of the server's speed.
type timing struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	perToken time.Duration
	// perThousand is the time for 1,000 prompt tokens, without queueing.
	perThousand time.Duration
	// prefilled is when the last prefill ended.
	prefilled time.Time
}

// weight: a new value contributes 1/weight to the moving average.
const weight = 16

func smooth(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/weight
}

func (t *timing) token(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.perToken = smooth(t.perToken, d)
}

// prefill records the time of a prefill that computed this many tokens. An
// engine runs prefills one at a time, so until the previous one ended it was
// queued. Entries add the queueing time from the queued tokens: if it counted
// here too, a busy server would look many times slower than it is, and decode
// reservations timed by the prediction would come after the result has expired.
func (t *timing) prefill(tokens int, begin, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prefilled.After(begin) {
		begin = t.prefilled
	}
	t.prefilled = end
	d := end.Sub(begin)
	if tokens <= 0 || d <= 0 {
		return
	}
	t.perThousand = smooth(t.perThousand, d*1000/time.Duration(tokens))
}

// Load returns the server load that is reported to entries, as a hint.
func (a *Agent) Load() *pb.Load {
	a.mu.Lock()
	l := a.core.Load()
	engineIncarnation := a.engineIncarnation
	a.mu.Unlock()
	a.timing.mu.Lock()
	defer a.timing.mu.Unlock()
	return &pb.Load{
		Slots: uint32(l.Slots), Used: uint32(l.Used), Queued: uint32(l.Queued),
		QueuedTokens: uint64(l.QueuedTokens),
		Leaving:      l.Leaving, Down: l.Down,
		TokenUs:           uint32(a.timing.perToken.Microseconds()),
		PrefillUs:         uint32(a.timing.perThousand.Microseconds()),
		EngineIncarnation: engineIncarnation, PrefillReserves: true,
	}
}

// state is the agent's part of the state dump.
type state struct {
	Incarnation       uint64       `json:"incarnation"`
	EngineIncarnation uint64       `json:"engineIncarnation"`
	Load              grant.Load   `json:"load"`
	Grants            []grant.View `json:"grants"`
	Runs              int          `json:"runs"`
}

func (a *Agent) view() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return state{
		Incarnation: a.incarnation, EngineIncarnation: a.engineIncarnation,
		Load: a.core.Load(), Grants: a.core.Views(), Runs: len(a.runs),
	}
}
