package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/standin/broken"
	standin "jayford.example/jayford/internal/standin/platform"
)

// fixture is a platform stand-in together with the output of the last client run.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	address  string
	// wrap, if set, intercepts the client's calls to the platform.
	wrap           func(platform.Store) platform.Store
	stdout, stderr bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &fixture{t: t, platform: standin.New(standin.Options{}), address: ln.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.platform.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return b
}

func (b *fixture) run(want int, args ...string) string {
	b.t.Helper()
	b.stdout.Reset()
	b.stderr.Reset()
	env := Environment{Stdout: &b.stdout, Stderr: &b.stderr, Open: b.open}
	args = append([]string{"--platform", b.address, "--timeout", "1s", "--settle", "1s"}, args...)
	code := Run(context.Background(), env, args)
	assert.Equal(b.t, code, want, "%v\n%s%s", args, b.stdout.String(), b.stderr.String())
	return b.stdout.String()
}

func (b *fixture) open(addr string, timeout time.Duration) platform.Store {
	var store platform.Store = platform.NewHTTP(addr, timeout)
	if b.wrap != nil {
		store = b.wrap(store)
	}
	return store
}

func (b *fixture) get(kind, name string) printedObject {
	b.t.Helper()
	var list []printedObject
	assert.NilError(b.t, json.Unmarshal([]byte(b.run(ExitOK, "get", kind, name)), &list))
	assert.Equal(b.t, len(list), 1)
	var compact bytes.Buffer
	assert.NilError(b.t, json.Compact(&compact, list[0].Spec))
	list[0].Spec = compact.Bytes()
	return list[0]
}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const goodConfig = `[
  // The selector precedes its pool; apply must write the pool first.
  {"kind": "selector", "name": "all", "spec": {"format": 1, "order": 10, "targets": [{"pool": "curator", "weight": 1}]}},
  {"kind": "pool", "name": "curator", "spec": {
    "format": 1, "model": "curator", "prefill": {"role": "prefill"}, "decode": {"role": "decode"},
  }},
]`

func TestCheckListsProblemsWithLines(t *testing.T) {
	b := newFixture(t)
	path := writeConfig(t, `[
  {"kind": "pool", "name": "p", "spec": {"format": 1, "modl": "m"}},
  {"kind": "selector", "name": "s", "spec": {"format": 1,
    "targets": [{"pool": "p",
      "weight": -1}]}},
  {"kind": "lease", "name": "l", "spec": {}},
  {"kind": "organisation", "name": "o"},
  {"kind": "organisation", "name": "o", "spec": {"format": 1, "share": "1"}},
]`)
	b.run(ExitInvalid, "check", path)
	for _, want := range []string{
		":2: [0].spec.modl: unknown key",
		":5: [1].spec.targets[0].weight: -1 is not in 0 to",
		":6: [2].kind: expected one of server, organisation, pool, selector, intent",
		":7: [3].spec: expected an object",
		":8: [4].name: expected a name that isn't declared at",
		":8: [4].spec.share: expected a number",
	} {
		assert.Assert(t, strings.Contains(b.stderr.String(), path+want), "%s\nin\n%s", want, b.stderr.String())
	}
	assert.Equal(t, strings.Count(b.stderr.String(), path+":"), 7, b.stderr.String()) // the duplicate name's message also contains the path
	b.run(ExitOK, "check", writeConfig(t, goodConfig))
	b.run(ExitUsage, "check")
	b.run(ExitUsage, "nonsense")
	b.run(ExitOK, "--help")
}

