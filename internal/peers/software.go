package peers

import "strconv"

// ShareSoftware makes the gateway's object carry a digest of the software versions that
// servers had lately, which digest returns, 0 if it isn't known. Each reading passes those in
// all objects, also of earlier processes, to set, and whether it found any object. It must
// be called before Run.
func (m *Members) ShareSoftware(digest func() uint64, set func(digests []uint64, found bool)) {
	m.softwareDigest, m.setDigests = digest, set
}

// RequestRenewal requests a renewal of this gateway's object out of turn. It never blocks.
func (m *Members) RequestRenewal() {
	select {
	case m.renewRequests <- struct{}{}:
	default:
	}
}

func formatDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// parseDigest returns 0 for what isn't a digest.
func parseDigest(text string) uint64 {
	d, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0
	}
	return d
}
