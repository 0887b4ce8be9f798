// Package admission finds the organisation that a caller's key belongs to, and decides
// whether the configuration at hand can still be relied on for that.
//
// It guarantees:
//   - A request runs for an organisation only if its key was in the newest configuration
//     at some moment within Options.KeyExpiry before the check. The age is measured on
//     this machine's own clock, which counts suspension, from the start of the call to the
//     platform that confirmed the configuration.
//   - A key is called unknown only if the newest configuration is confirmed and complete.
//     Otherwise the request is refused as not run and may succeed later.
//
// The package does no I/O and reads no clock.
package admission

import (
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

const (
	// keyExpiryMargin is the part of Options.KeyExpiry kept for the way of a request
	// from the check to its server.
	keyExpiryMargin = 200 * time.Millisecond
	// unknownKeyMaxAge is the age of a configuration up to which it can tell that a key
	// is unknown: a key may have been added since.
	unknownKeyMaxAge = 10 * time.Second
	// unconfirmedRetryAfter is the Retry-After while the configuration isn't confirmed:
	// other gateways may have confirmed theirs.
	unconfirmedRetryAfter = 500 * time.Millisecond
)

// Options of a Checker.
type Options struct {
	// KeyExpiry bounds how long after its removal a key may still be accepted, also while
	// the platform can't be reached; 0 for no bound.
	KeyExpiry time.Duration
}

// Confirmed is a configuration and its age: the time since it is known to have been the
// newest.
type Confirmed struct {
	Config *catalog.Config
	Age    time.Duration
}

// Checker checks callers' keys.
type Checker struct {
	// maxAge is the age from which a configuration doesn't tell of keys any more, if
	// isBound is set.
	maxAge  time.Duration
	isBound bool
}

// NewChecker returns a Checker.
func NewChecker(o Options) Checker {
	return Checker{maxAge: o.KeyExpiry - keyExpiryMargin, isBound: o.KeyExpiry > 0}
}

// RequiresKey reports whether a request of the route needs a key.
func RequiresKey(c *catalog.Config, r *catalog.Route) bool {
	return c.Organisations != nil && !r.Open
}

// Identify returns the organisation that a request belongs to, nil if its route needs no
// key.
func (k Checker) Identify(c Confirmed, r *catalog.Route, creds catalog.Credentials) (*catalog.Organisation, *verdict.Error) {
	if !RequiresKey(c.Config, r) {
		return nil, nil
	}
	if k.expired(c.Age) {
		return nil, verdict.New(
			verdict.NotRun, verdict.PlatformDown, "The configuration can't be confirmed, so keys can't be checked.",
		).WithRetryAfter(unconfirmedRetryAfter)
	}
	if o := c.Config.Organisations.Find(creds); o != nil {
		return o, nil
	}
	if c.Config.Organisations.Incomplete || c.Age > unknownKeyMaxAge {
		return nil, verdict.New(
			verdict.NotRun, verdict.PlatformDown, "The key isn't known here, but the configuration may lack it.",
		).WithRetryAfter(unconfirmedRetryAfter)
	}
	return nil, verdict.New(verdict.NotRun, verdict.Unauthorized, "The request has no key, or one that no organisation holds.")
}

// Recheck checks just before a request of organisation o is sent that o still holds its
// key. Requests of a route that needs no key have no organisation and always pass.
func (k Checker) Recheck(c Confirmed, o *catalog.Organisation, creds catalog.Credentials) *verdict.Error {
	if o == nil {
		return nil
	}
	if k.expired(c.Age) {
		return verdict.New(
			verdict.NotRun, verdict.PlatformDown, "The configuration can't be confirmed any more, so keys can't be checked.",
		).WithRetryAfter(unconfirmedRetryAfter)
	}
	if c.Config.Organisations == nil {
		return nil
	}
	if now := c.Config.Organisations.Find(creds); now == nil || now.Name != o.Name {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "The key was taken out of service while the request waited.")
	}
	return nil
}

// ExpiresWithin reports whether keys can't be checked any more in a time from now unless the
// configuration is confirmed until then.
func (k Checker) ExpiresWithin(c Confirmed, d time.Duration) bool {
	return c.Config != nil && c.Config.Organisations != nil && k.expired(c.Age+d)
}

func (k Checker) expired(age time.Duration) bool { return k.isBound && age >= k.maxAge }
