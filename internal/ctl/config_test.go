package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/configcheck"
)

// anywhere is the place of all fields.
type anywhere struct{}

func (anywhere) Line(configcheck.Place) int    { return 3 }
func (anywhere) Faulty(configcheck.Place) bool { return false }

// readTestConfig stands in for the platform's decoder. A text is the name of a service.
func readTestConfig(file string, text []byte) (configcheck.Draft, error) {
	d := configcheck.Draft{File: file, Places: anywhere{}, Config: &catalog.Config{Version: 1}}
	switch string(text) {
	case "undecodable":
		return d, errors.New("undecodable text")
	case "next":
		d.Config.Version = 2
	case "unused":
		d.Services = []catalog.Service{{Name: "s"}}
	case "without version":
		d.Config.Version = 0
	case "large":
		d.Config.Limits.HeaderBytes = 40 << 10
	}
	return d, nil
}

func runCheck(t *testing.T, want int, args ...string) (stdout, stderr string) {
	t.Helper()
	var out, problems bytes.Buffer
	env := Environment{Stdout: &out, Stderr: &problems, ReadConfig: readTestConfig}
	code := Run(context.Background(), env, append([]string{"config", "check"}, args...))
	assert.Equal(t, code, want, "%v\n%s%s", args, out.String(), problems.String())
	return out.String(), problems.String()
}

// Guards against a script that sends a configuration with findings: the exit code tells
// them from none, and from a file that can't be judged.
func TestConfigCheckExitCodes(t *testing.T) {
	good, next := writeConfig(t, "good"), writeConfig(t, "next")
	out, _ := runCheck(t, ExitOK, good)
	assert.Equal(t, out, good+": no findings\n")
	out, _ = runCheck(t, ExitOK, next, "--against", good)
	assert.Equal(t, out, next+": no findings\n")
	out, _ = runCheck(t, ExitFindings, good, "--against", next)
	assert.Equal(t, out, good+":3: error: the version 1 isn't above 2 in "+next+", so gateways ignore this configuration\n")
	unused := writeConfig(t, "unused")
	out, problems := runCheck(t, ExitFindings, unused)
	assert.Equal(t, out, unused+":3: warning: service \"s\": no route leads to it\n")
	assert.Equal(t, problems, "jayfordctl: 0 errors, 1 warnings: the configuration has errors or warnings\n")
	runCheck(t, ExitFindings, writeConfig(t, "without version"))
	bad, missing := writeConfig(t, "undecodable"), filepath.Join(t.TempDir(), "missing")
	for _, args := range [][]string{{bad}, {missing}, {good, "--against", bad}, {good, "--against", missing}, {t.TempDir()}} {
		out, _ = runCheck(t, ExitInvalid, args...)
		assert.Equal(t, out, "")
	}
	_, problems = runCheck(t, ExitInvalid, bad)
	assert.Equal(t, problems, "jayfordctl: undecodable text: invalid\n")
	runCheck(t, ExitUsage)
	runCheck(t, ExitUsage, good, good)
}

// A difference alone is no finding that stops a script.
func TestConfigCheckNotesDontFail(t *testing.T) {
	next, unused := writeConfig(t, "next"), writeConfig(t, "unused")
	out, _ := runCheck(t, ExitOK, next, "--against", unused)
	assert.Equal(t, out, unused+":3: note: service \"s\" is removed\n")
}

func TestConfigCheckPrintsJSON(t *testing.T) {
	unused := writeConfig(t, "unused")
	for _, flag := range []string{"--json", "--output=json"} {
		out, _ := runCheck(t, ExitFindings, unused, flag)
		var r configReport
		assert.NilError(t, json.Unmarshal([]byte(out), &r))
		assert.DeepEqual(t, r, configReport{File: unused, Warnings: 1, Findings: []configcheck.Finding{{
			File: unused, Line: 3, Severity: configcheck.Warning, Code: configcheck.UnusedService, Text: `service "s": no route leads to it`,
		}}})
	}
	out, _ := runCheck(t, ExitOK, writeConfig(t, "good"), "--json")
	var r map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out), &r))
	assert.DeepEqual(t, r["findings"], []any{})
}

func TestConfigCheckUsesTheGatewaysLimits(t *testing.T) {
	large := writeConfig(t, "large")
	runCheck(t, ExitFindings, large)
	runCheck(t, ExitOK, large, "--max-header-bytes", "65536")
}
