package peers

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/platform"
)

// maxUptimeMs and maxTextBytes bound what a gateway's object can truly say. A longer uptime
// would overflow a duration.
const (
	maxUptimeMs  = 100 * 365 * 24 * 3_600_000
	maxTextBytes = 1 << 10
	// maxLoggedBytes bounds an object's name, and the reason why it is invalid, in logs.
	maxLoggedBytes = 256
)

// decodePeer decodes and checks a gateway's object, which another writer may have changed.
func decodePeer(o platform.Object) (Peer, error) {
	var p Peer
	if err := json.Unmarshal(o.Spec, &p); err != nil {
		return Peer{}, err
	}
	switch {
	case p.ID == "" || p.ID != o.Name:
		return Peer{}, eris.New("peers: object of another gateway")
	case len(p.Address) > maxTextBytes || len(p.Quota) > maxTextBytes || len(p.AvailabilityZone) > maxTextBytes:
		return Peer{}, eris.New("peers: text that is too long")
	case p.UptimeMs < 0 || p.UptimeMs > maxUptimeMs:
		return Peer{}, eris.New("peers: impossible uptime")
	}
	return p, nil
}

// warnInvalidLocked logs an invalid object, unless the last reading had the same one.
func (m *Members) warnInvalidLocked(o platform.Object, err error) {
	if version, ok := m.invalid[o.Name]; ok && version == o.Version {
		return
	}
	m.log.WithField("object", cut(o.Name)).WithField("cause", cut(err.Error())).Warn("peers: invalid object.")
}

// cut returns the start of a text that another writer may have made long.
func cut(text string) string { return text[:min(len(text), maxLoggedBytes)] }
