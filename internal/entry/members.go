package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/doubt"
)

const (
	// membersInterval is how often the list is checked and due probes are sent.
	membersInterval = 100 * time.Millisecond
	// relistInterval is how often an unchanged list is applied again, so that
	// agents missing from it expire in time.
	relistInterval = time.Second
	// maxProbeBackoff bounds how long a recovered server waits for its next
	// probe. With 5 s a link that was cut for 20 s stayed unused for up to 8 s
	// after it recovered, with 1 s for up to 2 s. A lost zone isn't flooded with
	// probes, since the number of concurrent probes per zone is bounded.
	maxProbeBackoff = time.Second
)

// memberOptions include a probe after an unanswered request: a server with one looks loaded
// and gets no further request that would show whether it has failed.
var memberOptions = doubt.Options{MaxBackoff: maxProbeBackoff, ProbeUnanswered: true}

// members is the entry's view of which agents exist and are usable. It combines
// the platform's instance list, which lags, with the outcomes of the entry's own
// calls.
type members struct {
	log *logrus.Entry
	// version increases when the set of routable agents changes.
	version atomic.Uint64
	// onLost, if not nil, is called when a server is found to be gone or down.
	onLost func(id string)

	mu sync.Mutex
	// All below is guarded by mu.
	set *doubt.Set
	// instancesByID holds the agents of the set as last listed.
	instancesByID map[string]platform.Instance
	// lastList was applied at lastListAt.
	lastList   []platform.Instance
	lastListAt time.Time
	rnd        *rand.Rand
}

func newMembers(log *logrus.Entry) *members {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &members{log: log, set: doubt.NewSet(memberOptions, rnd), instancesByID: make(map[string]platform.Instance), rnd: rnd}
}

// update applies the platform's list of instances.
func (m *members) update(now time.Time, list []platform.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	same := slices.Equal(list, m.lastList)
	if same && now.Sub(m.lastListAt) < relistInterval {
		return
	}
	m.lastList, m.lastListAt = list, now
	var in []doubt.Instance
	for _, i := range list {
		if i.Role == "agent" {
			m.instancesByID[i.ID] = i
			in = append(in, doubt.Instance{ID: i.ID, AvailabilityZone: i.AvailabilityZone, Leaving: i.State != platform.Live})
		}
	}
	gone := m.set.ApplyList(now, in)
	for _, id := range gone {
		delete(m.instancesByID, id)
	}
	if !same || len(gone) > 0 {
		m.version.Add(1)
	}
}

// routable returns the agents that requests may be routed to: the listed ones,
// and unlisted ones that are still known to be alive from use.
func (m *members) routable() map[string]platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]platform.Instance, len(m.instancesByID))
	for id, i := range m.instancesByID {
		if i.State == platform.Live {
			out[id] = i
		}
	}
	return out
}

// observe records what is known now of an agent, and logs a change of its state.
func (m *members) observe(id string, o doubt.Outcome) { m.observeCall(id, time.Now(), o) }

// observeCall is observe for the outcome of a call that began at the given time.
func (m *members) observeCall(id string, began time.Time, o doubt.Outcome) {
	m.mu.Lock()
	before, after, turned := m.set.RecordTransition(id, began, time.Now(), o)
	m.mu.Unlock()
	if !turned {
		return
	}
	m.log.WithFields(logrus.Fields{
		"server": id, "state": after.String(), "before": before.String(), "evidence": o.String(),
	}).Info("entry: server's health changed.")
	if m.onLost != nil && before == doubt.Trusted && (o == doubt.Down || o == doubt.ConnectionLost) {
		m.onLost(id)
	}
}

// check schedules a probe of an agent that ended a connection.
func (m *members) check(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.Check(id, time.Now())
}

// markLeaving records that an agent refused work because it is leaving.
func (m *members) markLeaving(id string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, _ := m.set.View(id, now)
	m.set.MarkLeaving(id, now)
	if after, ok := m.set.View(id, now); ok && !before.Leaving {
		m.log.WithFields(logrus.Fields{"server": id, "state": after.State.String()}).Info("entry: server is leaving.")
	}
}

