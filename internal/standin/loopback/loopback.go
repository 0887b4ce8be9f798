// Package loopback allocates listen addresses for systems that run with their
// stand-ins on one machine.
package loopback

import (
	"cmp"
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

// envTestHost sets the loopback address of the tests' processes. Concurrent runs of the
// same tests each need one of their own: 127.0.0.2 and so on.
const envTestHost = "JAYFORD_TEST_HOST"

// TestHost returns the address that JAYFORD_TEST_HOST sets, or Host.
func TestHost() string { return cmp.Or(os.Getenv(envTestHost), Host) }

// Range is a range of ports, both ends included.
type Range struct{ First, Last int }

// Disjoint port ranges of the programs that may run at the same time; with a shared
// range, one could take a port that another has just found free. All are below the
// kernel's ephemeral ports, since an outgoing connection could otherwise occupy a
// port before its listener opens or while its process restarts.
var (
	Tests      = Range{12000, 16999}
	Soak       = Range{17000, 21999}
	Experiment = Range{22000, 27000}
	Slopes     = Range{27001, 30000}
	Dev        = Range{30001, 32767}
)

const (
	// pidStride makes processes that share a range start searching at different
	// ports.
	pidStride = 37
	// probeTimeout is ample for a reply on loopback. A listener whose backlog
	// is full doesn't reply, so a timeout means that the port is in use.
	probeTimeout = time.Second
	// udpProbeTimeout is ample for the kernel to refuse a datagram on loopback.
	udpProbeTimeout = 50 * time.Millisecond
)

// Addresses allocates each address of a range once before it starts over. It is safe
// for concurrent use.
type Addresses struct {
	host  string
	ports Range

	mu sync.Mutex
	// next is guarded by mu.
	next int
}

// New returns the addresses of a port range at host, an IP address of this machine.
func New(host string, ports Range) *Addresses {
	return &Addresses{host: host, ports: ports, next: os.Getpid() * pidStride % ports.size()}
}

func (r Range) size() int { return r.Last - r.First + 1 }

// FindFree returns an address, "ip:port", that nothing listens on by TCP or UDP, or an
// error if there is none in the range.
//
// It probes by connecting. A listening probe could outlive its close: child processes
// that are being started hold copies of the socket until they call exec, and the
// caller's own listen would fail with "address already in use".
func (a *Addresses) FindFree() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range a.ports.size() {
		a.next = (a.next + 1) % a.ports.size()
		address := net.JoinHostPort(a.host, strconv.Itoa(a.ports.First+a.next))
		c, err := net.DialTimeout("tcp", address, probeTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) && isFreeUDP(address) {
			return address, nil
		}
		if err == nil {
			c.Close()
		}
	}
	return "", eris.Errorf("loopback: no free port at %s from %d to %d", a.host, a.ports.First, a.ports.Last)
}

// isFreeUDP reports whether the kernel refuses a datagram to address.
func isFreeUDP(address string) bool {
	c, err := net.DialTimeout("udp", address, udpProbeTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(udpProbeTimeout)); err != nil {
		return false
	}
	if _, err := c.Write([]byte{0}); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
