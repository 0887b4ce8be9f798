package test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/policy/route"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// canarySigmas bounds the deviation of a share from its weight, in standard
// deviations of a binomial count. One run in 16,000 exceeds it by chance.
const canarySigmas = 4

// An operator uses the client alone to send a tenth and then half of a model's
// requests to servers of a new version, under load. By the engines' records each
// version must get its share, no request may fail while the weights change, and
// explain must match what happens.
func TestCanaryWeights(t *testing.T) {
	t.Parallel()
	const n = 500
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 4, engine: enginestandin.Options{
		TokenTime: time.Millisecond, PrefillPerThousand: 5 * time.Millisecond,
	}})
	canary := map[string]bool{c.decode[3].id: true}
	for _, s := range c.engines() {
		version := "version=v1"
		if s == c.prefill[1] || s == c.decode[3] {
			version = "version=v2"
		}
		c.label(s.id, version)
	}
	for _, weights := range [][2]int{{90, 10}, {50, 50}} {
		during := &history{}
		changed := c.load(during, n, 10*time.Millisecond, canaryRequest("during", weights))
		c.splitTraffic(weights)
		changed.Wait()
		c.checkHistory(during)
		assert.Equal(t, during.tally(), tally{whole: n}, "while the weights change: %s", during.describe())

		after := &history{}
		c.load(after, n, 10*time.Millisecond, canaryRequest("after", weights)).Wait()
		c.checkHistory(after)
		assert.Equal(t, after.tally(), tally{whole: n}, "%s", after.describe())
		got := c.decodedBy(after, canary)
		p := float64(weights[1]) / float64(weights[0]+weights[1])
		bound := canarySigmas * math.Sqrt(n*p*(1-p))
		report(t, "weights %v: %d of %d decoded by the new version, %.0f expected within %.0f", weights, got, n, n*p, bound)
		assert.Check(t, math.Abs(float64(got)-n*p) <= bound)
		c.checkExplanations(weights)
	}
}

func canaryRequest(tag string, weights [2]int) func(int) request {
	return func(i int) request { return request{prompt: fmt.Sprint(tag, weights, i), maxTokens: 2 + i%3} }
}

func (c *cluster) label(server, label string) {
	c.t.Helper()
	_, code := c.jayfordctl("label", server, label)
	assert.Equal(c.t, code, 0, "jayfordctl label %s %s", server, label)
}

// splitTraffic divides the model's requests between the two versions by weight, and waits
// until explain shows this at both entries.
func (c *cluster) splitTraffic(weights [2]int) {
	c.t.Helper()
	type written struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Spec any    `json:"spec"`
	}
	pool := func(version string) written {
		labels := func(role string) map[string]string {
			return map[string]string{object.LabelModel: testModel, object.LabelRole: role, object.LabelVersion: version}
		}
		return written{object.KindPool, "model-" + version, object.Pool{
			Format: object.Format, Model: testModel, Prefill: labels(object.RolePrefill), Decode: labels(object.RoleDecode),
		}}
	}
	text, err := json.Marshal([]written{pool("v1"), pool("v2"), {object.KindSelector, "model", object.Selector{
		Format: object.Format, Order: 10, Match: object.Match{Models: []string{testModel}},
		Targets: []object.Target{{Pool: "model-v1", Weight: weights[0]}, {Pool: "model-v2", Weight: weights[1]}},
	}}})
	assert.NilError(c.t, err)
	file := filepath.Join(c.dir, "split.json")
	assert.NilError(c.t, os.WriteFile(file, text, 0o600))
	_, code := c.jayfordctl("apply", file)
	assert.Equal(c.t, code, 0, "jayfordctl apply")
	for _, e := range c.entries {
		eventually(c.t, inForceBound, "weights in force at "+e.id, func() error {
			x, err := c.explain(e)
			if err == nil && (len(x.Targets) != 2 || x.Targets[1].Weight != weights[1]) {
				err = errorf("%+v", x.Targets)
			}
			return err
		})
	}
}

// explain uses the client to ask an entry where a completion would be routed.
func (c *cluster) explain(e *node) (route.Explanation, error) {
	var x route.Explanation
	out, err := exec.Command(filepath.Join(binaries, "jayfordctl"), "--output", "json", "explain",
		"--operator", e.operator, "--model", testModel, "--organisation", "o").Output()
	if err != nil {
		return x, err
	}
	return x, json.Unmarshal(out, &x)
}

// settleBound bounds how long explain may show a server as leaving after its new
// label leads to an order: the order itself, the entry's next poll of the agent one
// second later, and the tick that finds it due.
const settleBound = 3 * time.Second

// checkExplanations checks that both entries report the selector, the shares, the
// selected servers and the reason why each other one is not selected. A server is
// correctly shown as leaving while an order runs, so it gets settleBound to
// return.
func (c *cluster) checkExplanations(weights [2]int) {
	c.t.Helper()
	for _, e := range c.entries {
		eventually(c.t, settleBound, "explanation of "+e.id, func() error { return c.checkExplanation(e, weights) })
	}
}

func (c *cluster) checkExplanation(e *node, weights [2]int) error {
	x, err := c.explain(e)
	if err != nil {
		return err
	}
	if x.Choice.Selector != "model" || x.Reason != route.Decides {
		return errorf("selector %q: %s", x.Choice.Selector, x.Reason)
	}
	for i, version := range []string{"v1", "v2"} {
		got := x.Targets[i]
		if got.Pool != "model-"+version || got.Share != float64(weights[i])/100 {
			return errorf("target %d: %+v", i, got)
		}
		if len(got.Servers) != 2*len(c.engines()) {
			return errorf("%d servers, want each one for both roles", len(got.Servers))
		}
		for _, s := range got.Servers {
			if want := c.engineReason(s.Server, s.Role, version); s != want {
				return errorf("%+v, want %+v", s, want)
			}
		}
	}
	return nil
}

// engineReason returns the reason that explain must give for a server, a role and a
// version's pool.
func (c *cluster) engineReason(id, role, version string) route.ServerReason {
	r := route.ServerReason{Server: id, Role: role, Reason: route.Selected}
	actualRole, actualVersion := object.RoleDecode, "v1"
	if id == c.prefill[0].id || id == c.prefill[1].id {
		actualRole = object.RolePrefill
	}
	if id == c.prefill[1].id || id == c.decode[3].id {
		actualVersion = "v2"
	}
	switch {
	case actualRole != role:
		r.Reason, r.Label, r.Want, r.Got = route.Mismatch, object.LabelRole, role, actualRole
	case actualVersion != version:
		r.Reason, r.Label, r.Want, r.Got = route.Mismatch, object.LabelVersion, version, actualVersion
	}
	return r
}

// decodedBy counts the requests of a history that were decoded by the named engines.
func (c *cluster) decodedBy(h *history, names map[string]bool) int {
	asked := map[string]bool{}
	for _, a := range h.all() {
		asked[a.requestID] = true
	}
	found := map[string]bool{}
	for _, n := range c.decode {
		if !names[n.id] {
			continue
		}
		for _, e := range n.record().Entries {
			if e.Kind == enginestandin.EntryStart && asked[e.Attempt.Request] {
				found[e.Attempt.Request] = true
			}
		}
	}
	return len(found)
}
