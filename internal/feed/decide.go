package feed

import (
	"slices"
	"time"
)

func (m *Machine) find(stream uint64) int {
	return slices.IndexFunc(m.upstreams, func(u upstream) bool { return u.stream == stream })
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// backoff returns an exponential backoff with jitter over its upper half.
func (m *Machine) backoff() time.Duration {
	d := min(retryMin<<min(m.failures, 8), retryMax)
	return d/2 + m.jitter(d/2)
}

// finishStartup ends the startup phase startupGrace after the first peer's
// configuration arrived. The platform's list ends it at once, in OnCall.
func (m *Machine) finishStartup(now time.Time) {
	if !m.ready && !m.firstPeer.IsZero() && now.Sub(m.firstPeer) >= startupGrace {
		m.ready, m.needList = true, false
	}
}

// wantedUpstreams returns how many upstreams the process needs. A watcher needs one
// only while it is cut off from the platform.
func (m *Machine) wantedUpstreams(now time.Time) int {
	switch {
	case !m.ready:
		return startupPeers
	case m.Watches() && now.Sub(m.lastDirectAnswer) < staleAfter:
		return 0
	default:
		return 1
	}
}

// candidates returns the addresses to follow, best first, without those that
// failed recently.
func (m *Machine) candidates(now time.Time) []string {
	all := slices.Concat(m.sources, m.seeds)
	return slices.DeleteFunc(all, func(a string) bool { return now.Before(m.cooldownUntil[a]) })
}

func (m *Machine) drop(i int, now time.Time, failed bool) {
	u := m.upstreams[i]
	if failed {
		m.cooldownUntil[u.address] = now.Add(upstreamCooldown)
	}
	m.upstreams = slices.Delete(m.upstreams, i, i+1)
	m.actions = append(m.actions, Action{Kind: ActionUnfollow, Stream: u.stream, Address: u.address})
}

func (m *Machine) follow(now time.Time, address string, resync bool) {
	m.lastStream++
	m.upstreams = append(m.upstreams, upstream{stream: m.lastStream, address: address, since: now, last: now})
	m.actions = append(m.actions, Action{Kind: ActionFollow, Stream: m.lastStream, Address: address, Resync: resync})
}

// dropSilent drops each upstream that has sent nothing for silentAfter.
//
// It guards against half-open connections: a device between both ends loses the
// connection's state, the stream stays open without an error, and the process
// would unknowingly run on an old configuration. Senders send an event at least
// once a second, so silence alone is sufficient proof. The next attempt uses a new
// connection.
func (m *Machine) dropSilent(now time.Time) {
	for i := len(m.upstreams) - 1; i >= 0; i-- {
		if now.Sub(m.upstreams[i].last) > silentAfter {
			m.drop(i, now, true)
		}
	}
	for a, until := range m.cooldownUntil {
		if !now.Before(until) {
			delete(m.cooldownUntil, a)
		}
	}
}

// dropSuperfluous closes streams above the wanted number, a stream to an instance
// that is no longer a candidate, and after failbackAfter a stream to one that
// isn't the best candidate.
func (m *Machine) dropSuperfluous(now time.Time) {
	if !m.ready || len(m.upstreams) == 0 {
		return
	}
	best := m.candidates(now)
	place := func(u upstream) int {
		if i := slices.Index(best, u.address); i >= 0 {
			return i
		}
		return len(best)
	}
	slices.SortStableFunc(m.upstreams, func(a, b upstream) int { return place(a) - place(b) })
	for len(m.upstreams) > m.wantedUpstreams(now) {
		m.drop(len(m.upstreams)-1, now, false)
	}
	if len(m.upstreams) == 0 || len(best) == 0 {
		return
	}
	u := m.upstreams[0]
	gone := place(u) == len(best)
	far := place(u) > 0 && now.Sub(u.since) > failbackAfter
	if gone || far {
		m.drop(0, now, false)
	}
}

func (m *Machine) addUpstreams(now time.Time) {
	want := m.wantedUpstreams(now)
	if len(m.upstreams) >= want {
		return
	}
	for _, a := range m.candidates(now) {
		if len(m.upstreams) >= want {
			return
		}
		if !slices.ContainsFunc(m.upstreams, func(u upstream) bool { return u.address == a }) {
			m.follow(now, a, false)
		}
	}
}

// resync requests the whole configuration from an upstream and from the platform.
// The upstream's answer only adds missing objects; only the platform's may remove
// surplus ones, as the upstream itself may be wrong.
func (m *Machine) resync(now time.Time, i int) {
	if !m.lastResync.IsZero() && now.Sub(m.lastResync) < resyncMin {
		return
	}
	m.lastResync = now
	m.needList = true
	m.scheduleBypass(now)
	address := m.upstreams[i].address
	m.drop(i, now, false)
	m.follow(now, address, true)
}

// bypassStaleFeed schedules a direct call to the platform when the feed is silent
// or stale. Jitter and a growing minimum interval keep a whole zone that lost its
// feed, or all processes in an outage, from exhausting the platform's rate limit.
func (m *Machine) bypassStaleFeed(now time.Time) {
	if m.Watches() || !m.ready {
		return
	}
	if now.Sub(m.lastEvent) > silentAfter || m.Age(now) > staleAfter {
		m.scheduleBypass(now)
	}
}

func (m *Machine) scheduleBypass(now time.Time) {
	if !m.bypassAt.IsZero() {
		return
	}
	interval := min(bypassMinInterval<<min(m.failures, 8), bypassMaxInterval)
	earliest := now
	if !m.lastBypass.IsZero() && m.lastBypass.Add(interval).After(now) {
		earliest = m.lastBypass.Add(interval)
	}
	m.bypassAt = earliest.Add(m.jitter(bypassJitter))
}

func (m *Machine) callPlatform(now time.Time) {
	watches := m.Watches()
	bypassing := !m.bypassAt.IsZero() && !now.Before(m.bypassAt)
	due := !now.Before(m.nextCall) && (watches || !m.ready)
	if !m.callInFlight && (due || bypassing) {
		m.call(now, watches, bypassing)
	}
	// Without the list of instances a process can neither place a request nor
	// watch, so it keeps reading the list even if the configuration came first.
	// Otherwise, if the platform returns between the two calls of a starting process
	// whose peers are starting too, its callers are refused until it bypasses its
	// feed. The list from any upstream ends these reads.
	noInstances := len(m.instances) == 0
	// A process that bypasses its feed reads the list only once the platform has
	// answered: in an outage a whole zone bypasses its feed within two seconds, and
	// each process would make two failing calls instead of one.
	if !m.instancesInFlight && !now.Before(m.nextInstances) && (watches || !m.ready || m.wantInstances || noInstances) {
		m.instancesInFlight, m.wantInstances = true, false
		m.actions = append(m.actions, Action{Kind: ActionCall, Call: CallInstances})
	}
}

func (m *Machine) call(now time.Time, watches, bypassing bool) {
	m.callInFlight, m.bypassing = true, bypassing
	if bypassing {
		m.bypassAt = time.Time{}
		m.lastBypass = now
	}
	c := CallPoll
	switch {
	case m.needList:
		c = CallList
	case watches:
		c = CallWatch
	}
	m.actions = append(m.actions, Action{Kind: ActionCall, Call: c})
}
