package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"jayford.example/jayford/internal/claim"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

func reads(m platformstandin.Meter) float64 {
	return float64(m.Get + m.List + m.Watch + m.Instances + m.Fetch)
}

func writes(m platformstandin.Meter) float64 { return float64(m.Put + m.Delete) }

// measurePlatformCalls returns the platform's reads and writes per second in an
// idle system.
func (b *Bench) measurePlatformCalls(zones, entriesPerZone, agentsPerZone int) (read, write float64, err error) {
	err = b.runScenario(fleet{servers: 50, organisations: 20, models: 2, address: deadAddress}, func() error {
		engine, err := b.serve(newEngine(settings.DefaultAgent().Slots, quickPrefill), new(meter))
		if err != nil {
			return err
		}
		var operators []string
		for z := range zones {
			for i := range entriesPerZone {
				_, e, err := b.entry(fmt.Sprintf("entry-%d-%d", z, i), zoneName(z))
				if err != nil {
					return err
				}
				operators = append(operators, e.Operator)
			}
			for i := range agentsPerZone {
				_, a, err := b.agent(fmt.Sprintf("agent-%d-%d", z, i), zoneName(z), engine, settings.DefaultAgent().Slots)
				if err != nil {
					return err
				}
				operators = append(operators, a.Operator)
			}
		}
		b.publish()
		for _, o := range operators {
			if err := waitStatus(o); err != nil {
				return err
			}
		}
		time.Sleep(4 * settleTime)
		from, begin := b.platform.Meter(), time.Now()
		time.Sleep(2 * b.Window)
		to, s := b.platform.Meter(), time.Since(begin).Seconds()
		read, write = (reads(to)-reads(from))/s, (writes(to)-writes(from))/s
		return nil
	})
	return read, write, err
}

// Calls measures the platform calls of an idle system as a function of its size.
func Calls(b *Bench) error {
	vary := func(x string, size float64, points []int, of func(n int) (float64, float64, error)) error {
		read := series{name: "platform, system at rest", x: x, y: "reads/s"}
		write := series{name: "platform, system at rest", x: x, y: "writes/s"}
		for _, n := range points {
			r, w, err := of(n)
			if err != nil {
				return err
			}
			read.add(float64(n), r)
			write.add(float64(n), w)
		}
		read.print(b.Out, size)
		write.print(b.Out, size)
		return nil
	}
	err := vary("zones of 3 entries", fullZones, []int{1, 3, 6, 11},
		func(n int) (float64, float64, error) { return b.measurePlatformCalls(n, 3, 0) })
	if err != nil {
		return err
	}
	err = vary("entries in one zone", fullEntries/fullZones, []int{2, 5, 10, 20, 34},
		func(n int) (float64, float64, error) { return b.measurePlatformCalls(1, n, 0) })
	if err != nil {
		return err
	}
	err = vary("agents in one zone of 2 entries", fullServers/fullZones, []int{0, 10, 30, 60, 100},
		func(n int) (float64, float64, error) { return b.measurePlatformCalls(1, 2, n) })
	b.printf("status of a zone of %d processes: %d bytes\n",
		(fullEntries+fullServers)/fullZones, statusBytes((fullEntries+fullServers)/fullZones))
	return err
}

const (
	// claimers is the number of entries that claim concurrently.
	claimers = 50
	// platformDelay is the simulated latency of the platform in milliseconds.
	platformDelay = 5
)

type claimCost struct {
	reads, writes, bytes float64
	slowest              time.Duration
	failed               int64
}

// measureClaims measures keyed requests at the given rate with filled claims in each
// shard. The costs are per claim.
func (b *Bench) measureClaims(perSecond float64, filled int) (claimCost, error) {
	var out claimCost
	err := b.runScenario(fleet{}, func() error {
		if err := b.fill(filled, int(3*perSecond*b.Window.Seconds())); err != nil {
			return err
		}
		b.platform.SetControl(platformstandin.Control{SlowMilliseconds: platformDelay})
		var all []*claim.Claimer
		for i := range claimers {
			all = append(all, claim.New(platform.NewHTTP(b.platformAt, 2*time.Second), fmt.Sprintf("entry-%03d", i)))
		}
		before, wire := b.platform.Meter(), b.platformWire.total()
		n, slowest, failed := b.sendClaims(all, perSecond)
		after := b.platform.Meter()
		out = claimCost{
			reads: (reads(after) - reads(before)) / n, writes: (writes(after) - writes(before)) / n,
			bytes: (b.platformWire.total() - wire) / n, slowest: slowest, failed: failed,
		}
		return nil
	})
	return out, err
}

