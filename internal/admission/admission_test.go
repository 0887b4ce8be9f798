package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// configWith returns a configuration in which each key belongs to the organisation of the
// same index.
func configWith(keys map[string]string) *catalog.Config {
	o := catalog.NewOrganisations()
	for key, name := range keys {
		o.Add(catalog.Organisation{Name: name})
		o.AddKey(name, key)
	}
	return &catalog.Config{Organisations: o}
}

var (
	keyed = &catalog.Route{Name: "keyed"}
	open  = &catalog.Route{Name: "open", Open: true}
)

func TestIdentify(t *testing.T) {
	c := configWith(map[string]string{"k1": "one", "k2": "two"})
	incomplete := configWith(map[string]string{"k1": "one"})
	incomplete.Organisations.Incomplete = true
	strict, lax := NewChecker(Options{KeyExpiry: 5 * time.Second}), NewChecker(Options{})
	for _, x := range []struct {
		name         string
		checker      Checker
		config       *catalog.Config
		route        *catalog.Route
		key          string
		age          time.Duration
		organisation string
		code         verdict.Code
	}{
		{name: "known", checker: strict, config: c, route: keyed, key: "k2", organisation: "two"},
		{name: "unknown", checker: strict, config: c, route: keyed, key: "k3", code: verdict.Unauthorized},
		{name: "none", checker: strict, config: c, route: keyed, code: verdict.Unauthorized},
		{name: "open route", checker: strict, config: c, route: open, key: "k1", age: time.Hour},
		{name: "no organisations", checker: strict, config: &catalog.Config{}, route: keyed, age: time.Hour},
		{name: "unconfirmed", checker: strict, config: c, route: keyed, key: "k1", age: 5 * time.Second, code: verdict.PlatformDown},
		{name: "unconfirmed without bound", checker: lax, config: c, route: keyed, key: "k1", age: time.Hour, organisation: "one"},
		{name: "unknown in an old one", checker: lax, config: c, route: keyed, key: "k3", age: time.Hour, code: verdict.PlatformDown},
		{name: "unknown in an incomplete one", checker: strict, config: incomplete, route: keyed, key: "k3", code: verdict.PlatformDown},
		{name: "known in an incomplete one", checker: strict, config: incomplete, route: keyed, key: "k1", organisation: "one"},
	} {
		t.Run(x.name, func(t *testing.T) {
			o, err := x.checker.Identify(Confirmed{x.config, x.age}, x.route, catalog.CredentialsOf(x.key))
			if x.code != "" {
				assert.Equal(t, err.Code, x.code)
				assert.Equal(t, err.Verdict, verdict.NotRun)
				assert.Equal(t, err.RetryAfter > 0, x.code != verdict.Unauthorized)
				return
			}
			assert.Assert(t, err == nil)
			name := ""
			if o != nil {
				name = o.Name
			}
			assert.Equal(t, name, x.organisation)
		})
	}
}

// Guards against a request that is sent for an organisation whose key was removed, or
// passed to another organisation, while the request waited.
func TestKeyRemovedWhileWaiting(t *testing.T) {
	k, creds := NewChecker(Options{KeyExpiry: 5 * time.Second}), catalog.CredentialsOf("k1")
	before := configWith(map[string]string{"k1": "one"})
	o, err := k.Identify(Confirmed{Config: before}, keyed, creds)
	assert.Assert(t, err == nil)
	assert.Assert(t, k.Recheck(Confirmed{Config: before}, o, creds) == nil)
	assert.Assert(t, k.Recheck(Confirmed{Config: configWith(map[string]string{"k1": "one", "k2": "two"})}, o, creds) == nil)
	assert.Equal(t, k.Recheck(Confirmed{Config: configWith(map[string]string{"k2": "one"})}, o, creds).Code, verdict.Unauthorized)
	assert.Equal(t, k.Recheck(Confirmed{Config: configWith(map[string]string{"k1": "two"})}, o, creds).Code, verdict.Unauthorized)
	assert.Equal(t, k.Recheck(Confirmed{Config: before, Age: 5 * time.Second}, o, creds).Code, verdict.PlatformDown)
}

// A removed key is refused within Options.KeyExpiry whatever happens to the calls that
// confirm the configuration: they are slow, lost, answered with any state between their
// start and their end, or answered late because the machine was suspended.
func TestRemovedKeysExpireUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expiry := time.Duration(rapid.IntRange(1000, 10_000).Draw(t, "expiryMs")) * time.Millisecond
		k := NewChecker(Options{KeyExpiry: expiry})
		step := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		// removed[i] is when the i-th key was removed from the platform.
		removed := make([]time.Duration, rapid.IntRange(1, 5).Draw(t, "keys"))
		for i := range removed {
			removed[i] = step("removed", 30_000)
		}
		stateAt := func(at time.Duration) *catalog.Config {
			keys := map[string]string{"stays": "kept"}
			for i, r := range removed {
				if at < r {
					keys[fmt.Sprint("k", i)] = fmt.Sprint("o", i)
				}
			}
			return configWith(keys)
		}
		config, confirmedAt := stateAt(0), time.Duration(0)
		for now := time.Duration(0); now < 40*time.Second; {
			began := now
			read := began + step("read", 2500)
			answered := read + step("suspended", 4000)
			isLost := rapid.Bool().Draw(t, "lost")
			for at := began; at < answered; at += 50 * time.Millisecond {
				for i, r := range removed {
					c := Confirmed{config, at - confirmedAt}
					o, err := k.Identify(c, keyed, catalog.CredentialsOf(fmt.Sprint("k", i)))
					if err == nil {
						assert.Assert(t, at < r+expiry, "key removed at %v accepted at %v", r, at)
						assert.Assert(t, k.Recheck(c, o, catalog.CredentialsOf(fmt.Sprint("k", i))) == nil)
					}
				}
			}
			if !isLost {
				config, confirmedAt = stateAt(read), began
			}
			now = answered + time.Millisecond
		}
	})
}

// Guards against a bound that is so short that it counts as none.
func TestShortBoundIsABound(t *testing.T) {
	c := configWith(map[string]string{"k1": "one"})
	for _, expiry := range []time.Duration{time.Millisecond, keyExpiryMargin} {
		_, err := NewChecker(Options{KeyExpiry: expiry}).Identify(Confirmed{c, time.Hour}, keyed, catalog.CredentialsOf("k1"))
		assert.Assert(t, err != nil && err.Code == verdict.PlatformDown, "%v", expiry)
	}
}
