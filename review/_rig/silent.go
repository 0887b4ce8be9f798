package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// smallDrainBound and stableWindow are drain-ms and stable-window-ms of kcl-wdh.
	smallDrainBound = 2000 * time.Millisecond
	stableWindow    = 3000 * time.Millisecond
	// inTouchMargin is how much longer than the stable window machines are left before their
	// requests count.
	inTouchMargin = 100 * time.Millisecond
	// smallCallsPerSecond is the rate at each of the two gateways: 20 calls a second in all, as in
	// the sheet of kcl-wdh.
	smallCallsPerSecond = 10
	silentRounds        = 6
	silentRound         = 10 * time.Second
)

// storeChannelsSilent makes the channels of two gateways to the store go silent once, while new ones
// work, and has a server leave just after, as in a release. Only requests count that reach the
// server when the gateways are in touch again.
func storeChannelsSilent(dir string, log *record, trouble bool) (bool, error) {
	f, err := startFleet(dir, log, smallConfig(), 2)
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
	end := make(chan struct{})
	t := &tally{}
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		wg.Go(func() { sendCalls(g, log, smallCallsPerSecond, end, x, t) })
	}
	late := 0
	for round := range silentRounds {
		began := time.Now()
		if err := x.add(f); err != nil {
			return false, err
		}
		time.Sleep(successorLead)
		if trouble {
			log.add("round %d: the open channels to the store go silent", round)
			for _, l := range f.links {
				l.silence()
			}
		}
		silenced := time.Now()
		time.Sleep(20 * time.Millisecond)
		inTouch := time.Until(silenced.Add(stableWindow + inTouchMargin))
		late += x.all[round].leave(f.store, log, bounds{late: max(smallDrainBound, inTouch), end: smallDrainBound + 1500*time.Millisecond})
		time.Sleep(time.Until(began.Add(silentRound)))
	}
	close(end)
	wg.Wait()
	log.add("%d calls sent, %d answered with success; %d requests reached a server too late; %d calls that a server had begun to run were lost", t.sent.Load(), t.served.Load(), late, t.lost.Load())
	if t.served.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return late > 0, nil
}