// clearLeaving records that an agent reports that it isn't leaving.
func (m *members) clearLeaving(id string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, _ := m.set.View(id, now)
	m.set.ClearLeaving(id)
	if after, ok := m.set.View(id, now); ok && before.Leaving && !after.Leaving {
		m.log.WithFields(logrus.Fields{"server": id, "state": after.State.String()}).Info("entry: server accepts work again.")
	}
}

// rankLast reports whether to rank the agent behind the others for one request:
// it is suspected of failure or leaving, or it has recovered and this request
// isn't part of the share of traffic that it gets while it ramps up.
func (m *members) rankLast(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && (v.LastResort() || m.rnd.Float64() >= v.Share)
}

// unproven reports whether the agent was suspected and its backend server hasn't
// answered a request since.
func (m *members) unproven(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && v.Unproven
}

// unavailable reports whether the agent is suspected of failure or leaving, so
// that it is used only if no other is left.
func (m *members) unavailable(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && v.LastResort()
}

// dueProbes returns the agents to probe now.
func (m *members) dueProbes() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platform.Instance
	for _, id := range m.set.Probes(time.Now()) {
		out = append(out, m.instancesByID[id])
	}
	return out
}

// memberView is one agent in the state dump.
type memberView struct {
	AvailabilityZone string
	State            string
	Leaving          bool
	Share            float64
}

func (m *members) view() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]memberView)
	for _, id := range m.set.IDs() {
		v, _ := m.set.View(id, time.Now())
		out[id] = memberView{v.AvailabilityZone, v.State.String(), v.Leaving, v.Share}
	}
	return out
}

// watchMembers applies the platform's list and probes suspected and leaving
// agents until ctx ends.
func (e *Entry) watchMembers(ctx context.Context) error {
	tick := time.NewTicker(membersInterval)
	defer tick.Stop()
	for {
		e.members.update(time.Now(), e.routing.store.Current().Instances)
		for _, in := range e.members.dueProbes() {
			go e.probe(ctx, in)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// probe checks whether a suspected agent is alive, or a leaving one still
// leaving.
func (e *Entry) probe(ctx context.Context, in platform.Instance) {
	conn, err := e.agents.Conn(in.ID, in.Address)
	if err != nil {
		return
	}
	if err := conn.Probe(ctx); err != nil {
		if ctx.Err() == nil {
			e.members.observe(in.ID, outcomeOfError(err))
		}
		return
	}
	e.recordAnswer(in.ID)
}

// recordAvailability records an agent's report that its server is down or leaving, or no
// longer is. A server that is out of use gets no requests whose replies could tell that
// it is back; its membership is probed.
func (e *Entry) recordAvailability(id string, l *pb.Load) {
	if l.GetDown() {
		e.members.observe(id, doubt.Down)
	}
	if l.GetLeaving() {
		e.members.markLeaving(id)
	} else {
		e.members.clearLeaving(id)
	}
}

// recordAnswer records that an agent answered a heartbeat or probe, and the state
// of its backend server according to its last load report.
func (e *Entry) recordAnswer(id string) {
	l := e.agents.Hint(id).Load
	if !l.GetDown() {
		e.members.observe(id, doubt.Alive)
	}
	if l != nil {
		e.recordAvailability(id, l)
	}
}

// recordHeartbeat records the result of a renewal, which serves as heartbeat.
func (e *Entry) recordHeartbeat(id string, err error) {
	switch {
	case err == nil:
		e.recordAnswer(id)
	case outcomeOfError(err) == doubt.ConnectionLost:
		e.members.observe(id, doubt.ConnectionLost)
	default:
		e.members.observe(id, doubt.MissedBeat)
	}
}

// outcomeOfError distinguishes a closed or refused connection, which proves that
// the peer is gone, from a timeout.
func outcomeOfError(err error) doubt.Outcome {
	if status.Code(err) == codes.Unavailable && !strings.Contains(err.Error(), "timeout") {
		return doubt.ConnectionLost
	}
	return doubt.Timeout
}

// recordCallError records a call to an agent that failed with err. A call that
// this entry cancelled is no evidence against the agent.
func (e *Entry) recordCallError(id string, began time.Time, err error) {
	if status.Code(err) != codes.Canceled {
		e.members.observeCall(id, began, outcomeOfError(err))
	}
}

func (e *Entry) recordSuccess(id string) { e.members.observe(id, doubt.Success) }
