package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
)

// testdata holds configurations of the platform. They differ in one or two fields.
const testdata = "../../platform/testdata/"

// Guards against a client whose check isn't joined to the platform's decoder.
func TestConfigCheck(t *testing.T) {
	run := func(want int, args ...string) string {
		var out, problems bytes.Buffer
		code := ctl.Run(context.Background(), environment(&out, &problems), append([]string{"config", "check"}, args...))
		assert.Equal(t, code, want, "%s%s", out.String(), problems.String())
		assert.Assert(t, !strings.Contains(out.String()+problems.String(), "secret"))
		return strings.ReplaceAll(out.String(), testdata, "")
	}
	inForce, next := testdata+"in-force.jsonc", testdata+"next.jsonc"
	assert.Equal(t, run(ctl.ExitOK, inForce), "in-force.jsonc: no findings\n")
	assert.Equal(t, run(ctl.ExitOK, next, "--against", inForce), `next.jsonc:3: note: route "r" changes: kind from idempotent to streaming
next.jsonc:5: note: organisation "one" changes: 2 keys added, 1 removed
`)
	assert.Equal(t, run(ctl.ExitFindings, testdata+"wrong.jsonc"), `wrong.jsonc:3: error: route "r" leads to service "t", which isn't declared
wrong.jsonc:4: warning: service "s": no route leads to it
`)
	run(ctl.ExitInvalid, testdata+"cut.jsonc")
}
