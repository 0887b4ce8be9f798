package peers

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"jayford.example/jayford/internal/policy/blame"
)

// maxConvictionLosses bounds the losses in a gateway's object.
const maxConvictionLosses = 24

// maxUnixMs is the last millisecond of the year 9999.
const maxUnixMs = 253_402_300_799_999

// Loss is the loss of a server under a request that is refused for it, as stored.
type Loss struct {
	// Request and Server are hexadecimal, as not every JSON decoder keeps 64 bits.
	Request string `json:"request"`
	Server  string `json:"server"`
	// RanMs is for how long the server had run the request, in milliseconds, LostMs when
	// it was lost, in Unix milliseconds.
	RanMs  int64 `json:"ranMs"`
	LostMs int64 `json:"lostMs"`
	// ID distinguishes the losses of one server under one request.
	ID uint32 `json:"id,omitempty"`
	// Parts are hexadecimal: those that are refused together. The loss convicts the request
	// itself if there are none. Model is a hash of the model's name.
	Parts []string `json:"parts,omitempty"`
	Model uint32   `json:"model,omitempty"`
}

func encodeLosses(list []blame.Loss) []Loss {
	out := make([]Loss, 0, len(list))
	for _, x := range list {
		out = append(out, Loss{
			Request: strconv.FormatUint(x.Request, 16), Server: strconv.FormatUint(x.Server, 16),
			RanMs: x.Lost.Sub(x.Began).Milliseconds(), LostMs: x.Lost.UnixMilli(), ID: x.ID, Parts: encodeParts(x.Parts), Model: x.Model,
		})
	}
	return out
}

// maxLossAge bounds how long ago a loss was, and for how long its server had run the request: a
// longer time could overflow.
const maxLossAge = 365 * 24 * time.Hour

// decodeLosses returns the losses of one object, as read at now. Its writer's clock may be
// ahead: no loss is later than now. Losses of impossible times, and those beyond
// maxConvictionLosses, are left out.
func decodeLosses(list []Loss, now time.Time) []blame.Loss {
	list = slices.DeleteFunc(slices.Clone(list), func(l Loss) bool {
		return l.LostMs < 0 || l.LostMs > maxUnixMs || l.RanMs < 0 || l.RanMs > maxLossAge.Milliseconds()
	})
	list = list[:min(len(list), maxConvictionLosses)]
	latest := now.UnixMilli()
	for _, l := range list {
		latest = max(latest, l.LostMs)
	}
	var out []blame.Loss
	for _, l := range list {
		request, errRequest := strconv.ParseUint(l.Request, 16, 64)
		server, errServer := strconv.ParseUint(l.Server, 16, 64)
		parts, errParts := decodeParts(l.Parts)
		if errRequest != nil || errServer != nil || errParts != nil {
			continue
		}
		lost := now.Add(-time.Duration(min(latest-l.LostMs, maxLossAge.Milliseconds())) * time.Millisecond)
		out = append(out, blame.Loss{
			Request: request, Server: server, Lost: lost, Began: lost.Add(-time.Duration(l.RanMs) * time.Millisecond), Convicted: true, ID: l.ID,
			Parts: parts, Model: l.Model,
		})
	}
	return out
}

var errTooManyParts = errors.New("peers: a loss with too many parts")

func encodeParts(parts []uint64) []string {
	var out []string
	for _, p := range parts {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return out
}

func decodeParts(list []string) ([]uint64, error) {
	if len(list) > blame.MaxParts {
		return nil, errTooManyParts
	}
	var out []uint64
	for _, text := range list {
		p, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// ShareConvictions makes the gateway's object carry the losses for which it refuses
// requests, which convictions returns, and passes on those in the objects of others and of
// earlier processes. They outlast an end of all gateways. It must be called before Run.
func (m *Members) ShareConvictions(convictions func(limit int) []blame.Loss, learn func(blame.Loss) bool) {
	m.convictions, m.learn = convictions, learn
}

// PublishConviction requests a renewal of this gateway's object out of turn, unless the
// object has the losses of the conviction with this key already. It never blocks.
func (m *Members) PublishConviction(key uint64) {
	m.mu.Lock()
	known := m.published[key]
	m.mu.Unlock()
	if known {
		return
	}
	m.RequestRenewal()
}
