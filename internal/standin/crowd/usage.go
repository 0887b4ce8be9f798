package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process takes.
type Usage struct {
	// PeakResident is the most memory that the process has had resident, in bytes.
	PeakResident int
	// Unread are the bytes that the kernel has received for connections to an address and that
	// nobody has read.
	Unread int
	// Descriptors are the open descriptors.
	Descriptors int
}

// Measure returns the usage of a process that listens at an address.
func Measure(pid int, address string) (Usage, error) {
	dir := fmt.Sprint("/proc/", pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}, err
	}
	u := Usage{}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")))
			if err != nil {
				return Usage{}, err
			}
			u.PeakResident = n << 10
		}
	}
	open, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return Usage{}, err
	}
	u.Descriptors = len(open)
	u.Unread, err = unread(address)
	return u, err
}

// unread adds up the receive queues of the established connections at an address.
func unread(address string) (int, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return 0, fmt.Errorf("crowd: no IPv4 address: %s", host)
	}
	// The kernel prints the address in the byte order of the machine, here little-endian.
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		const established = "01"
		if len(f) < 5 || f[1] != local || f[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += int(n)
	}
	return sum, nil
}
