package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/backlog"
	"jayford.example/jayford/internal/policy/speed"
)

const (
	// modeInterval is how often it is decided how a service's prefill engines are compared.
	modeInterval = 100 * time.Millisecond
	// fleetInterval is how often the speeds of a service's engines are summed up.
	fleetInterval = time.Second
)

// queues has what is known of engines' speed and prefill queues, and how each service's prefill
// engines are compared.
type queues struct {
	view    *view
	loads   *loads
	average *prefillSpeed
	log     *logrus.Entry
	now     func() time.Time

	mu sync.Mutex
	// All below is guarded by mu. Its holder may read loads.
	speeds   *speed.Table
	backlog  *backlog.Machine
	services map[string]*serviceQueues
}

// serviceQueues are the engines of one service.
type serviceQueues struct {
	mode backlog.Mode
	// byTime is the result of mode at decidedAt.
	byTime    bool
	decidedAt time.Time
	// fleets sum up the speeds, by kind, at fleetsAt.
	fleets   [2]speed.Fleet
	fleetsAt time.Time
}

func newQueues(v *view, l *loads, average *prefillSpeed, b *board.Board, log *logrus.Entry) *queues {
	q := &queues{view: v, loads: l, average: average, log: log, now: time.Now, speeds: speed.NewTable(), services: map[string]*serviceQueues{}}
	q.backlog = backlog.New(q.paceLocked)
	l.onTokens = q.observe
	b.AddView("speeds", q.dump)
	return q
}

// paceLocked returns an engine's time per prompt token, that of all engines if its own is unknown.
func (q *queues) paceLocked(now time.Time, engine uint64) time.Duration {
	if pace, known := q.speeds.Pace(now, engine, speed.Prefill); known {
		return pace
	}
	return q.average.estimate(1)
}

// observe records the tokens that are booked at an engine.
func (q *queues) observe(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.Observe(q.now(), gossip.ServerKey(key), q.loads.queuedTokens(key))
}

// observePeers records the tokens booked at the prefill engines among those listed.
func (q *queues) observePeers(engines []uint64) {
	list := q.view.list()
	for _, e := range engines {
		if c, ok := list.find(e); ok && c.Stage == catalog.Prefill {
			q.observe(c.key)
		}
	}
}

// unread returns the tokens that are left to read at an engine.
func (q *queues) unread(key string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog.Left(q.now(), gossip.ServerKey(key))
}

// expected returns the expected time for a prompt at an engine, including the queue there.
func (q *queues) expected(now time.Time, key string, prompt int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expectedLocked(now, key, prompt)
}

// expectedLocked observes the queue too, as nothing is told of peers that fall silent.
func (q *queues) expectedLocked(now time.Time, key string, prompt int) time.Duration {
	engine := gossip.ServerKey(key)
	q.backlog.Observe(now, engine, q.loads.queuedTokens(key))
	return q.backlog.Expected(now, engine, prompt)
}

// recordPrefill records that an engine took d for so many unread tokens, the prompt's own included.
func (q *queues) recordPrefill(key string, unread int, d time.Duration) {
	if unread <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.speeds.Record(q.now(), gossip.ServerKey(key), speed.Prefill, d/time.Duration(unread))
}

// recordOutput records the mean time between two output tokens of a stream, 0 if unknown.
func (q *queues) recordOutput(key string, pace time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.speeds.Record(q.now(), gossip.ServerKey(key), speed.Output, pace)
}

// service returns what is known of a service.
func (q *queues) serviceLocked(name string) *serviceQueues {
	x := q.services[name]
	if x == nil {
		x = &serviceQueues{}
		q.services[name] = x
	}
	return x
}

// decide returns whether the prefill engines of a service are compared by expected time instead
// of booked tokens. It decides anew at intervals, by a prompt and its objective.
func (q *queues) decide(now time.Time, service string, objective time.Duration, prompt int, list []candidate) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	x := q.serviceLocked(service)
	if age := now.Sub(x.decidedAt); age >= 0 && age < modeInterval || len(list) == 0 {
		return x.byTime
	}
	x.decidedAt = now
	c := backlog.Conditions{Objective: objective, Spread: q.fleetsLocked(now, service)[speed.Prefill].Spread()}
	for i := range list {
		if d := q.expectedLocked(now, list[i].key, prompt); i == 0 || d < c.Shortest {
			c.Shortest = d
		}
	}
	var changed bool
	if x.byTime, changed = x.mode.Update(now, c); changed {
		q.log.WithFields(logrus.Fields{
			"service": service, "byTime": x.byTime, "shortest": milliseconds(c.Shortest), "spread": c.Spread,
		}).Info("gateway: comparison of prefill engines changed.")
		setPrefillByTime(service, x.byTime)
	}
	return x.byTime
}

