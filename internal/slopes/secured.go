package slopes

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/identity"
	"jayford.example/jayford/internal/settings"
)

// certLife is longer than any run.
const certLife = 24 * time.Hour

// issue returns the certificate files of a process, or none for connections without
// TLS.
func (b *Bench) issue(role, id string) (settings.TLS, error) {
	if b.authority == "" {
		return settings.TLS{}, nil
	}
	files := identity.Files(b.authority, id)
	if _, err := os.Stat(files.Certificate); err == nil {
		return files, nil
	}
	return files, identity.Issue(b.authority, role, id, certLife)
}

func (b *Bench) identity(role, id string) (identity.Identity, error) {
	files, err := b.issue(role, id)
	if err != nil {
		return identity.Identity{}, err
	}
	return identity.Load(files, role, id)
}

// secure makes all processes started from now on use certificates, until the
// returned function is called.
func (b *Bench) secure() (end func(), err error) {
	dir := filepath.Join(b.dir, "authority")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	b.authority = dir
	return func() { b.authority = "" }, identity.NewAuthority(dir, certLife)
}

// Secured measures the same points without TLS and with TLS between processes.
func Secured(b *Bench) error {
	if err := b.pairs("plain"); err != nil {
		return err
	}
	end, err := b.secure()
	if err != nil {
		return err
	}
	defer end()
	return b.pairs("TLS")
}

func (b *Bench) pairs(how string) error {
	entry := newCostSeries("an entry, answers of 8 s, "+how, "requests/s")
	for _, r := range []float64{0, 2, 5, 10} {
		l, err := b.measureRequests(r, fullModels, answerTime)
		if err != nil {
			return err
		}
		entry.add(r, l.cost)
	}
	entry.print(b, 5)
	agent := newCostSeries("an agent, 1 attempt an entry, "+how, "entries with live grants")
	for _, n := range []int{1, 10, 20, 50} {
		s, err := b.measureGrants(n, 1)
		if err != nil {
			return err
		}
		agent.add(float64(n), s)
	}
	agent.print(b, 20)
	return nil
}
