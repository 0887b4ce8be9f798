package admission

import (
	"fmt"
	"testing"
	"time"

	"jayford.example/jayford/internal/catalog"
)

// BenchmarkIdentify digests a request's key, finds its organisation and checks it again
// before one sending.
func BenchmarkIdentify(b *testing.B) {
	keys := map[string]string{}
	for i := range 440 {
		keys[fmt.Sprintf("asnmgkcuyj8pjbvk%04d", i)] = fmt.Sprint("o", i/2)
	}
	c := Confirmed{Config: configWith(keys), Age: time.Second}
	k := NewChecker(Options{KeyExpiry: 5 * time.Second})
	b.ReportAllocs()
	for b.Loop() {
		creds := catalog.CredentialsOf("asnmgkcuyj8pjbvk0123")
		o, err := k.Identify(c, keyed, creds)
		if err != nil || k.Recheck(c, o, creds) != nil {
			b.Fatal(err)
		}
	}
}