// byTime returns the last result of decide.
func (q *queues) byTime(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.serviceLocked(service).byTime
}

// fleetsLocked sums up the known speeds of a service's engines, by kind.
func (q *queues) fleetsLocked(now time.Time, service string) *[2]speed.Fleet {
	x := q.serviceLocked(service)
	if age := now.Sub(x.fleetsAt); age >= 0 && age < fleetInterval {
		return &x.fleets
	}
	x.fleetsAt, x.fleets = now, [2]speed.Fleet{}
	for _, e := range q.view.list().engines(service) {
		for k := range x.fleets {
			if pace, known := q.speeds.Pace(now, gossip.ServerKey(e.key), speed.Kind(k)); known {
				x.fleets[k].Add(pace)
			}
		}
	}
	return &x.fleets
}

// relativeLocked returns an engine's speed relative to the mean of its service: 1 is average, 0
// unknown. Its prefills tell more than its streams, which are slower where there are many.
func (q *queues) relativeLocked(now time.Time, service, key string) float64 {
	fleets := q.fleetsLocked(now, service)
	for k := range fleets {
		pace, known := q.speeds.Pace(now, gossip.ServerKey(key), speed.Kind(k))
		if mean := fleets[k].Mean(); known && mean > 0 {
			return float64(mean) / float64(pace)
		}
	}
	return 0
}

// relative returns an engine's speed relative to the mean of its service: 1 is average, 0 unknown.
func (q *queues) relative(service, key string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.relativeLocked(q.now(), service, key)
}

// decodePrefill returns the time that a decode engine would take to read a prompt alone.
func (q *queues) decodePrefill(service, key string, prompt int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if pace, known := q.speeds.Pace(now, gossip.ServerKey(key), speed.Prefill); known {
		return time.Duration(prompt) * pace
	}
	mean, relative := q.fleetsLocked(now, service)[speed.Prefill].Mean(), q.relativeLocked(now, service, key)
	if mean == 0 || relative == 0 {
		return q.average.estimate(prompt)
	}
	return time.Duration(float64(prompt) * float64(mean) / relative)
}

// tokensPerSecond returns the output speed of one generation at an engine, 0 if it is unknown or
// the service's engines are about as fast as each other.
func (q *queues) tokensPerSecond(service, key string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	pace, known := q.speeds.Pace(now, gossip.ServerKey(key), speed.Output)
	if !known || q.fleetsLocked(now, service)[speed.Output].Spread() < speed.UnevenSpread {
		return 0
	}
	return 1 / pace.Seconds()
}

// reports returns at most limit of this gateway's measurements.
func (q *queues) reports(limit int) []speed.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.speeds.Expire(now)
	return q.speeds.Reports(now, limit)
}

// receive stores a peer's measurements.
func (q *queues) receive(from string, list []speed.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	speedsDropped.Add(q.speeds.Receive(q.now(), from, list))
}

// prune forgets what is too old, and the queues of engines that prefill no more.
func (q *queues) prune() {
	list := q.view.list()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.speeds.Expire(q.now())
	q.backlog.Keep(list.isPrefill)
}

// engineSpeed is an engine's entry in the dump; times are in microseconds.
type engineSpeed struct {
	Prefill, Output, Relative float64
	Unread                    int
}

func (q *queues) dump() any {
	list := q.view.list()
	q.mu.Lock()
	defer q.mu.Unlock()
	now, out := q.now(), map[string]engineSpeed{}
	for _, e := range list.all {
		if e.Stage == catalog.NoStage {
			continue
		}
		engine := gossip.ServerKey(e.key)
		x := engineSpeed{Relative: q.relativeLocked(now, e.Service, e.key), Unread: q.backlog.Left(now, engine)}
		for k, to := range []*float64{&x.Prefill, &x.Output} {
			if pace, known := q.speeds.Pace(now, engine, speed.Kind(k)); known {
				*to = float64(pace) / float64(time.Microsecond)
			}
		}
		out[e.key] = x
	}
	return out
}

// EngineSpeed returns an engine's speed relative to the mean of its service's engines: 1 is
// average, 2 twice as fast, 0 unknown.
func (g *Gateway) EngineSpeed(s catalog.Server) float64 {
	return g.queues.relative(s.Service, serverKey(s))
}

// SpeedReports returns at most limit of this gateway's measurements of engines' speed.
func (g *Gateway) SpeedReports(limit int) []speed.Report { return g.queues.reports(limit) }

// RecordPeerSpeeds takes over what a peer has measured.
func (g *Gateway) RecordPeerSpeeds(from string, list []speed.Report) { g.queues.receive(from, list) }

// RecordPeerLoad is called when the load of peers may have changed on engines, given by the keys
// that gossip.ServerKey returns.
func (g *Gateway) RecordPeerLoad(engines []uint64) { g.queues.observePeers(engines) }
