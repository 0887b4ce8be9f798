package test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/cli"
	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/policy/route"
)

// getPage returns the body of a page and its status.
func getPage(t *testing.T, address, path string) (string, int) {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body), resp.StatusCode
}

// Each process serves metrics and a state dump on its operators' listener, and the
// client prints the same dump. Callers must not see any of it: on their listener
// these paths are routed to a plain service like all others.
func TestOperatorsSeeWhatCallersDont(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, services: 1})
	got := complete(context.Background(), request{entry: c.entries[0], prompt: "seen", maxTokens: 5})
	assert.Assert(t, got.whole, "%+v", got)
	for _, n := range c.nodes() {
		text, status := getPage(t, n.operator, operator.PathMetrics)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.Contains(text, "\njayford_") && strings.Contains(text, "\ngo_goroutines "), "%s:\n%s", n.id, text)
		var state map[string]json.RawMessage
		assert.NilError(t, getJSON(n.operator, operator.PathState, &state), n.id)
		assert.Assert(t, len(state["config"]) > 0, "%s: %v", n.id, state)
		out, code := c.runClient("dump", "--operator", n.operator)
		assert.Equal(t, code, ctl.ExitOK, out)
		var dumped map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal([]byte(out), &dumped), out)
		assert.Equal(t, len(dumped), len(state))
	}
	metrics, _ := getPage(t, c.entries[0].operator, operator.PathMetrics)
	assert.Assert(t, strings.Contains(metrics, "\njayford_attempts_total 1\n"), metrics)
	for _, path := range []string{operator.PathMetrics, operator.PathState, operator.PathStatus, operator.PathExplain} {
		text, _ := getPage(t, c.entries[0].listen, path)
		assert.Assert(t, !strings.Contains(text, "jayford_") && !strings.Contains(text, `"config"`), "%s: %s", path, text)
	}
	assert.Equal(t, len(c.services[0].calls()), 4, "the service must get the requests that the entry doesn't serve itself")
}

// statusBound is how soon status shows a version in force: processes report every 5
// s, and the writer of their availability zone checks every 5 s.
const statusBound = 13 * time.Second

// An operator changes a label and queries where it is in force. The platform's
// status objects must show each process with the change within the bound, and so
// must each process that is queried directly; a dead one is reported as unreachable
// without hiding the others.
func TestStatusShowsWhatIsInForceWhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 1, decode: 1, services: 1})
	_, code := c.jayfordctl("label", c.services[0].id, "colour=red")
	assert.Equal(t, code, ctl.ExitOK)
	begin := time.Now()
	eventually(t, statusBound, "status objects", func() error { return c.allCurrent() })
	report(t, "all processes shown with the change after %s", time.Since(begin).Round(100*time.Millisecond))
	var asked []string
	for _, n := range c.nodes() {
		asked = append(asked, "--operator", n.operator)
	}
	assert.NilError(t, c.allCurrent(asked...))
	c.services[0].kill()
	out, code := c.runClient(append([]string{"--output", "json", "status"}, asked...)...)
	assert.Equal(t, code, ctl.ExitUnreachable, out)
	for _, n := range c.nodes() {
		assert.Assert(t, strings.Contains(out, n.id), "%s isn't in %s", n.id, out)
	}
}

// allCurrent returns an error unless status shows every process with the stored
// configuration in force.
func (c *cluster) allCurrent(args ...string) error {
	out, code := c.runClient(append([]string{"--output", "json", "status"}, args...)...)
	var status ctl.Status
	if code != ctl.ExitOK || json.Unmarshal([]byte(out), &status) != nil {
		return errorf("exit code %d: %s", code, out)
	}
	current := make(map[string]bool)
	for _, p := range status.Processes {
		current[p.ID] = p.Current
	}
	for _, n := range c.nodes() {
		if !current[n.id] {
			return errorf("%s isn't current: %s", n.id, out)
		}
	}
	return nil
}

// runClient runs the operators' client and returns its output and exit code.
func (c *cluster) runClient(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binaries, "jayfordctl"), append([]string{"--platform", c.platformAddress}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// A request can't be answered before its deadline. Its refusal must carry the
// request id, and the entry's log must have a line with that id and the entry's
// prefix.
func TestRefusedRequestIsFoundInTheLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	got := complete(context.Background(), request{
		entry: c.entries[0], prompt: "hasty", maxTokens: 400, headers: map[string]string{headerDeadline: "300ms"},
	})
	assert.Equal(t, got.code, "deadline", "%+v", got)
	assert.Assert(t, got.requestID != "")
	eventually(t, 2*time.Second, "log line", func() error {
		for line := range strings.Lines(c.entries[0].logs()) {
			if strings.Contains(line, got.requestID) && strings.Contains(line, `"msg":"entry: `) {
				return nil
			}
		}
		return errorf("no line of part entry has %s:\n%s", got.requestID, c.entries[0].logs())
	})
}

