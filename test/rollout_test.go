package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/object"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const (
	oldVersion = "1"
	newVersion = "2"
	// canarySelector takes all requests for the model.
	canarySelector = "model"
)

// versionOf returns the version of a node's engine: the new one on odd nodes.
func versionOf(id string) string {
	if strings.HasSuffix(id, "1") || strings.HasSuffix(id, "3") {
		return newVersion
	}
	return oldVersion
}

// weights are the shares of the old and the new version.
type weights struct{ before, after int }

// allows reports whether requests may be routed to a version.
func (w weights) allows(version string) bool {
	if version == oldVersion {
		return w.before > 0
	}
	return w.after > 0
}

// apply makes an operator's change by the client.
func (c *cluster) apply(dir, name, text string) {
	c.t.Helper()
	path := filepath.Join(dir, name+".json")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	outcomes, code := c.jayfordctl("apply", path)
	assert.Equal(c.t, code, ctl.ExitOK, "%+v", outcomes)
}

func (c *cluster) declareVersions(dir string) {
	for _, n := range c.engines() {
		_, code := c.jayfordctl("label", n.id, object.LabelVersion+"="+versionOf(n.id))
		assert.Equal(c.t, code, ctl.ExitOK)
	}
	var pools []string
	for _, v := range []string{oldVersion, newVersion} {
		pools = append(pools, fmt.Sprintf(`{"kind": "pool", "name": "version-%s", "spec": {"format": 1, "model": %q,
			"prefill": {"model": %q, "role": "prefill", "version": %q}, "decode": {"model": %q, "role": "decode", "version": %q}}}`,
			v, testModel, testModel, v, testModel, v))
	}
	c.apply(dir, "pools", "["+strings.Join(pools, ",")+"]")
}

func (c *cluster) shiftWeights(dir string, w weights) {
	c.apply(dir, fmt.Sprintf("weights-%d-%d", w.before, w.after), fmt.Sprintf(`[{"kind": "selector", "name": %q, "spec": {"format": 1, "order": 10,
		"match": {"models": [%q]}, "targets": [{"pool": "version-1", "weight": %d}, {"pool": "version-2", "weight": %d}]}}]`,
		canarySelector, testModel, w.before, w.after))
}

// weightsAt returns the weights in force at a revision, by the platform's record.
func weightsAt(t *testing.T, writes []platformstandin.Accepted, revision uint64) weights {
	var out weights
	for _, w := range writes {
		if w.Kind != object.KindSelector || w.Name != canarySelector || w.Version > revision {
			continue
		}
		var s object.Selector
		assert.NilError(t, json.Unmarshal(w.Spec, &s))
		out = weights{}
		for _, to := range s.Targets {
			switch to.Pool {
			case "version-1":
				out.before = to.Weight
			case "version-2":
				out.after = to.Weight
			}
		}
	}
	return out
}

// inForce returns the revisions that a process reported between two times, including
// the last one before and the first one after them.
func (s *sampler) inForce(id string, from, to time.Time) []uint64 {
	var out []uint64
	for _, x := range s.samples[id] {
		if x.at.Before(from) {
			out = out[:0]
		}
		out = append(out, x.revision)
		if x.at.After(to) {
			break
		}
	}
	return out
}

// servedBy returns the versions of the engines that began each request.
func (c *cluster) servedBy() map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, n := range c.engines() {
		for _, e := range n.record().Entries {
			if e.Kind != enginestandin.EntryStart {
				continue
			}
			if out[e.Attempt.Request] == nil {
				out[e.Attempt.Request] = make(map[string]bool)
			}
			out[e.Attempt.Request][versionOf(n.id)] = true
		}
	}
	return out
}

