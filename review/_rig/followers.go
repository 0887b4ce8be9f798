package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainBound is drain-ms of kcl-wdh-grown.
	drainBound = 3000 * time.Millisecond
	// servesOn is how much longer than that a leaving server serves before it ends.
	servesOn = 400 * time.Millisecond
	// cutFor is how long a machine is partitioned from the store, roundTime how long a round is:
	// the machines are calm again for longer than the stable window at the next one.
	cutFor    = 4 * time.Second
	roundTime = 12 * time.Second
	// jitter spreads the cuts over the followers' calls to the store.
	jitter = 3 * time.Second
	rounds = 5
	// successorLead is how long before a server leaves its successor is registered.
	successorLead = 400 * time.Millisecond
	gateways      = 5
	// callsPerSecond is the rate at each of the three gateways that are left alone: 75 calls a
	// second in all, as in the sheet of kcl-wdh-grown.
	callsPerSecond = 25
)

// fleet is a zone with several gateways, each with its own link to the store.
type fleet struct {
	dir      string
	log      *record
	store    *store
	gateways []*gateway
	links    []*proxy
}

func startFleet(dir string, log *record, config map[string]any, n int) (*fleet, error) {
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, log: log, store: s}
	s.put("config", "main", config)
	for i := range n {
		address, err := s.listen(i)
		if err != nil {
			return f, err
		}
		p, err := startProxy(address)
		if err != nil {
			return f, err
		}
		g, err := startReady(dir, fmt.Sprintf("front-wdh-a-%d", i+1), "wdh-a", p.address())
		if err != nil {
			return f, err
		}
		f.gateways, f.links = append(f.gateways, g), append(f.links, p)
	}
	return f, nil
}

func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.kill()
	}
}

// followers returns the gateways that follow the store themselves: their watches of servers wait
// there.
func (f *fleet) followers() []int {
	var out []int
	for i := range f.gateways {
		if f.store.watching(i) {
			out = append(out, i)
		}
	}
	return out
}

// servers are those of the plain service, the ended ones included.
type servers struct {
	mu  sync.Mutex
	all []*plainServer
}

// add starts a server and has it registered.
func (x *servers) add(f *fleet) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, err := startPlainServer(fmt.Sprintf("i-%d", len(x.all)), f.log)
	if err != nil {
		return err
	}
	x.all = append(x.all, p)
	f.store.put("servers", p.id, p.entry("booking", "wdh-a"))
	return nil
}

// ran returns how often servers began to run a request.
func (x *servers) ran(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.all {
		n += p.ran(id)
	}
	return n
}

// followersCut partitions from the store the two gateways of a zone that follow it for the
// others, and has a server leave meanwhile, as in a release: its successor starts before. The
// other gateways, and their links to the store, are left alone. All calls are sent to these.
func followersCut(dir string, log *record, trouble bool) (bool, error) {
	f, err := startFleet(dir, log, smallConfig(), gateways)
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
	// The gateways read their membership anew every ten seconds.
	time.Sleep(14 * time.Second)
	followers := f.followers()
	if len(followers) != 2 {
		return false, fmt.Errorf("%d gateways follow the store", len(followers))
	}
	log.add("front-wdh-a-%d and front-wdh-a-%d follow the store for the others of the zone", followers[0]+1, followers[1]+1)
	end := make(chan struct{})
	t := &tally{}
	var wg sync.WaitGroup
	for i, g := range f.gateways {
		if !slices.Contains(followers, i) {
			wg.Go(func() { sendCalls(g, log, callsPerSecond, end, x, t) })
		}
	}
	late := 0
	for round := range rounds {
		time.Sleep(rand.N(jitter))
		began := time.Now()
		if err := x.add(f); err != nil {
			return false, err
		}
		time.Sleep(successorLead)
		if trouble {
			log.add("round %d: their links to the store are cut for %d ms", round, cutFor.Milliseconds())
			for _, i := range followers {
				f.links[i].cut()
				time.AfterFunc(cutFor, f.links[i].heal)
			}
		}
		time.Sleep(50 * time.Millisecond)
		late += x.all[round].leave(f.store, log, bounds{late: drainBound, end: drainBound + servesOn})
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	close(end)
	wg.Wait()
	log.add("%d calls sent, %d answered with success; %d requests reached a server too late; %d calls that a server had begun to run were lost", t.sent.Load(), t.served.Load(), late, t.lost.Load())
	if t.served.Load() == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return late > 0, nil
}

// tally counts calls.
type tally struct{ sent, served, lost, lostKept atomic.Int32 }

// bounds are times after the store has accepted that a server is draining: late is from when on
// requests are too late, end when the server ends.
type bounds struct{ late, end time.Duration }

// leave makes the server report that it is draining, serve on and end. It returns how many
// requests reached it later than the bound allows.
func (s *plainServer) leave(st *store, log *record, b bounds) int {
	e := s.entry("booking", "wdh-a")
	e["state"], e["sequence"] = "draining", 2
	s.leaving.Store(true)
	st.put("servers", s.id, e)
	s.lateAfter.Store(int64(b.late))
	s.drained.Store(time.Now().UnixNano())
	log.add("the store has accepted that server %s is draining", s.id)
	time.Sleep(b.end)
	s.end()
	st.remove("servers", s.id)
	log.add("server %s has ended; %d requests reached it later than %d ms after the store's answer", s.id, s.late.Load(), b.late.Milliseconds())
	return int(s.late.Load())
}

// sendCalls sends calls through a gateway until end is closed, each on a kept channel that is
// idle, or on a new one.
func sendCalls(g *gateway, log *record, perSecond int, end <-chan struct{}, x *servers, t *tally) {
	idle := make(chan *channel, 100)
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		wg.Go(func() {
			var c *channel
			select {
			case c = <-idle:
			default:
				var err error
				if c, err = openChannel(g.listen); err != nil {
					return
				}
			}
			id := fmt.Sprintf("%s-%d", g.id, n)
			t.sent.Add(1)
			o := c.do(http.MethodPost, host, "/rebook/60", id, "seat 14A", rebookDeadline)
			switch ran := x.ran(id); {
			case o.status == http.StatusOK:
				t.served.Add(1)
			case ran > 0:
				t.lost.Add(1)
				log.add("LOST: a server had begun to run %s; its client gets %s", id, o)
			default:
				log.add("client gets for %s, which no server ran: %s", id, o)
			}
			if o.err != nil || o.closing {
				c.close()
				return
			}
			idle <- c
		})
	}
}
