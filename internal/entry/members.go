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

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/doubt"
)

const (
	// membersTick is how often due probes are looked for.
	membersInterval = 100 * time.Millisecond
	// listEvery is how often the list is taken again when it hasn't changed, so
	// that what it lacks is forgotten in time.
	relistInterval = time.Second
	// maxProbePause keeps a server that is back from waiting long for the next
	// probe. With 5 s a link that was cut for 20 s was left unused for up to 8 s
	// after its heal, now for 2 (5,000 seeds each). The bound on probes under way
	// in a zone, not this pause, keeps a lost zone from being flooded.
	maxProbeBackoff = time.Second
)

var memberOptions = doubt.Options{MaxBackoff: maxProbeBackoff}

// members is the entry's view of which agents are there and may be used: the
// platform's lagging list, corrected by what use of the agents shows.
type members struct {
	log *logrus.Entry
	// generation rises when the agents to route to change.
	version atomic.Uint64

	mu sync.Mutex
	// All below is guarded by mu.
	set *doubt.Set
	// known has the last listing of each agent of the set.
	instancesByID map[string]platform.Instance
	// taken is the list that was taken last, at takenAt.
	lastList   []platform.Instance
	lastListAt time.Time
	rnd        *rand.Rand
}

func newMembers(log *logrus.Entry) *members {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &members{log: log, set: doubt.NewSet(memberOptions, rnd), instancesByID: make(map[string]platform.Instance), rnd: rnd}
}

// list takes the platform's list.
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
	gone := m.set.List(now, in)
	for _, id := range gone {
		delete(m.instancesByID, id)
	}
	if !same || len(gone) > 0 {
		m.version.Add(1)
	}
}

// instances returns the agents to route to: those that the list names, and
// those that it lacks though use shows that they live.
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

// outcome notes what a use of an agent showed, and logs what it changes.
func (m *members) observe(id string, o doubt.Outcome) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if before, after, turned := m.set.Observe(id, now, o); turned {
		m.log.WithFields(logrus.Fields{
			"server": id, "state": after.String(), "before": before.String(), "evidence": o.String(),
		}).Info("entry: server's health changed.")
	}
}

// left notes that an agent refuses work as leaving.
func (m *members) markLeaving(id string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, _ := m.set.View(id, now)
	m.set.Leaving(id, now)
	if after, ok := m.set.View(id, now); ok && !before.Leaving {
		m.log.WithFields(logrus.Fields{"server": id, "state": after.State.String()}).Info("entry: server leaves.")
	}
}

// stays notes that an agent takes work, by its own report.
func (m *members) clearLeaving(id string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before, _ := m.set.View(id, now)
	m.set.Stays(id)
	if after, ok := m.set.View(id, now); ok && before.Leaving && !after.Leaving {
		m.log.WithFields(logrus.Fields{"server": id, "state": after.State.String()}).Info("entry: server takes work again.")
	}
}

// last reports whether the agent is to be ranked behind the others for one
// request: it is doubted or leaving, or it was so and has had its share.
func (m *members) rankLast(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && (v.Away() || m.rnd.Float64() >= v.Share)
}

// unproven reports whether the agent was doubted and its backend server hasn't
// answered a request since.
func (m *members) unproven(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && v.Unproven
}

// away reports whether the agent is doubted or leaving by this entry's own use.
func (m *members) unavailable(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.set.View(id, time.Now())
	return ok && v.Away()
}

// probes returns the agents to be probed now.
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

// watchMembers keeps the view up to date and probes doubted agents, until ctx
// ends.
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

// probe asks a doubted agent for a sign of life, and one that was leaving
// whether it still is.
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

// answered notes an agent's answer to a heartbeat or probe, and what it says of
// its backend server.
func (e *Entry) recordAnswer(id string) {
	l := e.agents.Hint(id).Load
	if l != nil && l.Down {
		e.members.observe(id, doubt.Down)
		return
	}
	e.members.observe(id, doubt.Alive)
	if l != nil && !l.Leaving {
		e.members.clearLeaving(id)
	}
}

// beat notes the end of a renewal.
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

// lossOf tells a connection that was closed or refused, which proves that its
// other end is gone, from an answer that only didn't come in time.
func outcomeOfError(err error) doubt.Outcome {
	if status.Code(err) == codes.Unavailable && !strings.Contains(err.Error(), "timeout") {
		return doubt.ConnectionLost
	}
	return doubt.Timeout
}

// unheard notes a call to an agent that failed with err. A call that this entry
// gave up says nothing of the agent.
func (e *Entry) recordCallError(id string, err error) {
	if status.Code(err) != codes.Canceled {
		e.members.observe(id, outcomeOfError(err))
	}
}

func (e *Entry) recordSuccess(id string) { e.members.observe(id, doubt.Success) }