// An operator rolls out a version under load by the weights of a selector: a canary,
// half, all, and back again. No request may fail, and by the engines' records each
// ran on one version only, in prefill and decode, and on one that the configuration
// in force in its entry allowed.
func TestCanaryByWeights(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 4, engineOf: func(id string, o *enginestandin.Options) { o.Version = versionOf(id) }})
	dir := t.TempDir()
	steps := []weights{{1, 0}, {4, 1}, {1, 1}, {0, 1}, {1, 0}}
	c.declareVersions(dir)
	c.shiftWeights(dir, steps[0])
	c.waitConverged(c.writes())
	s := c.watchStatus()
	time.Sleep(3 * sampleInterval)
	done := make(chan struct{})
	h, wg := c.streamLoad("canary", 25*time.Millisecond, done)
	for _, w := range steps[1:] {
		time.Sleep(1500 * time.Millisecond)
		c.shiftWeights(dir, w)
	}
	time.Sleep(1500 * time.Millisecond)
	close(done)
	wg.Wait()
	s.end()
	writes := c.writes()
	s.checkMonotonic(t, nil)
	served := c.servedBy()
	counts := make(map[weights]map[string]int)
	for _, a := range h.all() {
		versions := served[a.requestID]
		assert.Check(t, len(versions) == 1, "request %s ran on versions %v", a.requestID, versions)
		revisions := s.inForce(a.request.entry.id, a.sent, a.sent.Add(a.took))
		for v := range versions {
			allowed := false
			for _, r := range revisions {
				allowed = allowed || weightsAt(t, writes, r).allows(v)
			}
			assert.Check(t, allowed, "request %s ran on version %s, in force were revisions %v", a.requestID, v, revisions)
			w := weightsAt(t, writes, revisions[0])
			if counts[w] == nil {
				counts[w] = make(map[string]int)
			}
			counts[w][v]++
		}
	}
	report(t, "canary in 5 steps: requests by weights and version %v; %s; %s", counts, h.describe(), h.latencies())
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: len(h.all())}, "%s", h.describe())
	canary := counts[steps[1]]
	part := float64(canary[newVersion]) / float64(max(1, canary[newVersion]+canary[oldVersion]))
	assert.Check(t, part > 0.05 && part < 0.4, "a weight of 1 in 5 took %.2f", part)
	c.waitFree(freeBound)
}

// writes returns all writes that the platform accepted, in order.
func (c *cluster) writes() []platformstandin.Accepted {
	c.t.Helper()
	var out []platformstandin.Accepted
	assert.NilError(c.t, getJSON(c.platformAddress, "/record", &out))
	return out
}

// isSwitching reports whether an agent is draining its server for an order.
func (n *node) isSwitching() bool {
	var state struct {
		Agent struct {
			Load struct{ Leaving bool }
		} `json:"agent"`
	}
	return getJSON(n.operator, "/debug/state", &state) == nil && state.Agent.Load.Leaving
}

// writeNotes keeps changing a label of each decode server as an operator until done
// is closed, and records the changes that succeeded.
func (c *cluster) writeNotes(done <-chan struct{}) (wg *sync.WaitGroup, written map[string][]string) {
	wg, written = &sync.WaitGroup{}, make(map[string][]string)
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			n := c.decode[i%len(c.decode)]
			note := fmt.Sprint("note-", i)
			if _, code := c.jayfordctl("label", n.id, labelSerial+"="+note); code == ctl.ExitOK {
				written[n.id] = append(written[n.id], note)
			}
		}
	})
	return wg, written
}

