// Package engine is a stand-in for a model engine, for tests and the dev role.
//
// It speaks the HTTP interface of internal/engine, takes the time that an engine
// would take, and computes its tokens from the prompt, so that a checker can
// verify each answer. It keeps its own account of what it ran (Record), on which
// history checks rely. A simulated crash takes its memory, not that account.
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

// Options describe the engine that is stood in for. A zero field takes its
// default; to run faster than life, pass shorter durations and higher rates.
type Options struct {
	// Model, Version and Role are what the engine serves until an order
	// changes them, and again after a crash. The default role is RoleBoth.
	Model       string
	Version     string
	Role        string
	DecodeSlots int
	// PrefillQueue bounds the prefills that wait or run.
	PrefillQueue int
	// TokenTime is the time per token of a stream that runs alone, and
	// TokenTimePerSlot what each further stream adds to it.
	TokenTime        time.Duration
	TokenTimePerSlot time.Duration
	// PrefillPerThousand is the time per 1,000 uncached prompt tokens.
	PrefillPerThousand time.Duration
	// PrefillPiece is how many tokens run before another prefill gets its turn.
	PrefillPiece int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// KVTTL is how long a prefill's result is held for a pull.
	KVTTL           time.Duration
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate that all transfers share, for what this
	// engine sends and again for what it receives.
	LinkBytesPerSecond int64
	// TransferTimeout bounds the import of one result.
	TransferTimeout time.Duration
	// EventDelay is the age at which a cache event is published, EventLoss the
	// part of them (0 to 1) that never is.
	EventDelay time.Duration
	EventLoss  float64
	// LoadLag is the least age of a load report; twice that is the highest.
	LoadLag time.Duration
	// OrderTime is how long an order takes to apply.
	OrderTime time.Duration
	// ChecksFence: refuse an order with an old fencing number.
	ChecksFence bool
	// FreeOnClose: a decode whose connection closes is freed. Otherwise it runs
	// to its end unless it is cancelled.
	FreeOnClose bool
	// CrashMarker crashes the engine when a prompt that contains it runs.
	CrashMarker string
	// ExitOnCrash: a crash ends the real process. Otherwise it is simulated,
	// and the engine listens again after RestartAfter.
	ExitOnCrash  bool
	RestartAfter time.Duration
	// RecordLimit bounds the account; the oldest entries go first and
	// Record.Dropped counts them.
	RecordLimit int
	// OmitTokens leaves EntryToken out of the account, for runs under load.
	OmitTokens bool
	// Account is a file that the account is kept in as well, so that it outlives
	// a process that is killed; "" for none.
	Account string
	// Seed of the random choices.
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
	orDefault(&o.PrefillPiece, 2000)
	orDefault(&o.CacheTokens, 200_000)
	orDefault(&o.KVTTL, 800*time.Millisecond)
	orDefault(&o.KVBytesPerToken, 100_000)
	orDefault(&o.LinkBytesPerSecond, 10_000_000_000)
	orDefault(&o.RestartAfter, time.Second)
	orDefault(&o.RecordLimit, 50_000)
	orDefault(&o.TransferTimeout, 10*time.Second)
	return o
}

// stopWord in a prompt, with a number behind it, ends the answer there.
const stopWord = "stop-after="

// Answer returns the text of the token at index of the answer to prompt.
func Answer(model, prompt string, index int) string {
	return newAnswer(model, prompt).token(index)
}

// AnswerLength returns how many tokens the answer to prompt has under the limit
// maxTokens, and its finish reason.
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

// answer is the hash of model and prompt, from which each token follows.
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
