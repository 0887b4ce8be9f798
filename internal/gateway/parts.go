package gateway

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/verdict"
)

// maxPartNames bounds the parts of prompts whose ids are known.
const maxPartNames = 1024

// partName is what callers call a part of prompts.
type partName struct {
	Model, ID string
	// IsLast: it is the last part, of one request or session.
	IsLast bool
}

func (n partName) hash() uint64 {
	h := xxhash.Sum64String(n.Model + "\x00" + n.ID)
	if n.IsLast {
		return blame.LastPart(h)
	}
	return blame.SharedPart(h)
}

// partNames returns the names of a prompt's parts.
func (g *Generation) partNames() []partName {
	out := make([]partName, 0, len(g.SharedParts)+1)
	for _, id := range g.SharedParts {
		out = append(out, partName{Model: g.Model, ID: id})
	}
	if g.LastPart != "" {
		out = append(out, partName{g.Model, g.LastPart, true})
	}
	return out
}

// partNames has the names of parts that are suspected, by hash. Peers tell only the hashes.
type partNames map[uint64]partName

// add adds the names of a prompt's parts. If there are too many, those of parts that are no
// longer suspected are dropped, and all if that isn't enough.
func (n partNames) add(g *Generation, l *blame.Ledger) {
	if len(n) > maxPartNames {
		maps.DeleteFunc(n, func(part uint64, _ partName) bool { return !l.HasPart(part) })
	}
	if len(n) > maxPartNames {
		clear(n)
	}
	for _, name := range g.partNames() {
		n[name.hash()] = name
	}
}

// formatPart returns a part as it is logged: its hash, with the id if that is known.
func (n partNames) formatPart(part uint64) string {
	if name, ok := n[part]; ok {
		return name.ID
	}
	return "hash " + formatHash(part)
}

func (n partNames) formatParts(parts []uint64) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, n.formatPart(p))
	}
	return out
}

// setSuspects sets what the job is judged by: its fingerprint and the parts of its prompt.
func (j *job) setSuspects() {
	j.attempt = blame.Attempt{Request: j.fingerprint}
	g := j.r.Generation
	if g == nil || len(g.SharedParts) >= blame.MaxParts {
		return
	}
	j.model = uint32(xxhash.Sum64String(g.Model))
	for _, name := range g.partNames() {
		j.parts = append(j.parts, name.hash())
		if name.IsLast {
			j.attempt.LastPart = name.hash()
		}
	}
	j.attempt.Parts = j.parts
}

// sharedParts returns the ids of the prompt's shared parts.
func (j *job) sharedParts() []string {
	if j.r.Generation == nil {
		return nil
	}
	return j.r.Generation.SharedParts
}

// lastPart returns the id of the prompt's last part, "" for none.
func (j *job) lastPart() string {
	if j.r.Generation == nil {
		return ""
	}
	return j.r.Generation.LastPart
}

// recordRun records that an attempt has written events for a while, or is complete, which
// clears the parts of its prompt. It does so once an attempt.
func (c *crashes) recordRun(j *job, a *attempt) {
	if a.proven {
		return
	}
	a.proven = true
	c.endTrial(j, true)
	if len(j.parts) == 0 {
		return
	}
	began := a.wroteAt
	if began.IsZero() {
		began = time.Now()
	}
	c.publish(c.changesBy(func(l *blame.Ledger, now time.Time) {
		l.RecordRun(blame.Run{Model: j.model, Parts: j.parts, Began: began}, now)
	}), "")
}

// name remembers the names of the parts of a job's prompt.
func (c *crashes) name(j *job) {
	if len(j.parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names.add(j.r.Generation, c.ledger)
}

// RecordPeerProof records that a part of prompts is sound, as reported by a peer. It reports
// whether that was unknown before.
func (g *Gateway) RecordPeerProof(x blame.Proof) (isNew bool) {
	g.crashes.publish(g.crashes.changesBy(func(l *blame.Ledger, now time.Time) { isNew = l.RecordProof(x, now) }), "")
	return isNew
}

// refused returns the parts that are refused together with a convicted one.
func (c *crashes) refused(part uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Refused(part)
}

// refusePart refuses a request for a part of its prompt that crashes servers.
func (g *Gateway) refusePart(j *job, part uint64) *verdict.Error {
	g.crashes.name(j)
	g.crashes.mu.Lock()
	with := g.crashes.names.formatParts(g.crashes.ledger.Refused(part))
	name := g.crashes.names.formatPart(part)
	g.crashes.mu.Unlock()
	partRefusals.Inc()
	g.logRequest(j, "gateway: prompt has a part that crashes servers.", logrus.Fields{"part": name, "partHash": formatHash(part), "with": with})
	return verdict.New(verdict.NotRun, verdict.Crashes, "Servers crashed under different prompts with the parts %s.", strings.Join(with, ", "))
}

// ClearPart takes back what is held against a part of prompts, as an operator orders it, and tells
// the peers. hash is as in logs and dumps. It reports whether anything was held.
func (g *Gateway) ClearPart(hash, reason string) (cleared bool, err error) {
	part, err := strconv.ParseUint(hash, 16, 64)
	switch {
	case err != nil:
		return false, eris.Errorf("gateway: %q isn't the hash of a part", hash)
	case strings.TrimSpace(reason) == "":
		return false, eris.New("gateway: a reason is needed")
	}
	g.log.WithFields(logrus.Fields{"partHash": hash, "reason": reason}).Info("gateway: operator clears a part of prompts.")
	g.crashes.use(func(l *blame.Ledger, now time.Time) { cleared = l.ClearPart(part, now) })
	return cleared, nil
}

// logPartChange logs and counts a change of what is held against a part of prompts.
func (c *crashes) logPartChange(x blame.Change) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_part_evidence_total{change=%q}", x.Kind)).Inc()
	c.mu.Lock()
	name, with := c.names.formatPart(x.Part), c.names.formatParts(x.With)
	refusedParts.Set(uint64(c.ledger.RefusedParts()))
	c.mu.Unlock()
	fields := logrus.Fields{
		"part": name, "partHash": formatHash(x.Part), "change": x.Kind.String(), "losses": x.Losses, "counting": x.Counting,
	}
	if x.Kind == blame.ChangeConvicted {
		fields["with"], fields["until"] = with, x.Until.UTC().Format(time.RFC3339)
	}
	c.log.WithFields(fields).Info("gateway: evidence on a part of prompts changed.")
}

// PartDump is what is held against one part of prompts, in the state dump.
type PartDump struct {
	// ID and Model are as callers send them, empty if this gateway has met no such prompt.
	ID, Model string
	// Hash identifies the part, Refused the ids or hashes of the parts that a prompt must have
	// to be refused; none is if it is empty.
	Hash    string
	Refused []string
	// Evidence is what that rests on.
	Evidence blame.PartRecord
}

func (c *crashes) dumpParts() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []PartDump{}
	for _, r := range c.ledger.PartRecords() {
		name := c.names[r.Part]
		out = append(out, PartDump{ID: name.ID, Model: name.Model, Hash: formatHash(r.Part), Refused: c.names.formatParts(r.Refused), Evidence: r})
	}
	return out
}
