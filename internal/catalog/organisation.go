package catalog

import (
	"crypto/sha256"
	"strings"
)

// MaxKeyBytes bounds a key's length.
const MaxKeyBytes = 512

// KeyDigest identifies a key without revealing it. Configurations and requests keep only
// digests, so that no log line, dump or error text can show a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key, and false if the key is empty, too long or has
// characters that a header's credentials can't carry.
func DigestKey(key string) (KeyDigest, bool) {
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsAny(key, " \t,\r\n") {
		return KeyDigest{}, false
	}
	return sha256.Sum256([]byte(key)), true
}

// Credentials are what a request presented to identify its organisation. The zero value
// is for a request with no usable key.
type Credentials struct {
	digest  KeyDigest
	present bool
}

// CredentialsOf returns the credentials of a request that presented key.
func CredentialsOf(key string) Credentials {
	d, ok := DigestKey(key)
	return Credentials{digest: d, present: ok}
}

// Quota bounds what an organisation may use, summed over all gateways: PerSecond units
// and Burst units at once. A unit is a token or a request.
type Quota struct {
	PerSecond, Burst float64
	// InTokens: a generation costs its tokens and any other request PlainCost. Otherwise
	// each request costs one unit.
	InTokens  bool
	PlainCost float64
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns what a request costs in units. tokens is 0 if it isn't a generation.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.InTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainCost
}

// Organisation is a customer whose callers identify themselves by keys.
type Organisation struct {
	Name string
	// Priority takes precedence over the route's, which decides among organisations that are as
	// urgent; 0 is the highest. It is meaningless unless
	// HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Organisations are the organisations of a configuration and their keys.
type Organisations struct {
	byKey  map[KeyDigest]*Organisation
	byName map[string]*Organisation
	// Incomplete: some of the organisations or keys couldn't be decoded. An unknown key
	// may belong to one of them.
	Incomplete bool
}

// NewOrganisations returns an empty set.
func NewOrganisations() *Organisations {
	return &Organisations{byKey: map[KeyDigest]*Organisation{}, byName: map[string]*Organisation{}}
}

// Add adds an organisation, and reports false if there is one of that name.
func (o *Organisations) Add(x Organisation) bool {
	if _, ok := o.byName[x.Name]; ok {
		return false
	}
	o.byName[x.Name] = &x
	return true
}

// AddKey adds a key of the named organisation. It reports false if the key is invalid or
// another organisation has it; nobody may use a key of two organisations.
func (o *Organisations) AddKey(name, key string) bool {
	d, ok := DigestKey(key)
	if !ok {
		return false
	}
	holder, taken := o.byKey[d]
	if taken && (holder == nil || holder.Name != name) {
		o.byKey[d] = nil
		return false
	}
	o.byKey[d] = o.byName[name]
	return true
}

// Find returns the organisation that holds the credentials' key, nil if there is none.
func (o *Organisations) Find(c Credentials) *Organisation {
	if !c.present {
		return nil
	}
	return o.byKey[c.digest]
}

// All returns the organisations by name. It must not be changed.
func (o *Organisations) All() map[string]*Organisation { return o.byName }

// Keys returns the number of usable keys.
func (o *Organisations) Keys() int {
	n := 0
	for _, x := range o.byKey {
		if x != nil {
			n++
		}
	}
	return n
}
