package catalog

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOrganisationsByKey(t *testing.T) {
	o := NewOrganisations()
	assert.Assert(t, o.Add(Organisation{Name: "one"}))
	assert.Assert(t, o.Add(Organisation{Name: "two"}))
	assert.Assert(t, !o.Add(Organisation{Name: "one"}))
	assert.Assert(t, o.AddKey("one", "k1"))
	assert.Assert(t, o.AddKey("one", "k1"))
	assert.Assert(t, o.AddKey("two", "k2"))
	assert.Equal(t, o.Find(CredentialsOf("k1")).Name, "one")
	assert.Equal(t, o.Find(CredentialsOf("k2")).Name, "two")
	assert.Assert(t, o.Find(CredentialsOf("k3")) == nil)
	assert.Assert(t, o.Find(Credentials{}) == nil)
	for _, bad := range []string{"", "a b", "a,b", "a\nb", strings.Repeat("x", MaxKeyBytes+1)} {
		assert.Assert(t, !o.AddKey("one", bad), "%q", bad)
		assert.Assert(t, o.Find(CredentialsOf(bad)) == nil, "%q", bad)
	}
	assert.Equal(t, o.Keys(), 2)
}

// Guards against a key that lets one organisation act as another.
func TestKeyOfTwoOrganisationsIsNobodys(t *testing.T) {
	o := NewOrganisations()
	o.Add(Organisation{Name: "one"})
	o.Add(Organisation{Name: "two"})
	assert.Assert(t, o.AddKey("one", "k"))
	assert.Assert(t, !o.AddKey("two", "k"))
	assert.Assert(t, !o.AddKey("one", "k"))
	assert.Assert(t, o.Find(CredentialsOf("k")) == nil)
	assert.Equal(t, o.Keys(), 0)
}

// Guards against keys in dumps and log lines.
func TestPrintedOrganisationsShowNoKey(t *testing.T) {
	o := NewOrganisations()
	o.Add(Organisation{Name: "one"})
	o.AddKey("one", "secret-key")
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		assert.Assert(t, !strings.Contains(fmt.Sprintf(format, o), "secret-key"))
		assert.Assert(t, !strings.Contains(fmt.Sprintf(format, CredentialsOf("secret-key")), "secret-key"))
	}
}

func TestQuotaCost(t *testing.T) {
	tokens := Quota{PerSecond: 10, InTokens: true, PlainCost: 200}
	assert.Equal(t, tokens.Cost(3200), 3200.0)
	assert.Equal(t, tokens.Cost(0), 200.0)
	assert.Equal(t, Quota{PerSecond: 10}.Cost(3200), 1.0)
	assert.Assert(t, tokens.IsLimited())
	assert.Assert(t, !Quota{Burst: 5}.IsLimited())
}
