package slopes

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/feed"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const (
	callTimeout    = 2 * time.Second
	changesPerSize = 5
	changeTimeout  = 60 * time.Second
)

// followerGroup is a number of real followers in this process, each with its own
// store.
type followerGroup struct {
	b      *Bench
	stores []*config.Store
}

func (b *Bench) startFollowers(n int) (*followerGroup, error) {
	c := &followerGroup{b: b}
	for i := range n {
		p, err := b.settings(fmt.Sprintf("crowd-%03d", i), benchZone)
		if err != nil {
			return nil, err
		}
		b.list(p, "agent")
		store := config.NewStore(nil)
		c.stores = append(c.stores, store)
		f := feed.NewFollower(feed.Options{
			Identity: feed.Identity{ID: p.ID, Role: "agent", Region: p.Region, AvailabilityZone: benchZone, Address: p.Peer},
			Store:    store, Platform: platform.NewHTTP(b.platformAt, callTimeout),
			Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
		})
		b.group.Go(func() error { return f.Run(b.ctx) })
	}
	return c, nil
}

// measurePropagation changes an object and returns the time until half of the
// followers and until all of them had the change.
func (c *followerGroup) measurePropagation() (half, all time.Duration, err error) {
	name := serverName(0)
	o := marshal(object.KindServer, name, object.Server{Format: object.Format, Labels: map[string]string{
		object.LabelModel: modelName(0), object.LabelRole: object.RoleDecode, object.LabelVersion: time.Now().Format(time.RFC3339Nano),
	}})
	o.Version = c.b.versions(object.KindServer)[name]
	begin := time.Now()
	if _, err := c.b.platform.Put(o); err != nil {
		return 0, 0, err
	}
	want, err := object.Parse(o.Kind, o.Spec)
	if err != nil {
		return 0, 0, err
	}
	version := want.(object.Server).Labels[object.LabelVersion]
	took := make(chan time.Duration, len(c.stores))
	for _, s := range c.stores {
		go func() {
			for time.Since(begin) < changeTimeout {
				changed := s.Changed()
				if s.Current().Servers[name].Labels[object.LabelVersion] == version {
					break
				}
				select {
				case <-changed:
				case <-time.After(time.Second):
				}
			}
			took <- time.Since(begin)
		}()
	}
	var list []time.Duration
	for range c.stores {
		list = append(list, <-took)
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1], nil
}

// withFollowers runs f with three entries in the bench's zone and n followers, once
// all followers have settled.
func (b *Bench) withFollowers(n int, f func(c *followerGroup, entries []*process) error) error {
	fl := fullFleet(deadAddress)
	// Without entries in other zones, this zone is a complete system.
	fl.entries = 0
	return b.runScenario(fl, func() error {
		var entries []*process
		for i := range 3 {
			p, e, err := b.entry(fmt.Sprintf("entry-%d", i), benchZone)
			if err != nil {
				return err
			}
			entries = append(entries, p)
			defer func() { _ = waitStatus(e.Operator) }()
		}
		c, err := b.startFollowers(n)
		if err != nil {
			return err
		}
		b.publish()
		if err := c.settle(); err != nil {
			return err
		}
		return f(c, entries)
	})
}

// settle waits until all followers have the configuration and the traffic has
// settled.
func (c *followerGroup) settle() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(c.stores, func(s *config.Store) bool {
			return s.Current().Revision == 0 || len(s.Current().Instances) == 0
		}) {
			time.Sleep(2 * settleTime)
			return nil
		}
	}
	return errNotReady
}

// Spread measures how long a change takes to reach all processes.
func Spread(b *Bench) error {
	half := series{name: "a change of configuration", x: "followers of 2 watching entries", y: "s until half have it"}
	all := series{name: "a change of configuration", x: "followers of 2 watching entries", y: "s until all have it, worst of 5"}
	for _, n := range []int{50, 100, 200, 400} {
		err := b.withFollowers(n, func(c *followerGroup, _ []*process) error {
			var halves, alls []time.Duration
			for range changesPerSize {
				h, a, err := c.measurePropagation()
				if err != nil {
					return err
				}
				halves, alls = append(halves, h), append(alls, a)
				time.Sleep(time.Second)
			}
			slices.Sort(halves)
			half.add(float64(n), halves[len(halves)/2].Seconds())
			all.add(float64(n), slices.Max(alls).Seconds())
			return nil
		})
		if err != nil {
			return err
		}
	}
	half.print(b.Out, 2*fullFollowers)
	all.print(b.Out, 2*fullFollowers)
	return nil
}

// Losses measures how the loss of watching entries delays changes for followers,
// and the platform calls caused by that loss and by an outage of the platform.
func Losses(b *Bench) error {
	const followers = 100
	for lost := 1; lost <= 2; lost++ {
		err := b.withFollowers(followers, func(c *followerGroup, entries []*process) error {
			before := b.platform.Meter()
			for _, w := range feed.Watchers(b.instances, benchZone)[:lost] {
				entries[w.ID[len(w.ID)-1]-'0'].kill()
			}
			half, all, err := c.measurePropagation()
			if err != nil {
				return err
			}
			time.Sleep(b.Window)
			m := b.platform.Meter()
			b.printf("loss of %d watching entries of 2, still listed, %d followers: a change takes %.2g s for half, %.2g s for all; platform calls in the %.2g s since: %g\n",
				lost, followers, half.Seconds(), all.Seconds(), all.Seconds()+b.Window.Seconds(), reads(m)+writes(m)-reads(before)-writes(before))
			return nil
		})
		if err != nil {
			return err
		}
	}
	first := series{name: "an outage of the platform", x: "followers", y: "calls/s, first 15 s"}
	later := series{name: "an outage of the platform", x: "followers", y: "calls/s, from 30 s to 60 s"}
	for _, n := range []int{25, 50, 100, 200} {
		err := b.withFollowers(n, func(*followerGroup, []*process) error {
			b.platform.SetControl(platformstandin.Control{Outage: platformstandin.OutageRefuse})
			count := func(d time.Duration) float64 {
				from := b.platform.Meter()
				time.Sleep(d)
				to := b.platform.Meter()
				return (reads(to) + writes(to) - reads(from) - writes(from)) / d.Seconds()
			}
			first.add(float64(n), count(15*time.Second))
			time.Sleep(15 * time.Second)
			later.add(float64(n), count(30*time.Second))
			return nil
		})
		if err != nil {
			return err
		}
	}
	first.print(b.Out, fullEntries+fullServers)
	later.print(b.Out, fullEntries+fullServers)
	return nil
}
