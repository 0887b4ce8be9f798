// Package engine is a stand-in for a model engine, for tests and the dev role.
//
// It implements the HTTP interface of internal/engine, simulates the latencies of a
// real engine, and derives its tokens from the prompt, so that tests can verify each
// answer. It keeps a Record of what it ran, which the history checks rely on. A
// simulated crash loses the engine's memory but not the record.
package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/engine"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Options describe the simulated engine. A zero field takes its default. For faster
// tests, set shorter durations and higher rates.
type Options struct {
	// Model, Version and Role are what the engine serves at start and after a
	// crash; an order changes them. The default role is RoleBoth.
	Model       string
	Version     string
	Role        string
	DecodeSlots int
	// PrefillQueue bounds the number of queued and running prefills.
	PrefillQueue int
	// TokenTime is the inter-token latency of a single stream, and
	// TokenTimePerSlot is added to it for each further stream.
	TokenTime        time.Duration
	TokenTimePerSlot time.Duration
	// PrefillPerThousand is the time per 1,000 uncached prompt tokens.
	PrefillPerThousand time.Duration
	// PrefillChunk is the chunk size of chunked prefill, in tokens: the next
	// prefill is scheduled after each chunk.
	PrefillChunk int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// KVTTL is how long the result of a prefill is kept for a pull.
	KVTTL           time.Duration
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate that all KV transfers share, separately
	// for sending and receiving.
	LinkBytesPerSecond int64
	// TransferTimeout bounds the import of one KV result.
	TransferTimeout time.Duration
	// EventDelay is the delay of published cache events, and EventLoss the
	// fraction of them (0 to 1) that is lost.
	EventDelay time.Duration
	EventLoss  float64
	// LoadLag is the minimum age of a load report; the maximum is twice that.
	LoadLag time.Duration
	// OrderTime is the time to apply an order.
	OrderTime time.Duration
	// ChecksFence refuses orders with an old fencing token.
	ChecksFence bool
	// CancelOnDisconnect ends a decode when its client disconnects. Otherwise it runs
	// to its end unless it is cancelled.
	CancelOnDisconnect bool
	// CrashMarker crashes the engine when it runs a prompt that contains it.
	CrashMarker string
	// ExitOnCrash makes a crash exit the process. Otherwise the crash is
	// simulated, and the engine listens again after RestartAfter.
	ExitOnCrash  bool
	RestartAfter time.Duration
	// RecordLimit bounds the entries of the record. The oldest are dropped
	// first and counted in Record.Dropped.
	RecordLimit int
	// OmitTokenEntries omits EntryToken from the record, for load tests.
	OmitTokenEntries bool
	// RecordFile is a file that the record is also written to, so that it survives
	// a killed process; "" for none.
	RecordFile string
	// Seed seeds the random choice of lost cache events.
	Seed uint64
}

func orDefault[T comparable](field *T, v T) {
	var zero T
	if *field == zero {
		*field = v
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.Model, "model-a")
	orDefault(&o.Role, RoleBoth)
	orDefault(&o.DecodeSlots, 20)
	orDefault(&o.PrefillQueue, 64)
	orDefault(&o.TokenTime, 20*time.Millisecond)
	orDefault(&o.TokenTimePerSlot, time.Millisecond)
	orDefault(&o.PrefillPerThousand, 100*time.Millisecond)
	orDefault(&o.PrefillChunk, 2000)
	orDefault(&o.CacheTokens, 200_000)
	orDefault(&o.KVTTL, 800*time.Millisecond)
	orDefault(&o.KVBytesPerToken, 100_000)
	orDefault(&o.LinkBytesPerSecond, 10_000_000_000)
	orDefault(&o.RestartAfter, time.Second)
	orDefault(&o.RecordLimit, 50_000)
	orDefault(&o.TransferTimeout, 10*time.Second)
	return o
}

// stopWord in a prompt, followed by a number, ends the answer after that many
// tokens.
const stopWord = "stop-after="

// Answer returns the text of the token at index of the answer to prompt.
func Answer(model, prompt string, index int) string {
	return newAnswer(model, prompt).token(index)
}

// AnswerLength returns the number of tokens of the answer to prompt, which is at
// most maxTokens, and its finish reason.
func AnswerLength(prompt string, maxTokens int) (tokens int, finish string) {
	for w := range strings.FieldsSeq(prompt) {
		after, ok := strings.CutPrefix(w, stopWord)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(after); err == nil && n >= 0 && n < maxTokens {
			return n, engine.FinishStop
		}
	}
	return maxTokens, engine.FinishLength
}

// answer is the hash of model and prompt, from which each token is derived.
type answer uint64

func newAnswer(model, prompt string) answer {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(prompt)
	return answer(d.Sum64())
}

func (a answer) token(index int) string {
	h := xxhash.Sum64String(strconv.FormatUint(uint64(a), 16) + "." + strconv.Itoa(index))
	return strconv.FormatUint(h>>40, 36) + " "
}
