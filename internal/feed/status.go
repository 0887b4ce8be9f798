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
	// statusEvery is how often the zone's status is looked at: what an operator
	// waits for, a version in force or a process that came or went, is written
	// then.
	statusEvery = 5 * time.Second
	// statusAtRest is how often it is written though only uptimes have changed,
	// so that its age tells whether somebody still writes it. A status is 23 KB
	// at full size: written each 5 s it would be a third of a node's bytes.
	statusAtRest = 30 * time.Second
	statusTime   = 4 * time.Second
)

// writtenStatus is what this process last wrote of its zone's status.
type writtenStatus struct {
	at        time.Time
	processes []object.ProcessStatus
	// version of the stored object, if known. It is not after a write that
	// failed: another may have written, or the write may have taken effect.
	version uint64
	known   bool
}

func (w *writtenStatus) due(now time.Time, all []object.ProcessStatus) bool {
	return now.Sub(w.at) >= statusAtRest || !slices.EqualFunc(w.processes, all, sameInForce)
}

// sameInForce compares what stands still while nothing happens. Revisions don't:
// they are the store's, which rises with each lease, claim and status written.
// The digest tells a change of the configuration.
func sameInForce(a, b object.ProcessStatus) bool {
	a.UptimeSeconds, a.Revision = b.UptimeSeconds, b.Revision
	return a == b
}

// Run writes the zone's status while this process is the zone's writer. It
// returns nil when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(statusEvery)
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

// updateStatus writes the status if this process is to and it is due.
func (s *Server) updateStatus(ctx context.Context, now time.Time) {
	all := s.current()
	if !s.opts.Writes() {
		// Another writes meanwhile, so what is remembered is no more true.
		s.written = writtenStatus{}
		return
	}
	if len(all) == 0 || !s.written.due(now, all) {
		return
	}
	if err := s.writeStatus(ctx, all); err != nil {
		if ctx.Err() == nil {
			log.WithError(err).Warn("feed: Status wasn't written.")
		}
		return
	}
	s.written.at = now
	s.written.processes = all
}

// current returns the reports that are new enough by id, and forgets the
// others.
func (s *Server) current() []object.ProcessStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []object.ProcessStatus
	for id, r := range s.reports {
		if time.Since(r.at) > reportLife {
			delete(s.reports, id)
			continue
		}
		all = append(all, r.status)
	}
	slices.SortFunc(all, func(a, b object.ProcessStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// writeStatus replaces the zone's status object. Status needs no history: a
// write that fails or is unclear is made good by the next one.
func (s *Server) writeStatus(ctx context.Context, all []object.ProcessStatus) error {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	spec, err := json.Marshal(object.Status{
		Format: object.Format, Writer: s.opts.Identity.ID, Time: time.Now().UTC(), Processes: all,
	})
	if err != nil {
		return eris.Wrap(err, "status")
	}
	if err := s.learnVersion(ctx); err != nil {
		return err
	}
	version, err := s.opts.Platform.Put(ctx, platform.Object{
		Kind: object.KindStatus, Name: s.opts.Identity.AvailabilityZone, Version: s.written.version,
		Operation: platform.NewOperation(), Spec: spec,
	})
	s.written.version, s.written.known = version, err == nil
	return err
}

// learnVersion reads the stored object for its version alone, unless this
// process was the last to write it.
func (s *Server) learnVersion(ctx context.Context) error {
	if s.written.known {
		return nil
	}
	old, err := s.opts.Platform.Get(ctx, object.KindStatus, s.opts.Identity.AvailabilityZone)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	s.written.version = old.Version
	return nil
}
