package blame

import "math/rand/v2"

// maxLossID keeps a loss's id within two bytes of a datagram. A request has few losses at one
// server.
const maxLossID = 1<<14 - 1

// MaxParts bounds the parts of a Loss: 32 shared ones and the last one.
const MaxParts = 33

// lastPartBit marks the hashes of last parts.
const lastPartBit = 1 << 63

// SharedPart returns the hash by which a Ledger knows a part that prompts share, given a hash of its
// id and model.
func SharedPart(hash uint64) uint64 { return hash &^ lastPartBit }

// LastPart is SharedPart for the last part of a prompt, which belongs to one request or session.
func LastPart(hash uint64) uint64 { return hash | lastPartBit }

// IsLastPart reports whether a part is the last one of prompts.
func IsLastPart(part uint64) bool { return part&lastPartBit != 0 }

// NewLossID returns the ID for a new Loss.
func NewLossID() uint32 { return 1 + rand.Uint32N(maxLossID) }

// isSame reports whether both are reports of one loss.
func (x Loss) isSame(o Loss) bool {
	return x.Request == o.Request && x.Server == o.Server && x.ID == o.ID
}

// isSameCrash reports whether one crash of a server explains both losses, of any requests.
func (x Loss) isSameCrash(o Loss) bool {
	return x.Server == o.Server && !x.Began.After(o.Lost.Add(maxReportDelay)) && !o.Began.After(x.Lost.Add(maxReportDelay))
}

// follows reports whether the run began after the other one was lost. At the same server it
// can have begun only at the next start.
func (x Loss) follows(o Loss) bool {
	if x.Server == o.Server {
		return !x.Began.Before(o.Lost.Add(minRestartTime / 2))
	}
	return x.Began.Add(overlapTolerance).After(o.Lost)
}

// ConvictionKey returns the key of the conviction that the loss is told for: of the request, or of
// the parts that are refused together.
func (x Loss) ConvictionKey() uint64 {
	if len(x.Parts) > 0 {
		return PartsKey(x.Parts)
	}
	return x.Request
}

// PartsKey returns the key of a conviction of parts, which are in ascending order. It changes when
// they are told apart.
func PartsKey(parts []uint64) uint64 {
	const prime = 1099511628211 // of FNV-1a
	var key uint64
	for _, p := range parts {
		key = key*prime ^ p
	}
	return key
}

// convictsParts reports whether the reporter refuses prompts with all of the parts, and
// convictsRequest whether it refuses the request itself.
func (x Loss) convictsParts() bool { return x.Convicted && !x.Disproved && len(x.Parts) > 0 }

func (x Loss) convictsRequest() bool { return x.Convicted && !x.Disproved && len(x.Parts) == 0 }
