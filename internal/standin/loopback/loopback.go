// Package loopback gives out addresses for the listeners of systems that run
// with their stand-ins on one machine.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Host is the usual loopback address.
const Host = "127.0.0.1"

// Range is a range of ports, both ends included.
type Range struct{ First, Last int }

// The ranges of those that may run beside each other: a port that one has found
// free, the other could take before it is used. All are below the range that the
// kernel takes for outgoing connections: one of these could hold the port by the
// time that its listener opens, or while its process restarts.
var (
	Tests      = Range{12000, 21999}
	Experiment = Range{22000, 27000}
	Slopes     = Range{27001, 30000}
	Dev        = Range{30001, 32767}
)

const (
	// spread sets apart where two processes with one range begin.
	spread = 37
	// probeTimeout is ample for an answer on loopback. What gives none, as its
	// queue of connections is full, listens.
	probeTimeout = time.Second
)

// Addresses gives out each address once until its range is used up. It is safe
// for concurrent use.
type Addresses struct {
	host  string
	ports Range

	mu sync.Mutex
	// next is guarded by mu.
	next int
}

// New returns the addresses of a range at host, an IP number of this machine.
func New(host string, ports Range) *Addresses {
	return &Addresses{host: host, ports: ports, next: os.Getpid() * spread % ports.size()}
}

func (r Range) size() int { return r.Last - r.First + 1 }

// Free returns an address, "ip:port", that nothing listens on, or an error if
// there is none in the range.
//
// It looks by connecting. A listener of its own as the probe could outlive its
// close: until they have execed, processes that start meanwhile hold copies of
// it, and the caller's own listener is refused with "address already in use".
func (a *Addresses) Free() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range a.ports.size() {
		a.next = (a.next + 1) % a.ports.size()
		address := net.JoinHostPort(a.host, strconv.Itoa(a.ports.First+a.next))
		c, err := net.DialTimeout("tcp", address, probeTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return address, nil
		}
		if err == nil {
			c.Close()
		}
	}
	return "", eris.Errorf("loopback: no free port at %s from %d to %d", a.host, a.ports.First, a.ports.Last)
}
