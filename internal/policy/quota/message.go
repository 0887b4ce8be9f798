package quota

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Message is an ask for tokens or the answer to one.
type Message struct {
	// ID is the ask's id, which its answer repeats.
	ID     uint64
	Answer bool
	// Collect: the sender is a pool and asks for what isn't needed.
	Collect bool
	Parts   []Part
}

// Part is the part of a message about one account.
type Part struct {
	// Account is a key of KeyOf. Gateways with another limit don't know it.
	Account uint64
	// Need is what an ask can't do without, Want what it would like to have.
	Need, Want float64
	// Rank is that of the request which an ask is for. In a collection it is the most urgent
	// rank in use.
	Rank int
	// Lots are the tokens of an answer. Wait is when an ask that got none may succeed.
	Lots []Lot
	Wait time.Duration
}

// Envelope is a message to another gateway.
type Envelope struct {
	To string
	Message
}

// KeyOf identifies an organisation's account under one limit.
func KeyOf(name string, l Limit) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(name), math.Float64bits(l.PerSecond))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, math.Float64bits(l.Burst)))
}

// rank orders gateways as the pool of an account, by rendezvous hashing.
func rank(account uint64, ids []string) []string {
	weights := make(map[string]uint64, len(ids))
	for _, id := range ids {
		weights[id] = xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), account))
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ids
}

func decay(passed, memory time.Duration) float64 {
	return math.Exp(-max(0, passed.Seconds()) / memory.Seconds())
}
