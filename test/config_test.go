package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/operator"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

// inForceBound bounds the time from the acceptance of a configuration to its being
// in force in every process.
const inForceBound = 11 * time.Second

// sample is the configuration state that a process reported at a time.
type sample struct {
	at          time.Time
	incarnation uint64
	revision    uint64
	ready       bool
	// serials are those of the contended objects in force.
	serials contendedSerials
}

// contendedSerials has the serials of the two objects that operators change concurrently.
type contendedSerials struct{ label, selector string }

// configDump is the part of a state dump that shows the contended objects, and whose
// dump it is.
type configDump struct {
	Status operator.Status `json:"status"`
	Config struct {
		Servers   map[string]object.Server
		Selectors []struct {
			Name  string
			Match object.Match `json:"match"`
		}
	} `json:"config"`
}

func (d *configDump) serials() contendedSerials {
	out := contendedSerials{label: d.Config.Servers[contendedServer].Labels[labelSerial]}
	for _, x := range d.Config.Selectors {
		if x.Name == contendedSelector && len(x.Match.Groups) == 1 {
			out.selector = x.Match.Groups[0]
		}
	}
	return out
}

// sampler polls the status of all processes.
type sampler struct {
	begun time.Time
	stop  chan struct{}
	wg    sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu. restarts has the times at which the test restarted
	// a process.
	samples  map[string][]sample
	restarts map[string][]time.Time
}

const sampleInterval = 100 * time.Millisecond

func (c *cluster) watchStatus() *sampler {
	s := &sampler{begun: time.Now(), stop: make(chan struct{}), samples: make(map[string][]sample), restarts: make(map[string][]time.Time)}
	for _, n := range c.nodes() {
		s.wg.Go(func() { s.poll(n) })
	}
	return s
}

func (s *sampler) poll(n *node) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		var st operator.Status
		var dump configDump
		if getJSON(n.operator, operator.PathStatus, &st) != nil || getJSON(n.operator, operator.PathState, &dump) != nil {
			continue
		}
		if dump.Status.Incarnation != st.Incarnation {
			// The process was restarted between the two answers, so they don't
			// describe one state.
			continue
		}
		s.mu.Lock()
		s.samples[n.id] = append(s.samples[n.id], sample{time.Now(), st.Incarnation, st.Revision, st.Ready, dump.serials()})
		s.mu.Unlock()
	}
}

func (s *sampler) end() {
	// Wait for samples of the last configuration.
	time.Sleep(3 * sampleInterval)
	close(s.stop)
	s.wg.Wait()
}

// start starts a process again and records the time.
func (s *sampler) start(n *node) {
	s.mu.Lock()
	s.restarts[n.id] = append(s.restarts[n.id], time.Now())
	s.mu.Unlock()
	n.start()
}

// checkMonotonic checks that no ready process reported an older revision, or an older
// version of a contended object, after a newer one, also across its restarts.
func (s *sampler) checkMonotonic(t *testing.T, writes []platformstandin.Accepted) {
	t.Helper()
	versions := versionsOf(t, writes)
	for id, list := range s.samples {
		var revision, label, selector uint64
		for _, x := range list {
			if !x.ready {
				continue
			}
			l, sel := versions[x.serials.label], versions[x.serials.selector]
			assert.Check(t, x.revision >= revision, "%s: revision %d after %d", id, x.revision, revision)
			assert.Check(t, l >= label, "%s: label of version %d after %d", id, l, label)
			assert.Check(t, sel >= selector, "%s: selector of version %d after %d", id, sel, selector)
			revision, label, selector = max(revision, x.revision), max(label, l), max(selector, sel)
		}
	}
}

// versionsOf returns the version under which each serial was accepted. An operator
// uses each serial once, for one object.
func versionsOf(t *testing.T, writes []platformstandin.Accepted) map[string]uint64 {
	out := make(map[string]uint64)
	for _, w := range writes {
		var serial string
		switch {
		case w.Kind == object.KindServer && w.Name == contendedServer:
			var spec object.Server
			assert.NilError(t, json.Unmarshal(w.Spec, &spec))
			serial = spec.Labels[labelSerial]
		case w.Kind == object.KindSelector && w.Name == contendedSelector:
			var spec object.Selector
			assert.NilError(t, json.Unmarshal(w.Spec, &spec))
			serial = spec.Match.Groups[0]
		default:
			continue
		}
		if serial == "" {
			continue
		}
		_, twice := out[serial]
		assert.Check(t, !twice, "%s was written twice", serial)
		out[serial] = w.Version
	}
	return out
}

// lag returns how long after at the process had the version in force, counted from
// its own start if that was later. It is false if the process never showed it,
// because it was killed first.
func (s *sampler) lag(id string, at time.Time, version uint64) (time.Duration, bool) {
	from := at
	for i, x := range s.samples[id] {
		if i > 0 && x.incarnation != s.samples[id][i-1].incarnation {
			for _, begun := range s.restarts[id] {
				if begun.After(from) && begun.Before(x.at) {
					from = begun
				}
			}
		}
		if x.ready && x.revision >= version && x.at.After(at) {
			return x.at.Sub(from), true
		}
	}
	return 0, false
}

