package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
)

const (
	// expiryGrace is how long a server's entry that disappeared during an outage of
	// the platform is kept after the outage. Servers that are alive are listed again
	// within about two seconds; without the grace a short outage would leave no
	// server. It counts from the start of the first call that was answered, as the
	// platform was reachable by then. A watch answers only when something changes, so
	// counting from the answer would keep a server that really left, and send it
	// requests, for longer.
	expiryGrace = 2200 * time.Millisecond
	// graceTick is how often the peers' contact with the platform is checked during
	// the grace.
	graceTick = 50 * time.Millisecond
)

// entry is a server's entry. expiredAt is when it disappeared during an outage of the
// platform, zero if it is listed.
type entry struct {
	server    catalog.Server
	expiredAt time.Time
}

// roster maintains the list of servers from their entries.
type roster struct {
	g       *Gateway
	decoder Decoder

	mu sync.Mutex
	// All below is guarded by mu.
	entries map[string]entry
	// recoveredAt is when the platform was reachable again after an outage.
	recoveredAt time.Time
	// graceUntil is the end of the grace. Entries that disappear before it count as
	// expired in the outage, not as deleted.
	graceUntil time.Time
	// listed is set from the first complete listing.
	listed bool
}

func (r *roster) apply(n follow.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if n.Outage > 0 {
		r.recoveredAt = n.StartedAt
		r.graceUntil = r.recoveredAt.Add(expiryGrace)
		time.AfterFunc(graceTick, r.endGrace)
	}
	r.shortenGrace()
	if n.Full && r.listed {
		r.g.log.Info("gateway: servers listed anew, versions in between aren't known.")
		r.g.software.restart(now)
	}
	r.listed = r.listed || n.Full
	seen := make(map[string]bool, len(n.Objects))
	for _, o := range n.Objects {
		seen[o.Name] = true
		if o.Deleted {
			r.entryDeleted(o.Name, now)
			continue
		}
		s, err := r.decoder.Server(o)
		if err != nil {
			r.g.log.WithError(err).WithField("server", o.Name).Warn("gateway: invalid server entry ignored.")
			delete(r.entries, o.Name)
			continue
		}
		if before, ok := r.entries[o.Name]; !ok || before.server != s {
			r.g.log.WithFields(logrus.Fields{
				"server": serverKey(s), "address": s.Address, "stage": s.Stage.String(), "software": loggedSoftware(s.Software), "leaving": s.Leaving, "revision": o.Version,
			}).Info("gateway: server listed.")
		}
		r.entries[o.Name] = entry{server: s}
		r.g.software.observe(s, now)
	}
	if n.Full {
		r.g.view.complete.Store(true)
		for name := range r.entries {
			if !seen[name] {
				r.entryDeleted(name, now)
			}
		}
	}
	r.publish()
}

// shortenGrace shortens the grace if a peer has reached the platform for longer. A
// gateway that was cut off alone would otherwise mistake this for an outage of the
// platform, and keep a server that left meanwhile.
func (r *roster) shortenGrace() {
	peers := r.g.loads.peers
	if peers == nil || !time.Now().Before(r.graceUntil) {
		return
	}
	since := peers.PlatformReachableSince(r.recoveredAt)
	if until := since.Add(expiryGrace); !since.IsZero() && until.Before(r.graceUntil) {
		r.g.log.WithField("answered", milliseconds(time.Since(since))).Info("gateway: a peer reached the platform earlier, grace of expired entries shortened.")
		r.graceUntil = until
	}
}

// entryDeleted removes an entry, or marks it as expired during the grace.
func (r *roster) entryDeleted(name string, now time.Time) {
	m, ok := r.entries[name]
	if !ok {
		return
	}
	if now.Before(r.graceUntil) && !m.server.Leaving {
		if m.expiredAt.IsZero() {
			m.expiredAt = now
			r.entries[name] = m
			r.g.log.WithFields(logrus.Fields{
				"server": serverKey(m.server), "grace": milliseconds(r.graceUntil.Sub(now)),
			}).Info("gateway: server entry expired, kept for the grace period.")
		}
		return
	}
	r.remove(name, now)
}

// remove removes an entry.
func (r *roster) remove(name string, now time.Time) {
	fields := logrus.Fields{"server": serverKey(r.entries[name].server)}
	if expiredAt := r.entries[name].expiredAt; !expiredAt.IsZero() {
		fields["lapsed"] = milliseconds(now.Sub(expiredAt))
	}
	r.g.log.WithFields(fields).Info("gateway: server removed.")
	delete(r.entries, name)
}

// endGrace removes the expired entries once the grace is over.
func (r *roster) endGrace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shortenGrace()
	now := time.Now()
	if now.Before(r.graceUntil) {
		time.AfterFunc(graceTick, r.endGrace)
		return
	}
	for name, m := range r.entries {
		if !m.expiredAt.IsZero() {
			r.remove(name, now)
		}
	}
	r.publish()
}

func (r *roster) publish() {
	list := make([]catalog.Server, 0, len(r.entries))
	for _, m := range r.entries {
		list = append(list, m.server)
	}
	serversListed.Set(uint64(len(list)))
	r.g.SetServers(list)
}
