package object

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Priorities of a request.
const (
	PriorityInteractive = "interactive"
	PriorityBatch       = "batch"
)

// maxWeight bounds weights and shares so that their sums can't overflow.
const maxWeight = 1_000_000

var (
	nameSyntax       = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)
	labelKeySyntax   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._/-]{0,61}[a-z0-9])?$`)
	labelValueSyntax = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]{0,126}[A-Za-z0-9])?$`)
)

// ConfigurationKinds returns the kinds that make up the configuration of every
// process: those that operators write, and convictions.
func ConfigurationKinds() []string {
	return []string{KindServer, KindPool, KindSelector, KindIntent, KindOrganisation, KindConviction}
}

// IsConfiguration reports whether kind is one of ConfigurationKinds.
func IsConfiguration(kind string) bool {
	return slices.Contains(ConfigurationKinds(), kind)
}

// CheckName returns an error if name is not a valid object name.
func CheckName(name string) error {
	if !nameSyntax.MatchString(name) {
		return eris.Errorf("name: %q must be 1 to 128 of A-Z a-z 0-9 . _ - and begin and end with a letter or digit", name)
	}
	return nil
}

// Parse decodes the spec of an object of the given kind and validates it. Unknown
// fields are an error. The result is a value of the kind's type (Server, Pool,
// ...). An error begins with the kind and names the invalid field.
func Parse(kind string, spec []byte) (any, error) {
	v, err := parse(kind, spec)
	if err != nil {
		return nil, eris.Wrap(err, kind)
	}
	return v, nil
}

func parse(kind string, spec []byte) (any, error) {
	switch kind {
	case KindServer:
		return decode(spec, Server.check)
	case KindPool:
		return decode(spec, Pool.check)
	case KindSelector:
		return decode(spec, Selector.check)
	case KindIntent:
		return decode(spec, Intent.check)
	case KindOrganisation:
		return decode(spec, Organisation.check)
	case KindConviction:
		return decode(spec, Conviction.check)
	case KindClaims:
		return decode(spec, func(c Claims) error { return checkFormat(c.Format) })
	case KindLease:
		return decode(spec, Lease.check)
	case KindStatus:
		return decode(spec, func(s Status) error { return checkFormat(s.Format) })
	default:
		return nil, eris.Errorf("kind: %q is unknown", kind)
	}
}

func decode[T any](spec []byte, check func(T) error) (any, error) {
	var v T
	if err := decodeStrict(spec, &v); err != nil {
		return nil, err
	}
	if err := check(v); err != nil {
		return nil, err
	}
	return v, nil
}

func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(err, "spec")
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.New("spec: unexpected data after the JSON object")
	}
	return nil
}

func checkFormat(f int) error {
	if f != Format {
		return eris.Errorf("format: version %d is not supported, must be %d", f, Format)
	}
	return nil
}

// maxLeaseTerm is the longest term that settings allow.
const maxLeaseTerm = time.Hour

// check rejects a term that no process has set. A lease of centuries would never be taken over.
func (l Lease) check() error {
	if l.Term < 0 || l.Term > maxLeaseTerm {
		return eris.Errorf("termNanoseconds: %d must be 0 to %d", l.Term, maxLeaseTerm)
	}
	return checkFormat(l.Format)
}

func checkLabels(field string, labels map[string]string) error {
	keys := make([]string, 0, len(labels))
	for k := range labels {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if !labelKeySyntax.MatchString(k) {
			return eris.Errorf("%s: %q is not a valid label key", field, k)
		}
		if !labelValueSyntax.MatchString(labels[k]) {
			return eris.Errorf("%s.%s: %q is not a valid label value", field, k, labels[k])
		}
	}
	return nil
}

func (s Server) check() error {
	if err := checkFormat(s.Format); err != nil {
		return err
	}
	if err := checkLabels("labels", s.Labels); err != nil {
		return err
	}
	roles := []string{RolePrefill, RoleDecode, RoleService}
	if r, ok := s.Labels[LabelRole]; ok && !slices.Contains(roles, r) {
		return eris.Errorf("labels.role: %q must be one of %s", r, strings.Join(roles, ", "))
	}
	return nil
}

func (p Pool) check() error {
	if err := checkFormat(p.Format); err != nil {
		return err
	}
	if err := p.checkMembers(); err != nil {
		return err
	}
	if err := checkLabels("prefill", p.Prefill); err != nil {
		return err
	}
	if err := checkLabels("decode", p.Decode); err != nil {
		return err
	}
	return checkLabels("service", p.Service)
}