// worst returns the longest lag of any accepted configuration in any process.
func (s *sampler) worst(t *testing.T, writes []platformstandin.Accepted) (worst time.Duration, where string) {
	t.Helper()
	for _, w := range writes {
		if !object.IsConfiguration(w.Kind) || w.Time.Before(s.begun) {
			continue
		}
		for id := range s.samples {
			d, ok := s.lag(id, w.Time, w.Version)
			assert.Check(t, ok, "%s never had version %d in force", id, w.Version)
			if d > worst {
				worst, where = d, fmt.Sprintf("%s, version %d", id, w.Version)
			}
		}
	}
	return worst, where
}

// settleTimeout is how long the operators' client may take to resolve the outcome of a
// change. It is longer than each outage, so that the client can always resolve it.
const settleTimeout = 10 * time.Second

// jayfordctl runs the operators' client and returns its outcomes.
func (c *cluster) jayfordctl(args ...string) (outcomes []ctl.Outcome, code int) {
	args = append([]string{"--platform", c.platformAddress, "--output", "json", "--timeout", "1s", "--settle", settleTimeout.String()}, args...)
	cmd := exec.Command(filepath.Join(binaries, "jayfordctl"), args...)
	out, _ := cmd.Output()
	_ = json.Unmarshal(out, &outcomes)
	return outcomes, cmd.ProcessState.ExitCode()
}

// swap is one operator's change of one object, identified by its serial.
type swap struct{ object, serial string }

// swapResult is the outcome of a swap.
type swapResult struct {
	action ctl.Action
	// from is the replaced serial, as reported by the client.
	from string
}

// swapModel requires that each accepted change replaces the result of the last
// accepted one, so that none is lost; a conflict changes nothing; an unclear change
// may have taken effect or not.
var swapModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byObject := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, _ := op.Input.(swap)
			byObject[in.object] = append(byObject[in.object], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byObject {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, _ := input.(swap)
		out, _ := output.(swapResult)
		switch out.action {
		case ctl.Created, ctl.Updated:
			if state != out.from {
				return nil
			}
			return []any{in.serial}
		case ctl.Unclear:
			return []any{state, in.serial}
		}
		return []any{state}
	},
}

// operators are two operators who change the same objects concurrently.
type operators struct {
	c *cluster

	mu sync.Mutex
	// All below is guarded by mu.
	history     []porcupine.Operation
	conflicts   int
	unexplained int
	actions     map[ctl.Action]int
}

const (
	labelSerial       = "serial"
	contendedServer   = "service-0"
	contendedSelector = "raced"
)

// change makes operator who change both objects in round i.
func (o *operators) change(dir string, who, i int) {
	serial := fmt.Sprintf("label-%d-%d", who, i)
	o.record(who, swap{"label", serial}, "label", contendedServer, labelSerial+"="+serial)
	serial = fmt.Sprintf("selector-%d-%d", who, i)
	path := filepath.Join(dir, serial+".json")
	text := fmt.Sprintf(`[{"kind": "selector", "name": %q, "spec": {"format": 1, "order": 900,
		"match": {"groups": [%q]}, "targets": [{"pool": "service", "weight": 1}]}}]`, contendedSelector, serial)
	if os.WriteFile(path, []byte(text), 0o600) == nil {
		o.record(who, swap{"selector", serial}, "apply", path)
	}
}

func (o *operators) record(who int, in swap, args ...string) {
	call := time.Now()
	outcomes, code := o.c.jayfordctl(args...)
	ret := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	out := swapResult{action: ctl.Failed}
	if len(outcomes) == 1 {
		out = swapResult{outcomes[0].Action, serialBefore(outcomes[0])}
	}
	o.actions[out.action]++
	if out.action == ctl.Unclear {
		ret = ret.Add(time.Hour)
	}
	if out.action == ctl.Conflicted {
		o.conflicts++
		if code != ctl.ExitConflict || len(outcomes[0].Theirs) == 0 || outcomes[0].Error == "" {
			o.unexplained++
			o.c.t.Logf("exit code %d, %+v", code, outcomes[0])
		}
	}
	o.history = append(o.history, porcupine.Operation{
		ClientId: who, Input: in, Output: out, Call: call.UnixNano(), Return: ret.UnixNano(),
	})
}

// serialBefore returns the serial that an outcome reports as replaced.
func serialBefore(o ctl.Outcome) string {
	for _, ch := range o.Changes {
		var old string
		if (ch.Path == "labels."+labelSerial || ch.Path == "match.groups[0]") && json.Unmarshal([]byte(ch.Old), &old) == nil {
			return old
		}
	}
	return ""
}

// raceInterval is the interval of the operators' rounds.
const raceInterval = 200 * time.Millisecond