// An operator looks into an answer that was late or wrong. By the request id the
// entry's log shows the servers that were chosen, by which configuration, and how
// the attempts ended, for an answered request as for a refused one.
func TestDecisionsOnARequestAreFoundInTheLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	got := complete(context.Background(), request{entry: c.entries[0], prompt: "told", maxTokens: 5})
	assert.Equal(t, got.code, "", "%+v", got)
	for _, want := range []string{
		`"msg":"entry: slot granted."`, `"phase":"PHASE_DECODE"`, `"msg":"entry: prompt read."`, `"msg":"entry: request answered."`,
	} {
		eventually(t, 2*time.Second, want, func() error {
			for line := range strings.Lines(c.entries[0].logs()) {
				if strings.Contains(line, got.requestID) && strings.Contains(line, want) {
					return nil
				}
			}
			return errorf("no line of %s has %s:\n%s", got.requestID, want, c.entries[0].logs())
		})
	}
}

// daemon runs jayfordd in a process of its own.
func daemon(t *testing.T, args ...string) *process {
	p := &process{t: t, name: args[0], path: filepath.Join(binaries, "jayfordd"), args: args}
	p.start()
	t.Cleanup(p.kill)
	return p
}

func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// The dev role must list its model within ten seconds, answer completions, chats and
// plain calls whole, and exit within five seconds of Ctrl-C.
func TestDevServesAndStops(t *testing.T) {
	t.Parallel()
	e := &node{listen: freeAddress(t), operator: freeAddress(t)}
	p := daemon(t, "dev", "--listen", e.listen, "--operator", e.operator)
	eventually(t, 10*time.Second, "models", func() error {
		var models struct{ Data []struct{ ID string } }
		if err := getJSON(e.listen, "/v1/models", &models); err != nil {
			return err
		}
		if len(models.Data) != 1 {
			return errorf("%v", models)
		}
		return nil
	})
	for path, body := range map[string]string{
		"/v1/completions":      `{"model":"small-model","prompt":"hello there","max_tokens":8}`,
		"/v1/chat/completions": `{"model":"small-model","messages":[{"role":"user","content":"hi"}],"max_tokens":8,"stream":true}`,
		"/faces/42?size=small": "a face",
	} {
		got := exchange(context.Background(), request{entry: e}, http.MethodPost, path, []byte(body))
		assert.Check(t, got.whole, "%s: %+v", path, got)
	}
	p.signal(os.Interrupt)
	assert.Assert(t, p.wait(5*time.Second), "it is still running:\n%s", p.logs())
	assert.Equal(t, p.exitCode(), cli.ExitOK, p.logs())
}

// With --check an operator validates settings before a start. All faults must be
// reported with file and line, nothing is started, and valid settings pass.
func TestSettingsAreChecked(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "entry.json")
	check := func(text string) (string, int) {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		p := daemon(t, "entry", "--settings", path, "--check")
		assert.Assert(t, p.wait(5*time.Second), "it is still running")
		return p.logs(), p.exitCode()
	}
	good := `{
  // An entry.
  "id": "entry-1", "region": "r", "availabilityZone": "a",
  "peer": "127.0.0.1:7001", "operator": "127.0.0.1:7002", "platform": "127.0.0.1:7003",
  "listen": "127.0.0.1:7004",
}`
	out, code := check(good)
	assert.Equal(t, code, cli.ExitOK, out)
	bad := strings.Replace(good, `"listen": "127.0.0.1:7004"`, "\"listen\": \"localhost\",\n  \"stopWithin\": 5,\n  \"colour\": \"red\"", 1)
	out, code = check(bad)
	assert.Equal(t, code, cli.ExitInvalid, out)
	for _, want := range []string{":5: listen: ", ":6: stopWithin: ", ":7: colour: unknown key"} {
		assert.Check(t, strings.Contains(out, path+want), "%s\nin\n%s", want, out)
	}
}

// One service is drained by an operator, the agent of another is killed, and a third
// is removed from the platform's list while it is suspected. Explain must not report
// any of them as selected, though their labels match, and must give the reason for
// each.
func TestExplainTellsWhoIsNotUsed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, services: 10})
	// Servers in the entry's availability zone, which is preferred.
	drained, killed, unlisted, used := c.services[0], c.services[3], c.services[6], c.services[9]
	c.sendGets("before", 40, 5*time.Millisecond)
	_, code := c.jayfordctl("drain", drained.id)
	assert.Equal(t, code, ctl.ExitOK)
	killed.kill()
	unlisted.kill()
	c.sendGets("killed", 40, 5*time.Millisecond)
	unlisted.unlisted = true
	c.publishInstances()
	want := map[string]route.Reason{
		drained.id: route.Drained, killed.id: route.Doubted, unlisted.id: route.Unlisted, used.id: route.Selected,
	}
	eventually(t, inForceBound, "explain", func() error {
		out, _ := c.runClient("explain", "--operator", c.entries[0].operator, "--method", "GET", "--path", "/faces/1")
		var e route.Explanation
		if err := json.Unmarshal([]byte(out), &e); err != nil {
			return err
		}
		got := make(map[string]route.Reason)
		for _, s := range e.Servers {
			if _, ok := want[s.Server]; ok {
				got[s.Server] = s.Reason
			}
		}
		if !maps.Equal(got, want) {
			return errorf("%v", got)
		}
		return nil
	})
}
