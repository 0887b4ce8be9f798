package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	policy "jayford.example/jayford/internal/policy/quota"
)

// trafficFleet is a fleet of machines on a simulated network that counts what they send.
type trafficFleet struct {
	now      time.Duration
	machines map[string]*policy.Machine
	ids      []string
	queue    deliveries
	sent     int
	bytes    int
}

type delivery struct {
	at   time.Duration
	from string
	policy.Envelope
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

func (f *trafficFleet) send(b *testing.B, from string, list []policy.Envelope) {
	for _, e := range list {
		text, err := encode(e.Message)
		if err != nil {
			b.Fatal(err)
		}
		f.sent++
		f.bytes += len(text)
		heap.Push(&f.queue, delivery{f.now + 2*time.Millisecond, from, e})
	}
}

func (f *trafficFleet) deliver(b *testing.B, until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		d := heap.Pop(&f.queue).(delivery)
		f.now = d.at
		f.send(b, d.To, f.machines[d.To].Receive(f.now, d.from, d.Message))
	}
	f.now = until
}

// BenchmarkTraffic reports what one gateway of a fleet sends and its processor time for
// the exchange. Each gateway has five requests a second; a quota is 1.8 times the use.
func BenchmarkTraffic(b *testing.B) {
	for _, x := range []struct{ gateways, organisations int }{{24, 16}, {68, 16}, {300, 16}, {370, 16}, {370, 220}} {
		b.Run(fmt.Sprintf("%d-gateways-%d-organisations", x.gateways, x.organisations), func(b *testing.B) {
			const perSecond, cost, step = 5, 1000.0, 25 * time.Millisecond
			rnd := rand.New(rand.NewPCG(1, 1))
			rate := 1.8 * perSecond * cost * float64(x.gateways) / float64(x.organisations)
			limits := map[string]policy.Limit{}
			for i := range x.organisations {
				limits[fmt.Sprint("organisation-", i)] = policy.Limit{PerSecond: rate, Burst: rate, Spare: rate}
			}
			f := &trafficFleet{now: time.Hour, machines: map[string]*policy.Machine{}}
			for i := range x.gateways {
				f.ids = append(f.ids, fmt.Sprint("gateway-", i))
			}
			for _, id := range f.ids {
				m := policy.NewMachine(id)
				m.SetLimits(f.now, limits)
				f.machines[id] = m
			}
			granted, denied := 0, 0
			seconds := 0.0
			run := func(d time.Duration) {
				for end := f.now + d; f.now < end; {
					f.deliver(b, f.now+step)
					for i, id := range f.ids {
						m := f.machines[id]
						m.SetListed(f.ids, f.now, f.now)
						f.send(b, id, m.Tick(f.now))
						if rnd.Float64() > perSecond*step.Seconds() {
							continue
						}
						// A gateway's callers are of few organisations.
						name := fmt.Sprint("organisation-", (i+rnd.IntN(4))%x.organisations)
						if _, o, _ := m.Take(f.now, name, cost); o == policy.Granted {
							granted++
							continue
						}
						denied++
						f.send(b, id, m.Ask(f.now, name, cost))
					}
				}
			}
			run(4 * time.Second)
			f.sent, f.bytes, granted, denied = 0, 0, 0, 0
			for b.Loop() {
				run(time.Second)
				seconds++
			}
			n := float64(x.gateways) * seconds
			b.ReportMetric(float64(f.bytes)/n, "bytes/s")
			b.ReportMetric(float64(f.sent)/n, "datagrams/s")
			b.ReportMetric(100*b.Elapsed().Seconds()/n, "%core")
			b.ReportMetric(float64(denied)/float64(granted+denied), "asked-first")
			b.ReportMetric(0, "ns/op")
		})
	}
}