func (b *Bench) sendClaims(all []*claim.Claimer, perSecond float64) (n float64, slowest time.Duration, failed int64) {
	ctx, cancel := context.WithTimeout(b.ctx, 2*b.Window)
	defer cancel()
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	var running sync.WaitGroup
	var longest, failures atomic.Int64
	count := 0
	for ; ctx.Err() == nil; count++ {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		c, key := all[rand.IntN(len(all))], claimKey(count)
		running.Go(func() {
			begin := time.Now()
			if err := c.Claim(b.ctx, claimOrganisation, key, requestName(1, count)); err != nil {
				failures.Add(1)
			}
			for took := int64(time.Since(begin)); ; {
				old := longest.Load()
				if took <= old || longest.CompareAndSwap(old, took) {
					return
				}
			}
		})
	}
	running.Wait()
	return float64(count), time.Duration(longest.Load()), failures.Load()
}

// claimOrganisation and claimKey identify the claims.
const claimOrganisation = "organisation-001"

func claimKey(i int) string { return fmt.Sprintf("key-%d", i) }

// fill puts claims into the shards of the first keys. The other shards stay empty,
// because filling all of them would take a gigabyte.
func (b *Bench) fill(claims, keys int) error {
	done := make(map[int]bool)
	for i := range keys {
		s := claim.ShardOf(claimOrganisation, claimKey(i))
		if done[s] || claims == 0 {
			continue
		}
		done[s] = true
		o := marshal(object.KindClaims, claim.ShardName(s), shardOf(s, claims))
		if i == 0 {
			b.printf("  a shard of %d claims: %d bytes, limit %d\n", claims, len(o.Spec), platform.MaxValueBytes)
		}
		if _, err := b.platform.Put(o); err != nil {
			return err
		}
	}
	return nil
}

// copies is the number of copies measured together, so that their memory is large
// compared with the rest of the heap.
const copies = 32

// heapOf returns the heap size of an entry's copy of a shard with n claims, in
// megabytes.
func heapOf(n int) float64 {
	text, _ := json.Marshal(shardOf(0, n))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all [copies]object.Claims
	for i := range all {
		_ = json.Unmarshal(text, &all[i])
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(&all)
	runtime.KeepAlive(text)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / megabytes / copies
}

func shardOf(shard, claims int) object.Claims {
	c := object.Claims{Format: object.Format}
	for i := range claims {
		c.Claims = append(c.Claims, object.Claim{
			Key: fmt.Sprintf("%022d", i), Request: requestName(shard, i), Entry: "entry-001", Until: time.Now().Add(claim.Retention),
		})
	}
	return c
}

// Heap measures the memory that claims take in an entry.
func Heap(b *Bench) error {
	s := series{name: "a shard of claims in an entry's memory", x: "claims", y: "MB"}
	for _, n := range []int{1000, 2000, 4000, 7700} {
		s.add(float64(n), heapOf(n))
	}
	s.print(b.Out, 7700)
	return nil
}

// Claims measures the platform's cost of a keyed request that must not be repeated.
func Claims(b *Bench) error {
	rows := func(x string, points []int, of func(n int) (claimCost, error)) error {
		read := series{name: "a claim", x: x, y: "reads"}
		write := series{name: "a claim", x: x, y: "writes"}
		bytes := series{name: "a claim", x: x, y: "bytes"}
		for _, n := range points {
			c, err := of(n)
			if err != nil {
				return err
			}
			read.add(float64(n), c.reads)
			write.add(float64(n), c.writes)
			bytes.add(float64(n), c.bytes)
			b.printf("  at %d: slowest %s, %d failed\n", n, c.slowest.Round(time.Millisecond), c.failed)
		}
		read.print(b.Out)
		write.print(b.Out)
		bytes.print(b.Out)
		return nil
	}
	err := rows("claims/s, shards nearly empty", []int{25, 50, 90, 180}, func(n int) (claimCost, error) { return b.measureClaims(float64(n), 0) })
	if err != nil {
		return err
	}
	return rows("claims in a shard, at 25 claims/s", []int{0, 30, 60, 120, 240}, func(n int) (claimCost, error) { return b.measureClaims(25, n) })
}
