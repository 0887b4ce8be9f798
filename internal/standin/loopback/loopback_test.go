package loopback

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// FindFree is called while other tests start processes. Between fork and exec a child
// holds copies of its parent's sockets, so a listening probe that the parent has
// closed can stay open for a moment, and the caller's own listen fails with "address
// already in use".
func TestFreeWhileProcessesStart(t *testing.T) {
	const (
		starters = 4
		takes    = 3000
	)
	// Outside the declared ranges, whose users may run at the same time.
	addresses := New(Host, Range{First: 11000, Last: 11989})
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
		address, err := addresses.FindFree()
		assert.NilError(t, err)
		l, err := net.Listen("tcp", address)
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

// FindFree must find the only free port of a range, wherever the search begins, and must
// return an error rather than search forever if no port is free.
func TestFreeFindsTheLastPort(t *testing.T) {
	ports := Range{First: 11990, Last: 11993}
	addresses := New(Host, ports)
	var taken []net.Listener
	for range ports.size() {
		address, err := addresses.FindFree()
		assert.NilError(t, err)
		l, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		taken = append(taken, l)
	}
	_, err := addresses.FindFree()
	assert.ErrorContains(t, err, "no free port")
	want := taken[2].Addr().String()
	taken[2].Close()
	got, err := addresses.FindFree()
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	for _, l := range taken {
		l.Close()
	}
}

// Guards against a process that ends at its start because its UDP port is in use, though
// nothing listens there by TCP.
func TestFreeIsFreeOfUDPToo(t *testing.T) {
	ports := Range{First: 11994, Last: 11999}
	address, err := New(Host, ports).FindFree()
	assert.NilError(t, err)
	c, err := net.ListenPacket("udp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	addresses := New(Host, ports)
	for range ports.size() - 1 {
		got, err := addresses.FindFree()
		assert.NilError(t, err)
		assert.Assert(t, got != address, "in use by UDP")
	}
}
