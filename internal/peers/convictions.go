package peers

import (
	"strconv"
	"time"

	"jayford.example/jayford/internal/policy/blame"
)

// maxConvictionLosses bounds the losses in a gateway's object.
const maxConvictionLosses = 24

// Loss is the loss of a server under a request that is refused for it, as stored.
type Loss struct {
	// Request and Server are hexadecimal, as not every JSON decoder keeps 64 bits.
	Request string `json:"request"`
	Server  string `json:"server"`
	// RanMs is for how long the server had run the request, AgeMs how long before the
	// object was written the server was lost, in milliseconds.
	RanMs int64 `json:"ranMs"`
	AgeMs int64 `json:"ageMs"`
}

func encodeLosses(list []blame.Loss, now time.Time) []Loss {
	out := make([]Loss, 0, len(list))
	for _, x := range list {
		out = append(out, Loss{
			Request: strconv.FormatUint(x.Request, 16), Server: strconv.FormatUint(x.Server, 16),
			RanMs: x.Lost.Sub(x.Began).Milliseconds(), AgeMs: now.Sub(x.Lost).Milliseconds(),
		})
	}
	return out
}

// decode returns a stored loss, as if the object had been written at now.
func (l Loss) decode(now time.Time) (blame.Loss, bool) {
	request, errRequest := strconv.ParseUint(l.Request, 16, 64)
	server, errServer := strconv.ParseUint(l.Server, 16, 64)
	if errRequest != nil || errServer != nil || l.RanMs < 0 || l.AgeMs < 0 {
		return blame.Loss{}, false
	}
	lost := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	return blame.Loss{Request: request, Server: server, Lost: lost, Began: lost.Add(-time.Duration(l.RanMs) * time.Millisecond)}, true
}

// ShareConvictions makes the gateway's object carry the losses for which it refuses
// requests, which convictions returns, and passes on those in the objects of others and of
// earlier processes. They outlast an end of all gateways. It must be called before Run.
func (m *Members) ShareConvictions(convictions func(limit int) []blame.Loss, learn func(blame.Loss) bool) {
	m.convictions, m.learn = convictions, learn
}

// PublishConviction requests a renewal of this gateway's object out of turn, unless the
// object has the request's losses already. It never blocks.
func (m *Members) PublishConviction(request uint64) {
	m.mu.Lock()
	known := m.published[request]
	m.mu.Unlock()
	if known {
		return
	}
	select {
	case m.renewRequests <- struct{}{}:
	default:
	}
}