// untilRound returns the time until the next round. The operators start their rounds
// together: each reads and writes within milliseconds, so with independent pauses
// their changes might never overlap.
func untilRound(begin time.Time) time.Duration {
	return raceInterval - time.Since(begin)%raceInterval
}

// watchers returns the entries of a zone that watch the platform.
func (c *cluster) watchers(zone string) []*node {
	var out []*node
	for _, n := range c.entries {
		var state struct {
			Feed struct{ Watches bool } `json:"feed"`
		}
		if n.zone == zone && getJSON(n.operator, operator.PathState, &state) == nil && state.Feed.Watches {
			out = append(out, n)
		}
	}
	return out
}

// Two operators keep changing the same label and the same selector concurrently.
// Meanwhile the entries that watch the platform for a zone are killed, connections
// to the platform and between entries go silent, and the platform first refuses and
// later hangs; in each outage an entry and an agent start that can reach only their
// seeds. Each accepted version must be in force in every process within the bound,
// no process may show an older one after a newer one, and no operator's change may
// be lost or silently overwritten.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 9, services: 3, links: true})
	s := c.watchStatus()
	o := &operators{c: c, actions: make(map[ctl.Action]int)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	dir := t.TempDir()
	begin := time.Now()
	for who := range 2 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(untilRound(begin)):
					o.change(dir, who, i)
				}
			}
		})
	}
	time.Sleep(time.Second)
	killed := c.watchers("a-zone")
	report(t, "%d entries of a zone watch the platform", len(killed))
	assert.Assert(t, len(killed) > 0)
	for _, n := range killed {
		n.kill()
	}
	time.Sleep(3 * time.Second)
	for _, n := range killed {
		s.start(n)
	}
	time.Sleep(2 * time.Second)
	c.platformLink.silence()
	time.Sleep(4 * time.Second)
	for _, n := range c.entries {
		n.agentLink.silence()
	}
	time.Sleep(4 * time.Second)
	// The first outage is long enough for all processes to detect that their feeds
	// are stale.
	outages := []struct {
		kind  string
		lasts time.Duration
	}{{platformstandin.OutageRefuse, 7 * time.Second}, {platformstandin.OutageHang, 4 * time.Second}}
	for i, outage := range outages {
		restarted := []*node{c.entries[i+6], c.services[i+1]}
		c.platformControl(platformstandin.Control{Outage: outage.kind})
		for _, n := range restarted {
			n.kill()
			s.start(n)
		}
		down := time.Now()
		for _, n := range restarted {
			eventually(t, inForceBound, n.id+" started in an outage", n.isConfigured)
		}
		report(t, "%s: a new entry and a new agent had the configuration after %s", outage.kind, time.Since(down).Round(10*time.Millisecond))
		time.Sleep(max(0, outage.lasts-time.Since(down)))
		c.platformControl(platformstandin.Control{LoseReplies: 4})
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	var writes []platformstandin.Accepted
	assert.NilError(t, getJSON(c.platformAddress, "/record", &writes))
	c.waitConverged(writes)
	s.end()
	s.checkMonotonic(t, writes)
	worst, where := s.worst(t, writes)
	report(t, "worst time from acceptance to force: %s (%s), of %d versions in %d processes", worst.Round(10*time.Millisecond), where, len(writes), len(s.samples))
	assert.Check(t, worst <= inForceBound)
	report(t, "operators' changes: %v", o.actions)
	assert.Check(t, o.unexplained == 0, "%d conflicts were reported without the other operator's change", o.unexplained)
	assert.Check(t, o.conflicts > 0, "the operators' changes never conflicted")
	assert.Check(t, porcupine.CheckOperations(swapModel.ToModel(), o.history), "a change was lost or silently overwritten")
}

// isConfigured returns an error until the configuration is in force.
func (n *node) isConfigured() error {
	var st operator.Status
	if err := getJSON(n.operator, operator.PathStatus, &st); err != nil {
		return err
	}
	if !st.Ready || st.Revision == 0 {
		return errorf("ready: %t, revision %d", st.Ready, st.Revision)
	}
	return nil
}

// waitConverged waits until all processes have the last configuration in force, and
// checks that their digests agree.
func (c *cluster) waitConverged(writes []platformstandin.Accepted) {
	c.t.Helper()
	last := uint64(0)
	for _, w := range writes {
		if object.IsConfiguration(w.Kind) {
			last = max(last, w.Version)
		}
	}
	digests := make(map[uint64][]string)
	for _, n := range c.nodes() {
		eventually(c.t, inForceBound, fmt.Sprintf("%s at %d", n.id, last), func() error {
			var st operator.Status
			if err := getJSON(n.operator, operator.PathStatus, &st); err != nil {
				return err
			}
			if st.Revision < last {
				return errorf("revision %d", st.Revision)
			}
			digests[st.Digest] = append(digests[st.Digest], n.id)
			return nil
		})
	}
	for _, ids := range digests {
		slices.Sort(ids)
	}
	assert.Check(c.t, len(digests) == 1, "%v", digests)
}
