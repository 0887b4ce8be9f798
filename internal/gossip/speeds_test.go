package gossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/memory"
	"jayford.example/jayford/internal/policy/speed"
)

func someSpeeds(n int) []speed.Report {
	out := make([]speed.Report, n)
	for i := range out {
		out[i] = speed.Report{Engine: uint64(i + 1)}
		out[i].Values[speed.Prefill] = speed.Value{Pace: 5 * time.Millisecond, Weight: speed.MaxWeight}
		out[i].Values[speed.Output] = speed.Value{Pace: 2 * time.Second, Weight: 14.3}
	}
	return out
}

// Guards against speeds that make an update exceed the datagram, or are lost in it.
func TestSpeedsFitIntoFullUpdates(t *testing.T) {
	e, own := newExchange("127.0.0.1:1")
	e.opts.Speeds = someSpeeds
	for _, engines := range []int{0, 200} {
		for i := range engines {
			own.set(fmt.Sprint("engine", i), 1000+i)
		}
		n := e.buildUpdate(own.get(), true)
		assert.Assert(t, proto.Size(n) <= maxDatagramBytes)
		assert.Assert(t, len(n.Speeds) >= 4, "%d engines: %d speeds", engines, len(n.Speeds))
		for i, s := range n.Speeds {
			size := protowire.SizeTag(12) + protowire.SizeBytes(proto.Size(s))
			assert.Assert(t, size <= engineSpeedBytes, "%d", size)
			assert.Equal(t, decodeSpeed(s), someSpeeds(i + 1)[i])
		}
		assert.Equal(t, len(e.buildUpdate(own.get(), false).Speeds), 0)
	}
	for i := range fullUpdatesPerSecond + 1 {
		e.known[fmt.Sprint("peer", i)] = time.Now()
	}
	assert.Equal(t, len(e.buildUpdate(own.get(), true).Speeds), 2, "more peers than full updates in a second")
}

// Guards against speeds and changes of load of unlisted senders and outdated datagrams, and
// against queues that look longer as nobody is told that their peer's prompts have ended.
func TestSpeedsAndChangesOfLoadArePassedOn(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1", "127.0.0.1:2")
	e.refreshPeers()
	var engines []uint64
	var speeds []speed.Report
	e.opts.OnLoad = func(list []uint64) { engines = append(engines, list...) }
	e.opts.OnSpeeds = func(_ string, list []speed.Report) { speeds = append(speeds, list...) }
	send := func(from string, n *pb.News) {
		text, err := proto.Marshal(n)
		assert.NilError(t, err)
		e.handleDatagram(from, text)
	}
	first := &pb.News{Start: 1, Sequence: 2, Whole: true, Engines: []*pb.EngineLoad{{Engine: 7, Tokens: 10}}, Speeds: []*pb.EngineSpeed{encodeSpeed(someSpeeds(1)[0])}}
	send("127.0.0.1:3", first)
	assert.Equal(t, len(engines)+len(speeds), 0)
	send("127.0.0.1:2", first)
	send("127.0.0.1:2", first)
	assert.DeepEqual(t, engines, []uint64{7})
	assert.DeepEqual(t, speeds, someSpeeds(1))
	send("127.0.0.1:2", &pb.News{Start: 1, Sequence: 3, Whole: true})
	assert.DeepEqual(t, engines, []uint64{7, 7})
	assert.Equal(t, e.table.sums[7], memory.Need{})
}
