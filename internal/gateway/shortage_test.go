package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// failingProbes is a backend whose probes fail.
type failingProbes struct {
	Backend
	err error
}

// Probe implements Backend.
func (b failingProbes) Probe(context.Context, catalog.Server, string) error { return b.err }

// Guards against a gateway without descriptors that doubts sound servers, and has its peers doubt
// them.
func TestOwnLackOfDescriptorsIsNoDoubtOfAServer(t *testing.T) {
	lack := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	g := newGateway(t, &fakeBackend{})
	g.backend = failingProbes{g.backend, lack}
	told := 0
	g.ShareDoubts(func(uint64) { told++ })
	server := testServers()[0]
	g.recordFailure(t.Context(), server, verdict.Wrap(lack, verdict.NotRun, verdict.Unreachable, "The server can't be reached."))
	g.probeOne(t.Context(), server)
	assert.Equal(t, told, 0)
	assert.Equal(t, len(g.view.probes(time.Now().Add(time.Minute))), 0)
}
