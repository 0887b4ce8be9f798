package quota

import "time"

const (
	// maxReadingAge is the age of a reading of the list of gateways up to which a gateway
	// relies on it. It covers two renewals and a lost call.
	maxReadingAge = 30 * time.Second
	// joinAfter is how long after its registration a gateway counts as known to all that
	// rely on their readings.
	joinAfter = 35 * time.Second
	// MaxSilence is how long a gateway that can't read the list goes on creating.
	MaxSilence = 9 * time.Minute
	// ForgetAfter is how long a gateway that doesn't renew its entry is counted. It has
	// stopped creating by then.
	ForgetAfter = 10 * time.Minute
	// silentFraction is the fraction of the listed gateways that needn't have answered a
	// starting one: some entries are of gateways that are gone.
	silentFraction = 0.1
	// outOfTouchDivisor divides the fraction of a gateway whose reading is too old, for
	// the gateways that may have come since.
	outOfTouchDivisor = 2
)

// Shares decides which fraction of each organisation's rate a gateway creates.
//
// The fractions of all gateways sum to 1 or less if each creating gateway counts all
// others that create. A starting gateway creates only after the listed gateways have
// answered it, and they answer only gateways that they list; or once it has been
// registered for so long that all who rely on their readings list it. Of two that start
// at once, the one that registers later reads the other's entry.
//
// What isn't covered: a tenth of the listed gateways may be silent at a start, and a
// fleet may grow while some of its gateways can't read the list. If it at most doubles in
// that time, the sum stays within 1.1.
type Shares struct {
	self string
	// listed are the gateways of the last reading, answered those that have answered since
	// this process started.
	listed, answered map[string]bool
	// read is the time as of which the list is complete, registered when this gateway
	// first was in it; zero if unknown.
	read, registered time.Duration
	joined           bool
}

// NewShares returns the Shares of the gateway self.
func NewShares(self string) *Shares {
	return &Shares{self: self, listed: map[string]bool{}, answered: map[string]bool{}}
}

// SetListed sets the listed gateways, complete as of read.
func (s *Shares) SetListed(ids []string, read, now time.Duration) {
	s.listed = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.listed[id] = true
	}
	s.read = max(s.read, read)
	if s.registered == 0 && s.listed[s.self] {
		s.registered = now
	}
}

// Answered records a message of another gateway, which shows that it lists this one.
func (s *Shares) Answered(id string) { s.answered[id] = true }

// Unanswered returns the listed gateways that haven't answered yet, none once this
// gateway creates its share.
func (s *Shares) Unanswered() []string {
	if s.joined {
		return nil
	}
	var out []string
	for id := range s.listed {
		if id != s.self && !s.answered[id] {
			out = append(out, id)
		}
	}
	return out
}

// Fraction returns the fraction of each organisation's rate that this gateway creates.
func (s *Shares) Fraction(now time.Duration) float64 {
	if !s.listed[s.self] || s.read == 0 {
		return 0
	}
	age := now - s.read
	if age > MaxSilence {
		s.joined, s.registered = false, 0
		clear(s.answered)
		return 0
	}
	if !s.joined {
		s.joined = float64(len(s.Unanswered())) <= silentFraction*float64(len(s.listed)) || now-s.registered >= joinAfter
	}
	switch n := float64(len(s.listed)); {
	case !s.joined:
		return 0
	case age > maxReadingAge:
		return 1 / n / outOfTouchDivisor
	default:
		return 1 / n
	}
}
