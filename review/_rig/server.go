package main

import (
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shortWork is the longest work in milliseconds that isn't recorded.
const shortWork = 200

// plainServer is a stand-in of a server of a plain service. The first part of a path
// behind the route's prefix is how long the work takes, in milliseconds.
type plainServer struct {
	id       string
	listener net.Listener
	log      *record

	http *http.Server
	// leaving: the server says so in its answers. drained is when the store accepted that, in Unix
	// nanoseconds, and late counts the requests that came too long after it.
	leaving       atomic.Bool
	drained, late atomic.Int64
	// lateAfter is that time in nanoseconds.
	lateAfter atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

func startPlainServer(id string, log *record) (*plainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{id: id, listener: l, log: log, runs: map[string]int{}}
	s.http = &http.Server{Handler: s, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// end closes all channels, as the process ends.
func (s *plainServer) end() { _ = s.http.Close() }

func (s *plainServer) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": s.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 16,
		"state": "ready", wire.ColdRemaining: 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// ServeHTTP runs a request: it works for the time in the path, and drops the request when
// its connection is closed.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set(wire.Instance, s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire.RequestID)
	if id != "" {
		w.Header().Set(wire.RequestID, id)
	}
	if want := r.Header.Get(wire.ExpectInstance); want != "" && want != s.id {
		w.Header().Set(wire.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if at := s.drained.Load(); at > 0 {
		if since := time.Since(time.Unix(0, at)); since > time.Duration(s.lateAfter.Load()) {
			s.late.Add(1)
			s.log.add("DRAIN: %s reaches server %s %d ms after the store accepted that it is draining", id, s.id, since.Milliseconds())
		}
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	ms, _ := strconv.Atoi(parts[len(parts)-1])
	if ms > shortWork {
		s.log.add("server %s begins to run %s: %d ms of work", s.id, id, ms)
	}
	began := time.Now()
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		s.log.add("server %s: the channel of %s is closed %d ms after the run began", s.id, id, time.Since(began).Milliseconds())
		return
	}
	body := fmt.Sprintf("done %s\n", id)
	w.Header().Set(wire.Seal, fmt.Sprintf("%s.%08x", s.id, crc32.ChecksumIEEE([]byte(body))))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
	if ms > shortWork {
		s.log.add("server %s has run %s", s.id, id)
	}
}

func (s *plainServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
