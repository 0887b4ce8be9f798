package feed

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

const (
	// statusInterval is how often the zone's status is checked for changes: a new
	// version in force, or a process that joined or left, is written then.
	statusInterval = 5 * time.Second
	// statusIdleInterval is how often it is written without such a change, so that its
	// age shows whether it is still being maintained. A status is 23 KB at full size:
	// written every 5 s it would be a third of a node's traffic.
	statusIdleInterval = 30 * time.Second
	statusTimeout      = 4 * time.Second
)

// writtenStatus is the zone's status as this process last wrote it.
type writtenStatus struct {
	at        time.Time
	processes []object.ProcessStatus
	// version of the stored object, valid if versionKnown. It is unknown after a
	// failed write: another process may have written, or the write may have taken
	// effect.
	version      uint64
	versionKnown bool
}

func (w *writtenStatus) due(now time.Time, all []object.ProcessStatus) bool {
	return now.Sub(w.at) >= statusIdleInterval || !slices.EqualFunc(w.processes, all, sameExceptProgress)
}

// sameExceptProgress reports whether a and b differ at most in uptime and revision.
// The store's revision rises with each lease, claim and status written; a change of
// the configuration shows in the digest.
func sameExceptProgress(a, b object.ProcessStatus) bool {
	a.UptimeSeconds, a.Revision = b.UptimeSeconds, b.Revision
	return a == b
}

// Run writes the zone's status while this process is its writer. It returns nil
// when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s.updateStatus(ctx, time.Now())
	}
}

// updateStatus writes the status if this process is the writer and a write is due.
func (s *Server) updateStatus(ctx context.Context, now time.Time) {
	all := s.currentReports()
	if !s.opts.WritesStatus() {
		// Another process is the writer now, so the remembered version is outdated.
		s.written = writtenStatus{}
		return
	}
	if len(all) == 0 || !s.written.due(now, all) {
		return
	}
	if err := s.writeStatus(ctx, all); err != nil {
		if ctx.Err() == nil {
			log.WithError(err).Warn("feed: Writing the zone's status failed.")
		}
		return
	}
	s.written.at = now
	s.written.processes = all
}

// currentReports returns the unexpired reports, sorted by id, and deletes the
// expired ones.
func (s *Server) currentReports() []object.ProcessStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []object.ProcessStatus
	for id, r := range s.reports {
		if time.Since(r.at) > reportTTL {
			delete(s.reports, id)
			continue
		}
		all = append(all, r.status)
	}
	slices.SortFunc(all, func(a, b object.ProcessStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// writeStatus replaces the zone's status object. The next write makes up for one
// that failed or whose outcome is unknown, as a status needs no history.
func (s *Server) writeStatus(ctx context.Context, all []object.ProcessStatus) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	spec, err := json.Marshal(object.Status{
		Format: object.Format, Writer: s.opts.Identity.ID, Time: time.Now().UTC(), Processes: all,
	})
	if err != nil {
		return eris.Wrap(err, "status")
	}
	if err := s.fetchVersion(ctx); err != nil {
		return err
	}
	version, err := s.opts.Platform.Put(ctx, platform.Object{
		Kind: object.KindStatus, Name: s.opts.Identity.AvailabilityZone, Version: s.written.version,
		Operation: platform.NewOperation(), Spec: spec,
	})
	s.written.version, s.written.versionKnown = version, err == nil
	return err
}

// fetchVersion reads the version of the stored object unless this process was the
// last to write it.
func (s *Server) fetchVersion(ctx context.Context) error {
	if s.written.versionKnown {
		return nil
	}
	old, err := s.opts.Platform.Get(ctx, object.KindStatus, s.opts.Identity.AvailabilityZone)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	s.written.version = old.Version
	return nil
}
