package gateway

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/confirm"
)

var (
	storeRelayed = metrics.NewCounter("jayford_gateway_store_relayed")
	relaySent    = metrics.NewCounter("jayford_gateway_store_changes_sent_total")
	relayApplied = metrics.NewCounter("jayford_gateway_store_changes_received_total")
	relayOmitted = metrics.NewCounter("jayford_gateway_store_changes_omitted_total")
	relayMissing = metrics.NewCounter("jayford_gateway_store_changes_missing_total")
	relayInvalid = metrics.NewCounter("jayford_gateway_store_changes_malformed_total")
)

// maxRelayedObjects bounds the objects of one message: more don't fit into a datagram.
const maxRelayedObjects = 200

// tickRelay asks the zone's followers, and decides whether this gateway relies on them.
func (c *confirmations) tickRelay(failing bool) {
	if c.relay == nil {
		return
	}
	c.mu.Lock()
	now := c.now()
	c.relay.SetMembers(c.zone, c.members.zone)
	for _, to := range c.relay.Tick(now) {
		c.sendLocked([]confirm.Envelope{c.machine.Ask(now, to)})
	}
	relayed := c.relay.Relayed(now, failing)
	if relayed != c.relayed {
		c.log.WithFields(logrus.Fields{
			"relayed": relayed, "follower": c.relay.IsChosen(), "serversAge": c.ageLocked(c.sources.ServerKind).Round(time.Millisecond).String(),
		}).Info("gateway: who follows the store changed.")
	}
	c.relayed = relayed
	c.machine.SetPollers(c.pollersLocked(), !relayed)
	c.mu.Unlock()
	storeRelayed.Set(0)
	if relayed {
		storeRelayed.Set(1)
	}
	for _, f := range c.followers {
		f.SetRelayed(relayed)
	}
}

// pollersLocked returns how many gateways poll in turn. One that follows the store in place of its
// zone's followers may be one of many.
func (c *confirmations) pollersLocked() int {
	if c.relay.IsChosen() {
		return len(c.members.followers) + 1
	}
	return len(c.members.all) + 1
}

// markIndirect marks answers of a gateway that doesn't follow the store itself, or isn't answered:
// others mustn't rely on it for changes.
func (c *confirmations) markIndirect(list []confirm.Envelope) []confirm.Envelope {
	for i := range list {
		list[i].Message.Indirect = c.relayed || c.failing
	}
	return list
}

// acceptLocked uses an accepted answer as one of a follower of the zone, if it speaks of both
// kinds.
func (c *confirmations) acceptLocked(a *confirm.Accepted) {
	if c.relay == nil {
		return
	}
	complete, age := 0, time.Duration(0)
	for _, x := range a.Copies {
		if x.Kind == c.sources.ServerKind || x.Kind == c.sources.ConfigKind {
			complete++
			age = max(age, x.Age)
		}
	}
	c.relay.Answered(a.AskedAt, a.From, complete == 2 && !a.Indirect, age)
}

// passOn returns the function that passes changes of a kind on to the gateways of the zone
// that rely on this one.
func (c *confirmations) passOn(kind string) func(follow.Changes) {
	return func(x follow.Changes) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.relay == nil || c.relayed {
			return
		}
		m := &pb.StoreMessage{Changes: encodeChanges(kind, x)}
		for _, to := range c.relay.Recipients() {
			if !c.sharing.Send(to, m) {
				m.Changes.Objects, m.Changes.Omitted = nil, true
				relayOmitted.Inc()
				c.sharing.Send(to, m)
			}
			relaySent.Inc()
		}
	}
}

// receiveChanges applies changes that a follower of the zone passed on, or has the store
// polled if some are missing.
func (c *confirmations) receiveChanges(from string, m *pb.StoreMessage) {
	x := m.Changes
	c.mu.Lock()
	f, relayed, isOn := c.followers[x.Kind], c.relayed, c.relay != nil
	c.mu.Unlock()
	switch {
	case !isOn:
		return
	case f == nil || !validChanges(m):
		relayInvalid.Inc()
		c.log.WithField("from", from).Debug("gateway: malformed changes dropped.")
		return
	case !relayed:
		return
	}
	relayApplied.Inc()
	if x.Omitted || f.ApplyRelayed(decodeChanges(x)) {
		relayMissing.Inc()
		c.requestPoll(x.Kind)
	}
}

// validChanges reports whether a message can be one of a sound peer.
func validChanges(m *pb.StoreMessage) bool {
	x := m.Changes
	if m.Question != 0 || m.Answers != 0 || len(m.Copies) > 0 || x.After >= x.Revision {
		return false
	}
	if x.Omitted == (len(x.Objects) > 0) || len(x.Objects) > maxRelayedObjects {
		return false
	}
	for _, o := range x.Objects {
		if o.Name == "" || o.Version > x.Revision {
			return false
		}
	}
	return true
}

func encodeChanges(kind string, x follow.Changes) *pb.StoreChanges {
	out := &pb.StoreChanges{Kind: kind, After: x.After, Revision: x.Revision}
	if len(x.Objects) > maxRelayedObjects {
		out.Omitted = true
		return out
	}
	for _, o := range x.Objects {
		// A revision that can't be true would make all of the message malformed.
		version := min(o.Version, x.Revision)
		out.Objects = append(out.Objects, &pb.Object{Name: o.Name, Version: version, Deleted: o.Deleted, Spec: o.Spec})
	}
	return out
}

func decodeChanges(x *pb.StoreChanges) follow.Changes {
	out := follow.Changes{After: x.After, Revision: x.Revision}
	for _, o := range x.Objects {
		out.Objects = append(out.Objects, platform.Object{Kind: x.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Spec: o.Spec})
	}
	return out
}

func encodeStore(x confirm.Message) *pb.StoreMessage {
	out := &pb.StoreMessage{Question: x.Question, Answers: x.Answers, Indirect: x.Indirect}
	for _, a := range x.Copies {
		// The age is rounded up: it must not be too small.
		age := (a.Age + time.Microsecond - 1) / time.Microsecond
		out.Copies = append(out.Copies, &pb.StoreCopy{Kind: a.Kind, Changed: a.Changed, AgeUs: uint64(age)})
	}
	return out
}

// decodeStore converts a message. An age that is out of range becomes a negative one, with
// which the message isn't valid.
func decodeStore(m *pb.StoreMessage) confirm.Message {
	out := confirm.Message{Question: m.Question, Answers: m.Answers, Indirect: m.Indirect}
	for _, x := range m.Copies {
		age := time.Duration(-1)
		if x.AgeUs <= math.MaxInt64/uint64(time.Microsecond) {
			age = time.Duration(x.AgeUs) * time.Microsecond
		}
		out.Copies = append(out.Copies, confirm.Answer{Kind: x.Kind, Changed: x.Changed, Age: age})
	}
	return out
}
