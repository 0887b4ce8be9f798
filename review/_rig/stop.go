package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host = "crew.example"
	// Figures of kcl-wdh for fare-rebook.
	rebookTimeout  = 2000 * time.Millisecond
	rebookDeadline = 4000 * time.Millisecond
	grace          = 8 * time.Second
)

// smallConfig has one route of each plain kind.
func smallConfig() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, wire.PathPrefix: prefix, "kind": kind, "timeout-ms": rebookTimeout.Milliseconds(),
			wire.LatencyObjective: 300, "priority": 2, "service": "booking", "max-attempts": 2,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("rebook", "/rebook/", "non_idempotent"), route("hold", "/hold/", "idempotent")},
		"services": []any{map[string]any{"name": "booking", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// stopCutsLateCall stops a gateway with SIGTERM while clients go on on the channels they keep.
// All but the last calls are short. The last ones are sent 5.8 s and more after the signal and take
// 1.9 s, which is less than their route's timeout.
func stopCutsLateCall(dir string, log *record, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	var servers []*plainServer
	s.put("config", "main", smallConfig())
	for i := range 3 {
		p, err := startPlainServer(fmt.Sprintf("i-%d", i), log)
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
		s.put("servers", p.id, p.entry("booking", "wdh-a"))
	}
	g, err := startReady(dir, "front-wdh-a-1", "wdh-a", s.address())
	if err != nil {
		return false, err
	}
	defer g.kill()
	// The load balancer's readiness checks, and its decision, don't matter here: clients use the
	// channels that they have.
	time.Sleep(3500 * time.Millisecond)

	type call struct {
		// after is when the call is sent, counted from the signal.
		after, work time.Duration
	}
	var calls []call
	for at := 200 * time.Millisecond; at < 5700*time.Millisecond; at += 250 * time.Millisecond {
		calls = append(calls, call{at, 60 * time.Millisecond})
	}
	for at := 5800 * time.Millisecond; at <= 6200*time.Millisecond; at += 50 * time.Millisecond {
		calls = append(calls, call{at, 1900 * time.Millisecond})
	}
	channels := make([]*channel, len(calls))
	for i := range channels {
		c, err := openChannel(g.listen)
		if err != nil {
			return false, err
		}
		defer c.close()
		if o := c.do(http.MethodPost, host, "/rebook/10", fmt.Sprintf("warm-%d", i), "x", rebookDeadline); o.status != http.StatusOK {
			return false, fmt.Errorf("a call before the signal got %s", o)
		}
		channels[i] = c
	}
	signalled := time.Now()
	if trouble {
		log.add("SIGTERM to the gateway")
		g.signal(syscall.SIGTERM)
		defer time.AfterFunc(grace, func() { g.signal(syscall.SIGKILL) }).Stop()
	}
	var lost, answered atomic.Int32
	var wg sync.WaitGroup
	for i, x := range calls {
		wg.Go(func() {
			time.Sleep(time.Until(signalled.Add(x.after)))
			id := fmt.Sprintf("rebook-%d", i)
			sent := time.Now()
			log.add("client sends %s, %d ms after the signal, on a channel that it kept", id, sent.Sub(signalled).Milliseconds())
			o := channels[i].do(http.MethodPost, host, fmt.Sprintf("/rebook/%d", x.work.Milliseconds()), id, "seat 14A", rebookDeadline)
			took := time.Since(sent)
			log.add("client gets for %s after %d ms: %s", id, took.Milliseconds(), o)
			runs := 0
			for _, p := range servers {
				runs += p.ran(id)
			}
			switch {
			case o.err == nil:
				answered.Add(1)
			case runs > 0 && took < rebookTimeout:
				log.add("LOST: %s was passed on to a server, and its channel ended after %d ms without a complete answer", id, took.Milliseconds())
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	log.add("%d calls answered, %d lost", answered.Load(), lost.Load())
	if answered.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return lost.Load() > 0, nil
}
