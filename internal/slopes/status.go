package slopes

import (
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/transport"
)

// statusWindow covers two writes of the status of an idle zone.
const statusWindow = time.Minute

// measureStatus measures the traffic between an entry and the platform while n
// processes report and nothing changes.
func (b *Bench) measureStatus(n int) (bytes, writes float64, err error) {
	f := fleet{servers: 50, organisations: 20, models: 2, address: deadAddress}
	err = b.runScenario(f, func() error {
		_, e, err := b.entry("entry-0", benchZone)
		if err != nil {
			return err
		}
		b.publish()
		if err := waitStatus(e.Operator); err != nil {
			return err
		}
		cc, err := grpc.NewClient("passthrough:///"+e.Peer,
			append(transport.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
		if err != nil {
			return err
		}
		defer cc.Close()
		for i := range n {
			b.group.Go(func() error { b.report(pb.NewPeerClient(cc), fmt.Sprintf("reporter-%03d", i)); return nil })
		}
		time.Sleep(4 * settleTime)
		from, sent, begin := b.platform.Meter(), b.platformWire.total(), time.Now()
		time.Sleep(statusWindow)
		s := time.Since(begin).Seconds()
		bytes = (b.platformWire.total() - sent) / s
		writes = (float64(b.platform.Meter().Put) - float64(from.Put)) / s
		return nil
	})
	return bytes, writes, err
}

// Status measures the cost of the status of an idle zone for the entry that writes
// it.
func Status(b *Bench) error {
	bytes := series{name: "an entry and the platform, at rest", x: "processes that report", y: "bytes/s"}
	calls := series{name: "platform, at rest", x: "processes that report", y: "writes/s"}
	for _, n := range []int{0, 33, 66, 133} {
		y, w, err := b.measureStatus(n)
		if err != nil {
			return err
		}
		bytes.add(float64(n), y)
		calls.add(float64(n), w)
	}
	bytes.print(b.Out, 133)
	calls.print(b.Out, 133)
	return nil
}