func TestApplyWritesOnlyChanges(t *testing.T) {
	b := newFixture(t)
	path := writeConfig(t, goodConfig)
	assert.Assert(t, strings.Contains(b.run(ExitOK, "diff", path), `+ targets[0].pool: "curator"`))
	assert.Equal(t, len(b.platform.Record()), 0)
	var outcomes []Outcome
	assert.NilError(t, json.Unmarshal([]byte(b.run(ExitOK, "apply", "--output", "json", path)), &outcomes))
	assert.Equal(t, outcomes[0].Kind, "pool")
	assert.Equal(t, outcomes[0].Action, Created)
	b.run(ExitOK, "apply", path)
	assert.Equal(t, len(b.platform.Record()), 2)

	changed := writeConfig(t, strings.Replace(goodConfig, `"order": 10`, `"order": 20`, 1))
	out := b.run(ExitOK, "apply", changed)
	assert.Assert(t, strings.Contains(out, "updated selector/all"), out)
	assert.Assert(t, strings.Contains(out, "- order: 10\n    + order: 20"), out)
}

// racingStore lets another writer write once between the client's read and its
// write.
type racingStore struct {
	platform.Store
	before func()
}

func (r *racingStore) Put(ctx context.Context, o platform.Object) (uint64, error) {
	if r.before != nil {
		r.before()
		r.before = nil
	}
	return r.Store.Put(ctx, o)
}

func TestLoserOfARaceIsToldTheDifference(t *testing.T) {
	// Two operators read version 1 of a server's labels. The first writes
	// group=a, then the second writes group=b based on version 1. The store
	// rejects the second write because its version is outdated; the second
	// operator sees both changes, and the first one's label stays.
	b := newFixture(t)
	b.run(ExitOK, "label", "s1", "role=decode")
	b.wrap = func(s platform.Store) platform.Store {
		return &racingStore{Store: s, before: func() {
			_, err := b.platform.Put(platform.Object{
				Kind: "server", Name: "s1", Version: 1,
				Spec: json.RawMessage(`{"format":1,"labels":{"role":"decode","group":"a"}}`),
			})
			assert.NilError(t, err)
		}}
	}
	out := b.run(ExitConflict, "label", "s1", "group=b")
	b.wrap = nil
	assert.Assert(t, strings.Contains(out, "changed by somebody else:\n    + labels.group: \"a\""), out)
	assert.Assert(t, strings.Contains(out, "- labels.group: \"a\"\n    + labels.group: \"b\""), out)
	assert.Equal(t, string(b.get("server", "s1").Spec), `{"format":1,"labels":{"role":"decode","group":"a"}}`)
}

// failingReads fails the next reads after a conflict.
type failingReads struct {
	platform.Store
	lost     int
	conflict bool
}

func (f *failingReads) Put(ctx context.Context, o platform.Object) (uint64, error) {
	v, err := f.Store.Put(ctx, o)
	f.conflict = errors.Is(err, platform.ErrConflict)
	return v, err
}

func (f *failingReads) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if f.conflict && f.lost > 0 {
		f.lost--
		return platform.Object{}, platform.ErrUnavailable
	}
	return f.Store.Get(ctx, kind, name)
}

func TestLoserIsToldTheDifferenceThroughAnOutage(t *testing.T) {
	// Two operators race for a server's labels. The platform becomes unavailable
	// for a short time right after it reported the conflict to the loser. The
	// loser still sees the other's change, because the read is retried until the
	// settle timeout.
	b := newFixture(t)
	b.run(ExitOK, "label", "s1", "role=decode")
	b.wrap = func(s platform.Store) platform.Store {
		return &failingReads{lost: 3, Store: &racingStore{Store: s, before: func() {
			_, err := b.platform.Put(platform.Object{
				Kind: "server", Name: "s1", Version: 1,
				Spec: json.RawMessage(`{"format":1,"labels":{"role":"decode","group":"a"}}`),
			})
			assert.NilError(t, err)
		}}}
	}
	out := b.run(ExitConflict, "label", "s1", "group=b")
	assert.Assert(t, strings.Contains(out, "changed by somebody else:\n    + labels.group: \"a\""), out)
}

