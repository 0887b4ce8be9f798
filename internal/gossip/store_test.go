package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Guards against messages about the store that don't arrive, that come from an unlisted
// sender, or that are cut to fit into a datagram.
func TestStoreMessagesReachListedPeers(t *testing.T) {
	at := freeAddresses(t, 3)
	got := make(chan string, 10)
	listen := func(i int, peers ...string) *Exchange {
		e, _ := newExchange(at[i], peers...)
		e.opts.OnStore = func(from string, m *pb.StoreMessage) {
			if m.Question == 7 {
				got <- from
			}
		}
		run(t.Context(), t, e)
		return e
	}
	listen(0, at[1])
	listed, unlisted := listen(1, at[0]), listen(2, at[0])
	var from string
	for from == "" {
		unlisted.SendStore(at[0], &pb.StoreMessage{Question: 7})
		assert.Assert(t, listed.SendStore(at[0], &pb.StoreMessage{Question: 7}))
		select {
		case from = <-got:
		case <-time.After(20 * time.Millisecond):
		}
	}
	for len(got) > 0 {
		assert.Equal(t, <-got, at[1])
	}
	assert.Equal(t, from, at[1])
	large := &pb.StoreMessage{Changes: &pb.StoreChanges{Objects: []*pb.Object{{Spec: make([]byte, maxDatagramBytes)}}}}
	assert.Assert(t, !listed.SendStore(at[0], large))
}

// Guards against gateways of an earlier version that take a message about the store for an
// update after a restart, and drop the sender's load.
func TestStoreMessagesKeepTheLoadAtEarlierVersions(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1")
	table := newTable()
	now := time.Now()
	assert.Assert(t, table.update("a", newUpdate(e.incarnation, 3, true, 0, 5), now))
	text, err := e.encodeStore(&pb.StoreMessage{Question: 7})
	assert.NilError(t, err)
	var n pb.News
	assert.NilError(t, proto.Unmarshal(text, &n))
	assert.Assert(t, !table.update("a", &n, now))
	assert.Equal(t, int(table.sums[1][0]), 5)
}

// Prints the bytes of a question and an answer, which docs/design/store-state.md gives.
func TestStoreDatagramsAreSmall(t *testing.T) {
	e, _ := newExchange("127.0.0.1:1")
	question, err := e.encodeStore(&pb.StoreMessage{Question: 1 << 60})
	assert.NilError(t, err)
	answer, err := e.encodeStore(&pb.StoreMessage{Answers: 1 << 60, Copies: []*pb.StoreCopy{{Kind: "config", Changed: 1 << 30, AgeUs: 900_000}}})
	assert.NilError(t, err)
	t.Logf("question: %d bytes, answer: %d bytes", len(question), len(answer))
	assert.Assert(t, len(question) <= 20 && len(answer) <= 48)
}
