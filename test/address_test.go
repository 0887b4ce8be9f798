package test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A test takes a free address while the tests beside it start their processes.
// Between fork and exec a child holds copies of its parent's sockets, so a probe
// that the parent has closed can go on listening for a moment, and the test's own
// listener is refused with "address already in use".
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const (
		starters = 4
		takes    = 3000
	)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					assert.Check(t, exec.Command("true").Run())
				}
			}
		})
	}
	inUse := 0
	for range takes {
		l, err := net.Listen("tcp", freeAddress(t))
		if err != nil {
			inUse++
			continue
		}
		l.Close()
	}
	close(done)
	wg.Wait()
	assert.Equal(t, inUse, 0, "of %d listeners", takes)
}