func TestStaleFileWritesNothing(t *testing.T) {
	// An operator edits a file that get printed at version 1, while the object
	// is updated to version 2. The file contains the version it is based on, so
	// apply detects the conflict before it writes any object of the file.
	b := newFixture(t)
	b.run(ExitOK, "apply", writeConfig(t, `[{"kind":"organisation","name":"a","spec":{"format":1,"share":1}}]`))
	b.run(ExitOK, "apply", writeConfig(t, `[{"kind":"organisation","name":"a","spec":{"format":1,"share":2}}]`))
	out := b.run(ExitConflict, "apply", writeConfig(t, `[
  {"kind":"organisation","name":"new","spec":{"format":1,"share":1}},
  {"kind":"organisation","name":"a","version":1,"spec":{"format":1,"share":3}}]`))
	assert.Assert(t, strings.Contains(out, "not-tried organisation/new"), out)
	assert.Equal(t, len(b.platform.Record()), 2)
}

func TestLostReplyIsSettled(t *testing.T) {
	// The platform performs a write but closes the connection instead of
	// replying. The client reads back and finds its operation ID, so it reports
	// success and the object is written only once.
	b := newFixture(t)
	b.platform.SetControl(standin.Control{LoseReplies: 1})
	b.run(ExitOK, "drain", "s1")
	assert.Equal(t, len(b.platform.Record()), 1)
	b.platform.SetControl(standin.Control{LoseReplies: 1})
	b.run(ExitOK, "delete", "intent", "drain-s1")
	b.run(ExitInvalid, "get", "intent", "drain-s1")
}

// lostWrites drops writes without a reply and fails all reads after the first
// write.
type lostWrites struct {
	platform.Store
	wrote bool
}

func (s *lostWrites) Put(context.Context, platform.Object) (uint64, error) {
	s.wrote = true
	return 0, platform.ErrOutcomeUnknown
}