// checkMembers checks that a pool is either a model or a plain service, and that
// none of its label selectors is empty, as an empty one would match all servers.
func (p Pool) checkMembers() error {
	if len(p.Service) > 0 {
		if p.Model != "" || len(p.Prefill) > 0 || len(p.Decode) > 0 {
			return eris.New("service: can't be combined with model, prefill or decode")
		}
		return nil
	}
	if p.Model == "" {
		return eris.New("model: either model or service is required")
	}
	if !labelValueSyntax.MatchString(p.Model) {
		return eris.Errorf("model: %q is not a valid label value", p.Model)
	}
	if len(p.Prefill) == 0 {
		return eris.New("prefill: at least one label is required")
	}
	if len(p.Decode) == 0 {
		return eris.New("decode: at least one label is required")
	}
	return nil
}

func checkPriority(field, p string) error {
	if p != PriorityInteractive && p != PriorityBatch {
		return eris.Errorf("%s: %q must be %s or %s", field, p, PriorityInteractive, PriorityBatch)
	}
	return nil
}

func (s Selector) check() error {
	if err := checkFormat(s.Format); err != nil {
		return err
	}
	if s.Priority != "" {
		if err := checkPriority("priority", s.Priority); err != nil {
			return err
		}
	}
	if err := s.Match.check(); err != nil {
		return err
	}
	return checkTargets(s.Targets)
}

func (m Match) check() error {
	for _, p := range m.Priorities {
		if err := checkPriority("match.priorities", p); err != nil {
			return err
		}
	}
	for _, p := range m.PathPrefixes {
		if !strings.HasPrefix(p, "/") {
			return eris.Errorf("match.pathPrefixes: %q must begin with /", p)
		}
	}
	lists := []struct {
		field  string
		values []string
	}{
		{"match.models", m.Models},
		{"match.organisations", m.Organisations},
		{"match.methods", m.Methods},
		{"match.availabilityZones", m.AvailabilityZones},
		{"match.groups", m.Groups},
	}
	for _, l := range lists {
		if slices.Contains(l.values, "") {
			return eris.Errorf("%s: empty value", l.field)
		}
	}
	return nil
}

func checkTargets(targets []Target) error {
	if len(targets) == 0 {
		return eris.New("targets: at least one target is required")
	}
	sum := 0
	seen := make(map[string]bool, len(targets))
	for i, t := range targets {
		if err := CheckName(t.Pool); err != nil {
			return eris.Wrapf(err, "targets[%d].pool", i)
		}
		if seen[t.Pool] {
			return eris.Errorf("targets[%d].pool: duplicate pool %q", i, t.Pool)
		}
		seen[t.Pool] = true
		if t.Weight < 0 || t.Weight > maxWeight {
			return eris.Errorf("targets[%d].weight: %d is not in 0 to %d", i, t.Weight, maxWeight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return eris.New("targets: all weights are 0")
	}
	return nil
}

func (i Intent) check() error {
	if err := checkFormat(i.Format); err != nil {
		return err
	}
	if (i.Server == "") == (i.Pool == "") {
		return eris.New("server: exactly one of server and pool is required")
	}
	if i.Server != "" {
		return i.checkServer()
	}
	return i.checkPool()
}

func (i Intent) checkServer() error {
	if err := CheckName(i.Server); err != nil {
		return eris.Wrap(err, "server")
	}
	if i.MinPrefill != 0 || i.MinDecode != 0 || i.Version != "" {
		return eris.New("server: minPrefill, minDecode and version apply only to pools")
	}
	return nil
}

func (i Intent) checkPool() error {
	if err := CheckName(i.Pool); err != nil {
		return eris.Wrap(err, "pool")
	}
	if i.Drain {
		return eris.New("drain: applies only to servers")
	}
	if i.MinPrefill < 0 {
		return eris.Errorf("minPrefill: %d must not be negative", i.MinPrefill)
	}
	if i.MinDecode < 0 {
		return eris.Errorf("minDecode: %d must not be negative", i.MinDecode)
	}
	if i.Version != "" && !labelValueSyntax.MatchString(i.Version) {
		return eris.Errorf("version: %q is not a valid label value", i.Version)
	}
	return nil
}

func (o Organisation) check() error {
	if err := checkFormat(o.Format); err != nil {
		return err
	}
	// The negation also rejects NaN.
	if !(o.Share > 0 && o.Share <= maxWeight) {
		return eris.Errorf("share: %v must be above 0 and at most %d", o.Share, maxWeight)
	}
	return nil
}

func (c Conviction) check() error {
	if err := checkFormat(c.Format); err != nil {
		return err
	}
	if c.Until.IsZero() {
		return eris.New("until: required")
	}
	return nil
}
