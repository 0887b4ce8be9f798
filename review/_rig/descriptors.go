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
	// bookingServers is the number of servers of the plain service, releasedServers that of
	// those that a release replaces.
	bookingServers  = 4
	releasedServers = 2
	// burstSize is the number of calls that clients send at the same moment, burstInterval the
	// time between two such moments, steadyClients the number of clients that send one call
	// after the other: in all, 115 calls a second.
	burstSize     = 64
	steadyClients = 6
	burstInterval = 750 * time.Millisecond
	maxBursts     = 140
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
	var ending, steady sync.WaitGroup
	end := make(chan struct{})
	for i := range steadyClients {
		c, err := openChannel(g.listen)
		if err != nil {
			return false, err
		}
		steady.Go(func() { sendSteadily(c, log, i, end, x, t) })
	}
	for n := range maxBursts {
		began := time.Now()
		if trouble {
			for i := range releasedServers {
				if err := x.add(f); err != nil {
					return false, err
				}
				old := x.all[n*releasedServers+i]
				ending.Go(func() {
					time.Sleep(200 * time.Millisecond)
					old.leave(f.store, log, bounds{late: time.Hour, end: drainBound + 300*time.Millisecond})
				})
			}
		}
		time.Sleep(time.Until(began.Add(burstInterval * 6 / 10)))
		sendBurst(g, log, n, kept, x, t)
		if n%10 == 0 {
			log.add("burst %d: %d calls sent, %d answered with success, the gateway has %d descriptors", n, t.sent.Load(), t.served.Load(), g.descriptors())
		}
		if g.hasEnded() {
			log.add("burst %d: the gateway's process has ended by itself: %v", n, g.cmd.ProcessState)
			break
		}
		time.Sleep(time.Until(began.Add(burstInterval)))
	}
	close(end)
	steady.Wait()
	log.add(
		"%d calls sent, %d answered with success; %d calls that servers had begun to run got no answer, %d of them on kept channels; %d servers were started",
		t.sent.Load(), t.served.Load(), t.lost.Load(), t.lostKept.Load(), len(x.all),
	)
	if t.served.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return t.lostKept.Load() > maxLostKept, nil
}

// sendSteadily sends one call after the other on a channel until it ends or end is closed.
func sendSteadily(c *channel, log *record, client int, end <-chan struct{}, x *servers, t *tally) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		if o := sendCall(c, log, fmt.Sprintf("steady-%d-%d", client, n), 200, true, x, t); o.err != nil || o.closing {
			return
		}
	}
}

// sendCall sends a call and counts its outcome.
func sendCall(c *channel, log *record, id string, workMs int, onKept bool, x *servers, t *tally) outcome {
	t.sent.Add(1)
	o := c.do(http.MethodPost, host, fmt.Sprintf("/rebook/%d", workMs), id, "seat 14A", rebookDeadline)
	switch {
	case o.status == http.StatusOK:
		t.served.Add(1)
	case o.err != nil && !o.timedOut && x.ran(id) > 0:
		t.lost.Add(1)
		if onKept {
			t.lostKept.Add(1)
		}
		log.add("LOST: a server had begun to run %s (on a kept channel: %v); its client gets %s", id, onKept, o)
	default:
		log.add("client gets for %s: %s", id, o)
	}
	return o
}

// sendBurst sends calls at the same moment, half of them on kept channels.
func sendBurst(g *gateway, log *record, n int, kept []*channel, x *servers, t *tally) {
	var wg sync.WaitGroup
	for i := range burstSize {
		wg.Go(func() {
			onKept := i < len(kept)
			var c *channel
			if onKept {
				c = kept[i]
			} else {
				var err error
				if c, err = openChannel(g.listen); err != nil {
					return
				}
				defer c.close()
			}
			sendCall(c, log, fmt.Sprintf("burst-%d-%d", n, i), 60, onKept, x, t)
		})
	}
	wg.Wait()
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
