// Package configcheck judges a configuration before it is sent to the platform: faults,
// entries that can never match, limits that contradict each other, and what differs from
// another version. It does no I/O and reads no clock.
//
// The package guarantees that no finding shows a key: a Draft has only digests of keys.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"jayford.example/jayford/internal/catalog"
)

// Severity says what a finding means for the gateways.
type Severity string

// The severities.
const (
	// Error: gateways ignore the entry, or refuse the requests that it is for.
	Error Severity = "error"
	// Warning: an entry or a limit has no effect, or contradicts another.
	Warning Severity = "warning"
	// Note: nothing is wrong; what a reviewer should know.
	Note Severity = "note"
)

// Code names a kind of finding for scripts.
type Code string

// The codes.
const (
	// Malformed: a field is unknown, missing, repeated or of the wrong type.
	Malformed        Code = "malformed"
	BadName          Code = "bad-name"
	DuplicateName    Code = "duplicate-name"
	BadVersion       Code = "bad-version"
	UnknownService   Code = "unknown-service"
	BadWeight        Code = "bad-weight"
	BadHost          Code = "bad-host"
	BadPrefix        Code = "bad-prefix"
	BadTime          Code = "bad-time"
	NoObjective      Code = "no-objective"
	BadSize          Code = "bad-size"
	BadHealthPath    Code = "bad-health-path"
	BadQuota         Code = "bad-quota"
	HiddenRoute      Code = "hidden-route"
	UnusedService    Code = "unused-service"
	NoTraffic        Code = "no-traffic"
	SharedKey        Code = "shared-key"
	RepeatedKey      Code = "repeated-key"
	NoKey            Code = "no-key"
	KeysUnused       Code = "keys-unused"
	LateObjective    Code = "late-objective"
	QuotaTooLow      Code = "quota-too-low"
	BurstUnused      Code = "burst-unused"
	AttemptsUnused   Code = "attempts-unused"
	ResumeUnused     Code = "resume-unused"
	ServiceUnused    Code = "service-unused"
	AboveGateway     Code = "above-gateway"
	VersionNotHigher Code = "version-not-higher"
	Difference       Code = "difference"
	Incomplete       Code = "incomplete-difference"
)

// Finding is one result of a check.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1, 0 if unknown.
	Line     int      `json:"line,omitempty"`
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Text     string   `json:"text"`
}

// String returns "FILE:LINE: severity: text".
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Severity, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Severity, f.Text)
}

// Part is a part of a configuration.
type Part int

// The parts.
const (
	Whole Part = iota
	Route
	Service
	Limits
	Organisation
)

// Field is a field of a part.
type Field int

// The fields. Entry is the whole entry of a route, service or organisation; Routes,
// Services and Organisations are the lists of the whole configuration.
const (
	Entry Field = iota
	Version
	Routes
	Services
	Organisations
	Name
	Host
	Prefix
	Kind
	Timeout
	Objective
	EventGap
	Targets
	MaxAttempts
	Resume
	HealthPath
	MaxConnections
	Slots
	KVTokens
	HeaderBytes
	BodyBytes
	IdleTimeout
	Rate
	Burst
	PlainCost
	Keys
)

// AllItems stands for the list of targets or keys itself.
const AllItems = -1

// Place identifies a field of a configuration.
type Place struct {
	Part Part
	// Index is the position of the route, service or organisation.
	Index int
	Field Field
	// Item is the position of the target or key in its list, or AllItems.
	Item int
}

// Places knows where the fields of a configuration are declared.
type Places interface {
	// Line returns the line of a field, or of what encloses it if the field is absent.
	Line(Place) int
	// Faulty reports whether a field is missing or malformed. Its decoded value is
	// meaningless, and the fault has a finding already.
	Faulty(Place) bool
}

// DeclaredOrganisation is an organisation with its keys.
type DeclaredOrganisation struct {
	catalog.Organisation
	// Keys are in the order of the file, with a zero digest for an unusable key.
	Keys []catalog.KeyDigest
}

// Draft is a configuration to be checked.
type Draft struct {
	File string
	// Config is what a gateway makes of the file.
	Config *catalog.Config
	// Services and Organisations are all entries in the order of the file. Config lacks
	// those whose name is repeated.
	Services      []catalog.Service
	Organisations []DeclaredOrganisation
	// Faults were found when the file was decoded.
	Faults []Finding
	Places Places
}

// Bounds are what the gateways' settings allow.
type Bounds struct {
	HeaderBytes, BodyBytes int
}

// checker collects the findings on a draft.
type checker struct {
	Draft
	bounds   Bounds
	findings []Finding
}

// Check returns the findings on a draft, sorted by line.
func Check(d Draft, b Bounds) []Finding {
	c := &checker{Draft: d, bounds: b, findings: slices.Clone(d.Faults)}
	c.checkVersion()
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	c.checkOrganisations()
	return sorted(c.findings)
}

// add adds a finding, unless the field is faulty.
func (c *checker) add(p Place, s Severity, code Code, text string, args ...any) {
	if c.Places.Faulty(p) {
		return
	}
	c.findings = append(c.findings, c.at(p, s, code, text, args...))
}

// at returns a finding on a field of the draft.
func (d Draft) at(p Place, s Severity, code Code, text string, args ...any) Finding {
	return Finding{File: d.File, Line: d.Places.Line(p), Severity: s, Code: code, Text: fmt.Sprintf(text, args...)}
}

// checkVersion rejects version 0. A gateway puts only a higher version in force than the
// one that it has.
func (c *checker) checkVersion() {
	if c.Config.Version == 0 {
		c.add(Place{Field: Version}, Error, BadVersion, "the version is 0, so gateways that have a configuration ignore this one")
	}
}

// checkNames reports empty and repeated names of one part's entries.
func (c *checker) checkNames(part Part, what string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		place := Place{Part: part, Index: i, Field: Name}
		if name == "" {
			c.add(place, Error, BadName, "a %s has no name", what)
			continue
		}
		if n, ok := first[name]; ok {
			line := c.Places.Line(Place{Part: part, Index: n, Field: Name})
			c.add(place, Error, DuplicateName, "%s %q is declared on line %d already", what, name, line)
			continue
		}
		first[name] = i
	}
}

// names returns the name of each element.
func names[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, x := range list {
		out[i] = name(x)
	}
	return out
}

func sorted(list []Finding) []Finding {
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return list
}

// Count returns the number of findings of a severity.
func Count(list []Finding, s Severity) int {
	n := 0
	for _, f := range list {
		if f.Severity == s {
			n++
		}
	}
	return n
}
