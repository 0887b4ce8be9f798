package slopes

import (
	"fmt"
	"net"
	"strings"
	"time"

	"jayford.example/jayford/internal/platform"
)

// promptWords gives a prompt of 10,000 tokens and 50 KB.
const promptWords = 10_000

// measureQueue measures an entry with n requests waiting because all agents are
// full.
func (b *Bench) measureQueue(n int, waitBeforeRefusal bool) (cost, error) {
	var out cost
	agents := newSimulatedAgents(0)
	agents.full, agents.waitBeforeRefusal = true, waitBeforeRefusal
	var wire meter
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return out, err
	}
	err = b.runScenario(fullFleet(l.Addr().String()), func() error {
		b.group.Go(func() error { return agents.Serve(b.ctx, &meteredListener{l, &wire}) })
		p, e, err := b.entry("entry-0", benchZone)
		if err != nil {
			return err
		}
		b.publish()
		if err := waitStatus(e.Operator); err != nil {
			return err
		}
		time.Sleep(settleTime)
		var counted tokenCount
		for i := range n {
			b.group.Go(func() error {
				counted.stream(b.ctx, e.Listen, callerRequest{
					model: modelName(i % fullModels), tokens: 239, batch: true,
					prompt: fmt.Sprintf("request %d", i) + strings.Repeat(" word", promptWords),
				})
				return nil
			})
		}
		time.Sleep(settleTime)
		out, err = b.measure(p, &wire)
		if f := counted.failed.Load(); f > 0 {
			b.printf("  %d of %d requests didn't wait\n", f, n)
		}
		return err
	})
	return out, err
}

// Queue measures the cost of waiting requests at an entry.
func Queue(b *Bench) error {
	for _, waitBeforeRefusal := range []bool{true, false} {
		name := "an entry, prompts of 50 KB wait, all agents and their queues are full"
		if waitBeforeRefusal {
			name = "an entry, prompts of 50 KB wait, all agents are full, their queues aren't"
		}
		costs := newCostSeries(name, "waiting requests")
		for _, n := range []int{0, 30, 60, 120, 240} {
			s, err := b.measureQueue(n, waitBeforeRefusal)
			if err != nil {
				return err
			}
			costs.add(float64(n), s)
		}
		costs.print(b, 512)
	}
	return nil
}

// Declared measures an entry's memory as a function of the number of organisations
// and models.
func Declared(b *Bench) error {
	vary := func(x string, points []int, of func(n int) fleet) error {
		s := series{name: "an entry at rest, 200 servers", x: x, y: "MB resident"}
		for _, n := range points {
			got, err := b.measureFollowers(of(n), 0, 0)
			if err != nil {
				return err
			}
			s.add(float64(n), got.resident)
		}
		s.print(b.Out, float64(points[len(points)-1]))
		return nil
	}
	err := vary("organisations", []int{0, 50, 100, fullOrganisations}, func(n int) fleet {
		return fleet{servers: 200, organisations: n, models: 4, address: deadAddress, entries: fullEntries}
	})
	if err != nil {
		return err
	}
	return vary("models", []int{1, 4, 8, fullModels}, func(n int) fleet {
		return fleet{servers: 200, organisations: 50, models: n, address: deadAddress, entries: fullEntries}
	})
}

// Newcomer measures the bytes that a process without a configuration transfers to
// get one, from each peer that it queries and from the platform.
func Newcomer(b *Bench) error {
	peer := series{name: "a newcomer", x: "servers", y: "bytes from each peer"}
	store := series{name: "a newcomer", x: "servers", y: "bytes from the platform"}
	for _, n := range []int{50, 200, 600, fullServers} {
		f := fullFleet(deadAddress)
		f.servers, f.entries = n, n*fullEntries/fullServers
		err := b.runScenario(f, func() error {
			_, e, err := b.entry("entry-0", benchZone)
			if err != nil {
				return err
			}
			b.publish()
			if err := waitStatus(e.Operator); err != nil {
				return err
			}
			time.Sleep(settleTime)
			var wire meter
			if err := b.follow("newcomer", e.Peer, &wire); err != nil {
				return err
			}
			time.Sleep(time.Second)
			peer.add(float64(n), wire.total())
			before := b.platformWire.total()
			client := platform.NewHTTP(b.platformAt, callTimeout)
			if _, err := client.List(b.ctx, ""); err != nil {
				return err
			}
			if _, err := client.Instances(b.ctx); err != nil {
				return err
			}
			store.add(float64(n), b.platformWire.total()-before)
			return nil
		})
		if err != nil {
			return err
		}
	}
	peer.print(b.Out, fullServers)
	store.print(b.Out, fullServers)
	return nil
}
