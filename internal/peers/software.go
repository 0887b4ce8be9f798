package peers

import (
	"strconv"

	"jayford.example/jayford/internal/origin"
)

// Served is a software version that servers of a service had lately, as stored. Both are
// hexadecimal hashes.
type Served struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

func encodeServed(list []origin.Served) []Served {
	out := make([]Served, 0, len(list))
	for _, s := range list {
		out = append(out, Served{strconv.FormatUint(s.Service, 16), strconv.FormatUint(s.Software, 16)})
	}
	return out
}

// decodeServed returns the versions in all gateways' objects, and whether each object has
// them.
func decodeServed(list []Peer) (out []origin.Served, complete bool) {
	complete = true
	for _, p := range list {
		complete = complete && p.Software != nil
		for _, s := range p.Software {
			service, errService := strconv.ParseUint(s.Service, 16, 64)
			software, errSoftware := strconv.ParseUint(s.Software, 16, 64)
			if errService != nil || errSoftware != nil {
				complete = false
				continue
			}
			out = append(out, origin.Served{Service: service, Software: software})
		}
	}
	return out, complete
}

// ShareSoftware makes the gateway's object carry the software versions that servers had
// lately, which served returns. The first reading passes those in all objects, also of earlier processes, to
// learn, and whether all objects had them. It must be called before Run.
func (m *Members) ShareSoftware(served func() []origin.Served, learn func(served []origin.Served, complete bool)) {
	m.served, m.learnServed = served, learn
}

// RequestRenewal requests a renewal of this gateway's object out of turn. It never blocks.
func (m *Members) RequestRenewal() {
	select {
	case m.renewRequests <- struct{}{}:
	default:
	}
}
