package configcheck

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
)

// successor returns a draft that differs from newDraft in its version alone.
func successor() Draft {
	d := newDraft()
	d.Config.Version++
	return d
}

// predecessor returns newDraft as the version in force.
func predecessor() Draft {
	d := newDraft()
	d.File = "old"
	return d
}

func texts(list []Finding) []string {
	var out []string
	for _, f := range list {
		_, text, _ := strings.Cut(f.String(), ": ")
		out = append(out, f.File+" "+text)
	}
	return out
}

func TestCompareTellsWhatDiffers(t *testing.T) {
	now, before := successor(), predecessor()
	now.Config.Routes[0].Name = "renamed"
	now.Config.Routes[1].Targets[0].Weight = 47000000
	now.Services[1].Engine = nil
	now.Config.Limits.BodyBytes = 7
	now.Organisations[0].Quota.Burst = 50000
	now.Organisations[0].Keys = []catalog.KeyDigest{digest("k2"), digest("k7"), digest("k8"), {}}
	now.Organisations[1].Name = "three"
	complete(&now)
	assert.DeepEqual(t, texts(Compare(now, before)), []string{
		`new note: route "renamed" is added`,
		`new note: route "chat" changes: services from model (weight 90), model-b (weight 10) to model (weight 47000000), model-b (weight 10)`,
		`old note: route "plain" is removed`,
		`new note: service "model" changes: engines from true to false; slots from 64 to 0; KV cache from 46387 to 0`,
		`new note: limits change: body bytes from 1048576 to 7`,
		`new note: organisation "one" changes: burst from 47000 to 50000; 2 keys added, 1 removed`,
		`new note: organisation "three" is added`,
		`old note: organisation "two" is removed`,
	})
}

func TestCompareTellsWhetherKeysAreNeeded(t *testing.T) {
	now, before := successor(), predecessor()
	now.Organisations = nil
	complete(&now)
	assert.Equal(t, texts(Compare(now, before))[0], "new note: requests need no keys any more")
	before.Config.Version, now.Config.Version = now.Config.Version, before.Config.Version
	assert.Equal(t, texts(Compare(before, now))[0], "old note: requests need keys, which they didn't before")
}

// Guards against a version that gateways ignore: they put only higher ones in force.
func TestVersionMustBeHigher(t *testing.T) {
	for _, v := range []uint64{6, 7} {
		now := withVersion(newDraft(), v)
		found := Compare(now, predecessor())
		assert.Equal(t, len(found), 1)
		assert.Equal(t, found[0].Code, VersionNotHigher)
		assert.Equal(t, found[0].Severity, Error)
		now.Places = testPlaces{faulty: map[Place]bool{{Field: Version}: true}}
		assert.Equal(t, len(Compare(now, predecessor())), 0)
	}
	assert.Equal(t, len(Compare(successor(), predecessor())), 0)
}

func TestIncompleteDifferenceIsTold(t *testing.T) {
	before := predecessor()
	before.Faults = []Finding{{File: "old", Line: 3, Severity: Error, Code: Malformed}}
	assert.DeepEqual(t, texts(Compare(successor(), before)), []string{"old note: 1 fields can't be decoded, so the difference may be incomplete"})
}

// Guards against differences between entries that only share a missing name, and against
// those of a repeated entry, which Check reports.
func TestCompareTakesTheFirstEntryOfAName(t *testing.T) {
	now, before := successor(), predecessor()
	for _, d := range []*Draft{&now, &before} {
		d.Config.Routes = append(d.Config.Routes, catalog.Route{Name: "plain", Host: "other.example"})
	}
	now.Config.Routes[2].Host = "third.example"
	assert.Equal(t, len(Compare(now, before)), 0, "%v", texts(Compare(now, before)))
	now.Config.Routes = append(now.Config.Routes, catalog.Route{})
	assert.Equal(t, len(Compare(now, before)), 0, "%v", texts(Compare(now, before)))
	assert.Equal(t, len(Compare(withVersion(before, 9), now)), 0, "%v", texts(Compare(before, now)))
}

// Guards against a new field of the configuration that the comparison leaves out.
func TestEachFieldIsCompared(t *testing.T) {
	parts := map[string]func(*Draft) any{
		"route":        func(d *Draft) any { return &d.Config.Routes[1] },
		"service":      func(d *Draft) any { return &d.Services[1] },
		"engine":       func(d *Draft) any { return d.Services[1].Engine },
		"limits":       func(d *Draft) any { return &d.Config.Limits },
		"organisation": func(d *Draft) any { return &d.Organisations[0].Organisation },
		"quota":        func(d *Draft) any { return &d.Organisations[0].Quota },
	}
	for part, get := range parts {
		x := newDraft()
		for i := range reflect.ValueOf(get(&x)).Elem().NumField() {
			now := successor()
			f := reflect.ValueOf(get(&now)).Elem()
			name := f.Type().Field(i).Name
			switch {
			case name == "Priority" && part == "organisation":
				// It is meaningless without the next field.
				now.Organisations[0].HasPriority = true
			case !change(f.Field(i)):
				continue
			}
			complete(&now)
			assert.Assert(t, len(Compare(now, predecessor())) > 0, "%s of %s", name, part)
		}
	}
}

// change changes a value, and reports false for a struct, whose fields are parts of their
// own.
func change(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Slice, reflect.Pointer:
		v.SetZero()
	case reflect.Struct:
		return false
	default:
		panic("field of kind " + v.Kind().String())
	}
	return true
}
