package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Figures of kcl-wdh-grown: big_config adds 1,400 routes, a config_storm lasts for 4.0 s with 0.33 s
	// between two versions, a core_cut for up to 6.3 s. config-ms is 3,000, stable-window-ms 4,000.
	addedRoutes       = 1400
	bigConfigs        = 2
	stormVersions     = 13
	stormInterval     = 330 * time.Millisecond
	backlogCut        = 6 * time.Second
	configBound       = 3000 * time.Millisecond
	grownStableWindow = 4000 * time.Millisecond
	backlogWatched    = 40 * time.Second
)

// bigConfig is smallConfig with many more routes, and with the route that the last version adds.
func bigConfig(version int, withNewRoute bool) map[string]any {
	c := smallConfig()
	routes, _ := c["routes"].([]any)
	for i := range bigConfigs * addedRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-added-%d", i), "hostname": fmt.Sprintf("added%d.example", i%40), wire.PathPrefix: fmt.Sprintf("/added%d/", i), "kind": "streaming",
			"timeout-ms": 14000, wire.LatencyObjective: 900, "priority": 1, "service": "booking", "max-attempts": 1, "session-affinity": true,
			wire.Resume: false, "target-gap-ms": 300,
		})
	}
	if withNewRoute {
		routes = append(routes, map[string]any{
			"name": "new", "hostname": host, wire.PathPrefix: "/new/", "kind": "non_idempotent", "timeout-ms": rebookTimeout.Milliseconds(),
			wire.LatencyObjective: 300, "priority": 2, "service": "booking", "max-attempts": 2,
		})
	}
	c["routes"], c["version"] = routes, version
	return c
}

// backlogNeverFits partitions one of two gateways from the store while the operator writes versions of
// a large config in quick succession. The last one adds a route, which clients use at both
// gateways. Only calls count that are sent when the gateway is in touch again and the bound of the
// config has passed.
func backlogNeverFits(dir string, log *record, trouble bool) (bool, error) {
	f, err := startFleet(dir, log, bigConfig(10, false), 2)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	x := &servers{}
	for range 3 {
		if err := x.add(f); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	cutAt := time.Now()
	if trouble {
		log.add("the link of %s to the store is cut for %d ms", f.gateways[0].id, backlogCut.Milliseconds())
		f.links[0].cut()
		time.AfterFunc(backlogCut, func() {
			f.links[0].heal()
			log.add("the link is healed")
		})
	}
	time.Sleep(500 * time.Millisecond)
	for i := range stormVersions {
		f.store.put("config", "main", bigConfig(11+i, i == stormVersions-1))
		log.add("the store has accepted version %d", 11+i)
		time.Sleep(stormInterval)
	}
	acknowledged := time.Now()
	counted := acknowledged.Add(configBound)
	if inTouch := cutAt.Add(backlogCut + grownStableWindow); inTouch.After(counted) {
		counted = inTouch
	}
	var refused, served atomic.Int32
	var wg sync.WaitGroup
	for i, g := range f.gateways {
		wg.Go(func() {
			for n := 0; time.Since(acknowledged) < backlogWatched; n++ {
				id, sent := fmt.Sprintf("%s-%d", g.id, n), time.Now()
				c, err := openChannel(g.listen)
				if err != nil {
					continue
				}
				o := c.do(http.MethodPost, host, "/new/60", id, "seat 14A", rebookDeadline)
				c.close()
				late := sent.After(counted)
				switch {
				case o.status == http.StatusOK:
					served.Add(1)
				case late && o.status == http.StatusNotFound:
					refused.Add(1)
					log.add("CONFIG: %s, sent to %s %d ms after the store accepted the route: %s", id, g.id, sent.Sub(acknowledged).Milliseconds(), o)
				case i == 0 || late:
					log.add("client gets for %s: %s", id, o)
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	log.add("%d calls on the new route served, %d refused though their gateway was in touch and the bound had passed", served.Load(), refused.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return refused.Load() > 0, nil
}
