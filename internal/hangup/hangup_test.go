package hangup

import (
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a SIGHUP that ends a gateway whose process has just started: with a
// further import the package would be initialised behind others.
func TestPackageIsInitialisedEarly(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "hangup.go", nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, i := range f.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		assert.NilError(t, err)
		assert.Assert(t, slices.Contains([]string{"os", "os/signal", "syscall"}, path), path)
	}
}

func TestHangupsAreCaught(t *testing.T) {
	c := Catch()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("no signal")
	}
}
