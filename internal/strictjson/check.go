package strictjson

import (
	"cmp"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// idPattern restricts IDs to characters that are safe in headers, metrics and
// object keys.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsID reports whether s is a valid ID of an instance, object or organisation.
func IsID(s string) bool { return idPattern.MatchString(s) }

// ID rejects the value of key unless it is a valid ID.
func (d *Document) ID(key, value string) {
	if !IsID(value) {
		d.Reject(key, "expected 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or digit")
	}
}

// IsAddress reports whether s is "ip:port". Port 0 is accepted only with
// anyPort, which is meant for listeners.
func IsAddress(s string, anyPort bool) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && (anyPort || a.Port() != 0)
}

// Address rejects the value of key unless it is "ip:port" with a nonzero port.
func (d *Document) Address(key, value string) {
	if !IsAddress(value, false) {
		d.Reject(key, `expected "ip:port" with an IP number, no DNS name`)
	}
}

// Listener rejects the value of key unless it is "ip:port". With port 0 the
// kernel chooses the port.
func (d *Document) Listener(key, value string) {
	if !IsAddress(value, true) {
		d.Reject(key, `expected "ip:port" with an IP number, no DNS name`)
	}
}

// OneOf rejects the value of key unless it is in allowed.
func (d *Document) OneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		d.Reject(key, "expected one of %s", strings.Join(allowed, ", "))
	}
}

// Range rejects the value of key unless it is between lo and hi, inclusive.
func Range[T cmp.Ordered](d *Document, key string, value, lo, hi T) {
	inside := value >= lo && value <= hi // false for NaN
	if !inside {
		d.Reject(key, "expected %v to %v", lo, hi)
	}
}

// Positive rejects the value of key unless it is greater than 0 and at most hi.
func (d *Document) Positive(key string, value, hi float64) {
	inside := value > 0 && value <= hi // false for NaN
	if !inside {
		d.Reject(key, "expected a number over 0, at most %v", hi)
	}
}
