package configcheck

import (
	"time"

	"jayford.example/jayford/internal/catalog"
)

// maxTokenLife is how long a gateway keeps a quota's token at most. It is the same as in
// policy/quota, which a test compares.
const maxTokenLife = 24 * time.Hour

// checkOrganisations checks the organisations, their quotas and keys.
func (c *checker) checkOrganisations() {
	c.checkNames(Organisation, "organisation", names(c.Organisations, func(o DeclaredOrganisation) string { return o.Name }))
	for i, o := range c.Organisations {
		c.checkQuota(i, o)
		if len(o.Keys) == 0 {
			c.add(Place{Part: Organisation, Index: i, Field: Keys, Item: AllItems}, Warning, NoKey, "organisation %q has no key, so no request belongs to it", o.Name)
		}
	}
	c.checkSharedKeys()
	c.checkNeedOfKeys()
}

// checkQuota checks an organisation's quota. A gateway leaves an organisation with a
// negative one out.
func (c *checker) checkQuota(i int, o DeclaredOrganisation) {
	place := func(f Field) Place { return Place{Part: Organisation, Index: i, Field: f} }
	q := o.Quota
	for _, x := range []struct {
		field Field
		value float64
	}{{Rate, q.PerSecond}, {Burst, q.Burst}, {PlainCost, q.PlainCost}} {
		if x.value < 0 {
			c.add(place(x.field), Error, BadQuota, "organisation %q: the quota has a negative number", o.Name)
			return
		}
	}
	if c.Places.Faulty(place(Rate)) {
		return
	}
	if !q.IsLimited() {
		if q.Burst > 0 {
			c.add(place(Burst), Warning, BurstUnused, "organisation %q: the burst of %s has no effect, as without a rate nothing is limited", o.Name, number(q.Burst))
		}
		return
	}
	c.checkPlainCost(i, o)
}

// checkPlainCost reports a quota that a request which isn't a generation always exceeds.
// Gateways hold a little more than the burst, by a tolerance in their settings, so some
// such requests may be granted.
func (c *checker) checkPlainCost(i int, o DeclaredOrganisation) {
	if c.Places.Faulty(Place{Part: Organisation, Index: i, Field: PlainCost}) {
		return
	}
	place := Place{Part: Organisation, Index: i, Field: Burst}
	cost := o.Quota.Cost(0)
	switch most := o.Quota.PerSecond * maxTokenLife.Seconds(); {
	case cost > o.Quota.Burst:
		c.add(place, Warning, QuotaTooLow, "organisation %q: a plain request costs %s, more than the burst of %s", o.Name, number(cost), number(o.Quota.Burst))
	case cost > most:
		c.add(place, Warning, QuotaTooLow, "organisation %q: a plain request costs %s, more than the %s that the rate gives in %v, after which tokens expire",
			o.Name, number(cost), number(most), maxTokenLife)
	}
}

// checkSharedKeys reports keys that two organisations declare, which nobody may use, and
// keys that one organisation declares twice.
func (c *checker) checkSharedKeys() {
	first := map[catalog.KeyDigest]Place{}
	for i, o := range c.Organisations {
		for n, key := range o.Keys {
			place := Place{Part: Organisation, Index: i, Field: Keys, Item: n}
			holder, taken := first[key]
			switch {
			case key == catalog.KeyDigest{}:
			case !taken:
				first[key] = place
			case holder.Index == i:
				c.add(place, Note, RepeatedKey, "organisation %q: the key is the one on line %d", o.Name, c.Places.Line(holder))
			default:
				c.add(place, Error, SharedKey, "organisation %q: organisation %q holds the key on line %d too, so nobody may use it",
					o.Name, c.Organisations[holder.Index].Name, c.Places.Line(holder))
			}
		}
	}
}

// checkNeedOfKeys reports keys that no route needs, and routes that need keys where there
// are none.
func (c *checker) checkNeedOfKeys() {
	place := Place{Field: Organisations}
	if c.Config.Organisations == nil || len(c.Config.Routes) == 0 {
		return
	}
	needed := ""
	for _, r := range c.Config.Routes {
		if !r.Open {
			needed = r.Name
			break
		}
	}
	switch {
	case needed == "" && len(c.Organisations) > 0:
		c.add(place, Warning, KeysUnused, "no route needs a key, so organisations and their quotas have no effect")
	case needed != "" && len(c.Organisations) == 0:
		c.add(place, Warning, NoKey, "route %q needs a key, but no organisation is declared, so all its requests are refused", needed)
	}
}
