package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// descriptorLimit is the number of descriptors of a front machine of kcl-wdh-grown. The
	// script sets it.
	descriptorLimit = 4100
	// bookingServers is the number of servers of the plain service, burstSize the number of
	// calls that clients send at the same moment, burstInterval the time between two such
	// moments: 85 calls a second.
	bookingServers = 4
	burstSize      = 64
	burstInterval  = 750 * time.Millisecond
	maxBursts      = 110
	// maxLostKept is how many closed channels the rule allows.
	maxLostKept = 3
)

// releasesUseUpDescriptors replaces the servers of a service again and again, while clients send
// calls through one gateway. In each burst half of the clients use a channel that they keep, and
// half a new one.
func releasesUseUpDescriptors(dir string, log *record, trouble bool) (bool, error) {
	f, err := startFleet(dir, log, smallConfig(), 1)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	g, x, t := f.gateways[0], &servers{}, &tally{}
	for range bookingServers {
		if err := x.add(f); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	go pollReadiness(g)
	kept := make([]*channel, burstSize/2)
	for i := range kept {
		if kept[i], err = openChannel(g.listen); err != nil {
			return false, err
		}
	}
	var ending sync.WaitGroup
	broken := false
	for n := range maxBursts {
		began := time.Now()
		if trouble {
			for i := range bookingServers {
				if err := x.add(f); err != nil {
					return false, err
				}
				old := x.all[n*bookingServers+i]
				ending.Go(func() {
					time.Sleep(200 * time.Millisecond)
					old.leave(f.store, log, bounds{late: time.Hour, end: drainBound + 300*time.Millisecond})
				})
			}
		}
		time.Sleep(time.Until(began.Add(burstInterval * 6 / 10)))
		lost, lostKept := sendBurst(g, log, n, kept, x, t)
		if lost > 0 {
			// The process may end a little later than its channels.
			select {
			case <-g.exited:
				log.add("the gateway's process has ended by itself: %v", g.cmd.ProcessState)
			case <-time.After(time.Second):
			}
			log.add("burst %d: %d calls that servers had begun to run got no answer, %d of them on kept channels", n, lost, lostKept)
			broken = broken || lostKept > maxLostKept
		}
		if n%10 == 0 {
			log.add("burst %d: %d calls sent, %d answered with success, the gateway has %d descriptors", n, t.sent.Load(), t.served.Load(), g.descriptors())
		}
		if broken || g.hasEnded() {
			break
		}
		time.Sleep(time.Until(began.Add(burstInterval)))
	}
	log.add("%d calls sent, %d answered with success, %d lost; %d servers were started", t.sent.Load(), t.served.Load(), t.lost.Load(), len(x.all))
	if t.served.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return broken, nil
}

// sendBurst sends calls at the same moment, and returns how many of them were begun by a server
// and got no complete answer, in all and on kept channels.
func sendBurst(g *gateway, log *record, n int, kept []*channel, x *servers, t *tally) (all, onKept int) {
	var wg sync.WaitGroup
	lost := make([]bool, burstSize)
	for i := range burstSize {
		wg.Go(func() {
			id := fmt.Sprintf("burst-%d-%d", n, i)
			var c *channel
			if i < len(kept) {
				c = kept[i]
			} else {
				var err error
				if c, err = openChannel(g.listen); err != nil {
					return
				}
				defer c.close()
			}
			t.sent.Add(1)
			o := c.do(http.MethodPost, host, "/rebook/60", id, "seat 14A", rebookDeadline)
			switch {
			case o.status == http.StatusOK:
				t.served.Add(1)
			case o.err != nil && !o.timedOut && x.ran(id) > 0:
				lost[i] = true
				t.lost.Add(1)
				log.add("LOST: a server had begun to run %s; its client gets %s", id, o)
			default:
				log.add("client gets for %s: %s", id, o)
			}
		})
	}
	wg.Wait()
	for i, l := range lost {
		if l {
			all++
		}
		if l && i < len(kept) {
			onKept++
		}
	}
	return all, onKept
}

// pollReadiness asks once a second, as the load balancer does.
func pollReadiness(g *gateway) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for !g.hasEnded() {
		if r, err := client.Get("http://" + g.ready + "/v1/readiness"); err == nil {
			_ = r.Body.Close()
		}
		time.Sleep(time.Second)
	}
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// descriptors returns how many descriptors the process has open.
func (g *gateway) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}
