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
	rnd      *rand.Rand
	// sent and bytes count the datagrams of all gateways.
	sent, bytes   int
	organisations int
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

const (
	trafficPerSecond = 5
	trafficCost      = 1000.0
	trafficStep      = 25 * time.Millisecond
)

func newTrafficFleet(gateways, organisations int) *trafficFleet {
	f := &trafficFleet{now: time.Hour, machines: map[string]*policy.Machine{}, rnd: rand.New(rand.NewPCG(1, 1)), organisations: organisations}
	rate := 1.8 * trafficPerSecond * trafficCost * float64(gateways) / float64(organisations)
	limits := map[string]policy.Limit{}
	for i := range organisations {
		limits[fmt.Sprint("organisation-", i)] = policy.Limit{PerSecond: rate, Burst: rate, Spare: rate}
	}
	for i := range gateways {
		id := fmt.Sprint("gateway-", i)
		f.ids = append(f.ids, id)
		f.machines[id] = policy.NewMachine(id)
		f.machines[id].SetLimits(f.now, limits)
	}
	return f
}

func (f *trafficFleet) run(b *testing.B, d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.deliver(b, f.now+trafficStep)
		for i, id := range f.ids {
			m := f.machines[id]
			m.SetListed(f.ids, f.now, f.now)
			f.send(b, id, m.Tick(f.now))
			if f.rnd.Float64() < trafficPerSecond*trafficStep.Seconds() {
				f.request(b, i)
			}
		}
	}
}

// request takes the cost of a request at the i-th gateway, or asks for it. A gateway's
// callers are of few organisations.
func (f *trafficFleet) request(b *testing.B, i int) {
	name := fmt.Sprint("organisation-", (i+f.rnd.IntN(4))%f.organisations)
	m := f.machines[f.ids[i]]
	if _, o, _ := m.Take(f.now, name, trafficCost, 0); o == policy.Granted {
		return
	}
	f.send(b, f.ids[i], m.Ask(f.now, name, trafficCost, 0))
}

// BenchmarkTraffic reports what one gateway of a fleet sends, and its processor time, for
// the exchange of quotas. A quota is 1.8 times the use.
func BenchmarkTraffic(b *testing.B) {
	for _, x := range []struct{ gateways, organisations int }{{24, 16}, {68, 16}, {300, 16}, {370, 16}, {370, 220}} {
		b.Run(fmt.Sprintf("%d-gateways-%d-organisations", x.gateways, x.organisations), func(b *testing.B) {
			f := newTrafficFleet(x.gateways, x.organisations)
			f.run(b, 4*time.Second)
			f.sent, f.bytes = 0, 0
			seconds := 0.0
			for b.Loop() {
				f.run(b, time.Second)
				seconds++
			}
			n := float64(x.gateways) * seconds
			b.ReportMetric(float64(f.bytes)/n, "bytes/s")
			b.ReportMetric(float64(f.sent)/n, "datagrams/s")
			b.ReportMetric(100*b.Elapsed().Seconds()/n, "%core")
			b.ReportMetric(0, "ns/op")
		})
	}
}