// checkLabels checks by the platform's record that each write of a server's labels
// changed either the role or the note, so that neither writer overwrote the other,
// and that exactly the notes reported as written to the operator were stored, in
// order. It returns the number of role changes.
func (c *cluster) checkLabels(written map[string][]string) (changes int) {
	c.t.Helper()
	for _, n := range c.decode {
		var role, note string
		var notes []string
		for i, w := range c.writes() {
			if w.Kind != object.KindServer || w.Name != n.id {
				continue
			}
			var spec object.Server
			assert.NilError(c.t, json.Unmarshal(w.Spec, &spec))
			newRole, newNote := spec.Labels[object.LabelRole], spec.Labels[labelSerial]
			assert.Check(c.t, role == "" || newRole == role || newNote == note, "write %d of %s: role %s to %s and note %s to %s", i, n.id, role, newRole, note, newNote)
			if role != "" && newRole != role {
				changes++
			}
			if newNote != note {
				notes = append(notes, newNote)
			}
			role, note = newRole, newNote
		}
		assert.DeepEqual(c.t, notes, written[n.id])
	}
	return changes
}

// An operator declares a minimum of one more prefill server, and the capacity
// controller begins to drain a decode server for it. During the drain the operator
// changes that server's role label to take it out of the pool; a second operator
// keeps changing another label of all servers, so that each write of the controller
// races with one. No label may be lost, the operator's role must stay, the
// controller must take another server, and no answer may be truncated.
func TestOperatorsLabelWinsOverController(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 3, prefill: 1, decode: 6, entry: shortIntervals})
	c.leader(nil)
	done := make(chan struct{})
	notes, written := c.writeNotes(done)
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(60 * time.Millisecond):
			}
			wg.Go(func() {
				a := request{entry: c.entries[i%3], prompt: fmt.Sprint("label ", i), maxTokens: 80, stream: i%2 == 0}
				h.add(complete(context.Background(), a))
			})
		}
	})
	c.apply(t.TempDir(), "intent", `[{"kind": "intent", "name": "more", "spec": {"format": 1, "pool": "model", "minPrefill": 2, "minDecode": 4}}]`)
	begin := time.Now()
	var taken *node
	// Servers are busy in each zone, so draining one takes some seconds.
	eventually(t, 20*time.Second, "an order", func() error {
		for _, n := range c.decode {
			if n.isSwitching() {
				taken = n
				return nil
			}
		}
		return errorf("none")
	})
	ordered := time.Since(begin)
	outcomes, code := c.relabelByClient(taken, object.RoleService)
	assert.Equal(t, code, ctl.ExitOK, "%+v", outcomes)
	won := time.Since(begin)
	var other *node
	eventually(t, 20*time.Second, "another prefill server", func() error {
		for _, n := range c.decode {
			if n != taken && c.roleOf(n) == object.RolePrefill {
				other = n
				return nil
			}
		}
		return errorf("none")
	})
	took := time.Since(begin)
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	notes.Wait()
	changes := c.checkLabels(written)
	noted := 0
	for _, list := range written {
		noted += len(list)
	}
	report(t, "order on %s after %s, taken out by the operator after %s; %s serves prefill after %s; %d role changes, %d notes; %s", taken.id, ordered.Round(time.Millisecond), won.Round(time.Millisecond),
		other.id, took.Round(time.Millisecond), changes, noted, h.describe())
	assert.Equal(t, c.roleOf(taken), object.RoleService, "the controller overwrote the operator's label")
	assert.Equal(t, changes, 2)
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: len(h.all())}, "%s", h.describe())
	c.waitFree(freeBound)
}

// relabelByClient changes a role by the operators' client, and retries on a conflict
// as an operator would.
func (c *cluster) relabelByClient(n *node, role string) (outcomes []ctl.Outcome, code int) {
	const tries = 20
	for range tries {
		outcomes, code = c.jayfordctl("label", n.id, object.LabelRole+"="+role)
		if code != ctl.ExitConflict {
			return outcomes, code
		}
	}
	return outcomes, code
}

// roleOf returns the role in a server's stored labels.
func (c *cluster) roleOf(n *node) string {
	c.t.Helper()
	o, err := c.store.Get(context.Background(), object.KindServer, n.id)
	assert.NilError(c.t, err)
	var s object.Server
	assert.NilError(c.t, json.Unmarshal(o.Spec, &s))
	return s.Labels[object.LabelRole]
}