func (s *lostWrites) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if s.wrote {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func TestExitCodesOfAnOutage(t *testing.T) {
	// If the platform becomes unavailable after a write was sent, the client
	// reports that the outcome is unclear. If it is unavailable before the
	// write, the client reports that it can't be reached.
	b := newFixture(t)
	b.wrap = func(s platform.Store) platform.Store { return &lostWrites{Store: s} }
	assert.Assert(t, strings.Contains(b.run(ExitUnclear, "drain", "s1"), "unclear intent/drain-s1"))
	b.wrap = nil
	b.platform.SetControl(standin.Control{Outage: standin.OutageRefuse})
	b.run(ExitUnreachable, "drain", "s1")
	b.run(ExitUnreachable, "status")
}

func TestLabelsAndDrain(t *testing.T) {
	b := newFixture(t)
	b.run(ExitOK, "label", "s1", "role=decode", "group=a")
	b.run(ExitOK, "label", "s1", "group-", "model=m")
	assert.Equal(t, string(b.get("server", "s1").Spec), `{"format":1,"labels":{"model":"m","role":"decode"}}`)
	b.run(ExitInvalid, "label", "s1", "role=both")
	b.run(ExitUsage, "label", "s1", "role")
	b.run(ExitOK, "drain", "s1")
	assert.Equal(t, string(b.get("intent", "drain-s1").Spec), `{"format":1,"server":"s1","drain":true}`)
	b.run(ExitOK, "drain", "--undo", "s1")
	assert.Equal(t, string(b.get("intent", "drain-s1").Spec), `{"format":1,"server":"s1"}`)
	b.run(ExitConflict, "delete", "--version", "1", "intent", "drain-s1")
}

func serveOperator(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	}
	mux.HandleFunc("/status", answer(`{"id":"entry-1","role":"entry","revision":1,"incarnation":7}`))
	mux.HandleFunc("/debug/state", answer(`{"board":{}}`))
	mux.HandleFunc("/explain", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(r.URL.Query())
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestStatusReportsOutdatedProcesses(t *testing.T) {
	b := newFixture(t)
	address := serveOperator(t)
	b.run(ExitOK, "label", "s1", "role=decode")
	_, err := b.platform.Put(platform.Object{Kind: "status", Name: "zurich-a", Spec: json.RawMessage(
		`{"format":1,"time":"2020-01-01T00:00:00Z","processes":[{"id":"entry-2","role":"entry","revision":9,"digest":"1","incarnation":"3"}]}`)})
	assert.NilError(t, err)
	var status Status
	assert.NilError(t, json.Unmarshal([]byte(b.run(ExitOK, "--output", "json", "status", "--operator", address)), &status))
	assert.Equal(t, status.Configuration, uint64(1))
	assert.Equal(t, len(status.Processes), 2)
	assert.Assert(t, status.Processes[0].Current)
	assert.Assert(t, !status.Processes[1].Current) // its digest differs
	assert.Assert(t, status.Processes[1].AgeSeconds > 0)
	out := b.run(ExitUnreachable, "status", "--operator", "127.0.0.1:1", "--operator", address)
	assert.Assert(t, strings.Contains(out, "entry-1"), out)
}

// Guards against a status that no response has being taken for success: the HTTP library reads 000
// as 200.
func TestMalformedStatusLinesOfAProcess(t *testing.T) {
	b := newFixture(t)
	for _, line := range broken.StatusLines {
		b.run(ExitUnreachable, "dump", broken.Serve(t, broken.WithStatusLine(line)).Address())
	}
}

// Guards against an answer whose head has a line that is no header field.
func TestMalformedFieldLinesOfAProcess(t *testing.T) {
	b := newFixture(t)
	for _, line := range broken.FieldLines {
		b.run(ExitUnreachable, "dump", broken.Serve(t, broken.WithFieldLine(line)).Address())
	}
}

// Guards against an answer without one clear length.
func TestMalformedFramingsOfAProcess(t *testing.T) {
	b := newFixture(t)
	for _, answer := range broken.Framings {
		b.run(ExitUnreachable, "dump", broken.Serve(t, answer).Address())
	}
}

func TestDumpAndExplain(t *testing.T) {
	b := newFixture(t)
	address := serveOperator(t)
	assert.Equal(t, b.run(ExitOK, "dump", address), "{\n  \"board\": {}\n}\n")
	assert.Equal(t, b.run(ExitOK, "dump", "--operator", address), "{\n  \"board\": {}\n}\n")
	b.run(ExitUsage, "dump")
	b.run(ExitUsage, "dump", "--operator", address, address)
	out := b.run(ExitOK, "explain", "--operator", address, "--model", "m", "--zone", "z")
	assert.Assert(t, strings.Contains(out, `"zone": [`), out)
	b.run(ExitUnreachable, "dump", "127.0.0.1:1")
	b.run(ExitUnreachable, "quotas", "--operator", "127.0.0.1:1")
	b.run(ExitUsage, "dump", "localhost:80")
}

func TestLoadCommand(t *testing.T) {
	b := newFixture(t)
	svg := filepath.Join(t.TempDir(), "plot.svg")
	var report struct{ Workload string }
	args := []string{
		"load", "--output", "json", "--workload", "../../examples/kavango.workload.json",
		"--target", serveOperator(t), "--duration", "300ms", "--svg", svg,
	}
	assert.NilError(t, json.Unmarshal([]byte(b.run(ExitOK, args...)), &report))
	assert.Equal(t, report.Workload, "kavango")
	_, err := os.Stat(svg)
	assert.NilError(t, err)
	b.run(ExitUnreachable, append(args, "--operator", "127.0.0.1:1")...)
	b.run(ExitUsage, append(args, "--rate", "0")...)
}

func FuzzParseFile(f *testing.F) {
	for _, s := range []string{goodConfig, "", "[", "[{}]", `[{"kind":"server","name":"s","spec":null}]`, `[1]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, problems := parseFile("c.json", text, map[string]string{})
		for _, o := range list {
			// Accepted objects can be stored: they are valid JSON of a known kind.
			assert.Assert(t, len(problems) == 0)
			assert.Assert(t, json.Valid(o.Spec))
			assert.Equal(t, len(difference(o.Kind, o.Spec, o.Spec)), 0)
		}
	})
}
