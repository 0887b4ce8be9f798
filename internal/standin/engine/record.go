package engine

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"jayford.example/jayford/internal/engine"
)

// Kinds of Entry.
const (
	// EntryStart: an attempt was accepted and holds memory.
	EntryStart = "start"
	// EntryRefused: an attempt was refused and didn't run.
	EntryRefused = "refused"
	// EntryPrefilled: a prefill completed and its result is held as KV.
	EntryPrefilled = "prefilled"
	// EntryPulled: a decode engine has pulled the complete KV.
	EntryPulled = "pulled"
	// EntryImported: the KV arrived at the decode engine.
	EntryImported = "imported"
	// EntryToken: a token was generated.
	EntryToken = "token"
	// EntryEnd: an attempt ended without a cancel and holds no memory.
	EntryEnd = "end"
	// EntryCancel: an attempt was cancelled and holds no memory.
	EntryCancel = "cancel"
	// EntryExpired: a prefill result expired without a pull; the prefill was
	// wasted.
	EntryExpired = "expired"
	// EntryOrder: an order was received.
	EntryOrder = "order"
	// EntryCrash and EntryRestart: the simulated process crashed or restarted.
	EntryCrash   = "crash"
	EntryRestart = "restart"
)

// Entry is one event in the record.
type Entry struct {
	Sequence    uint64         `json:"sequence"`
	At          time.Time      `json:"at"`
	Incarnation uint64         `json:"incarnation"`
	Kind        string         `json:"kind"`
	Attempt     engine.Attempt `json:"attempt,omitzero"`
	// Phase is one of the phases of engine.Running.
	Phase string `json:"phase,omitempty"`
	// Index is the token's index, for EntryToken.
	Index int `json:"index,omitempty"`
	// Tokens is the number of tokens generated (decode) or in the prompt
	// (prefill).
	Tokens int `json:"tokens,omitempty"`
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int `json:"cached,omitempty"`
	// Detail is the reason for an end or a refusal, the error of an order, or
	// "repeated" for an order whose operation id was seen before.
	Detail string `json:"detail,omitempty"`
	// Order and Applied are set for EntryOrder.
	Order   *engine.Order `json:"order,omitempty"`
	Applied bool          `json:"applied,omitempty"`
}

// Held is an attempt that holds memory, and since when.
type Held struct {
	engine.Running
	Since time.Time `json:"since"`
}

// Record is what the engine ran, in order of time, and the memory held now.
type Record struct {
	Incarnation uint64  `json:"incarnation"`
	Entries     []Entry `json:"entries"`
	// Dropped counts the oldest entries, dropped because of RecordLimit.
	Dropped uint64 `json:"dropped,omitempty"`
	Held    []Held `json:"held"`
}

// journal keeps the entries across incarnations and, with a file, across restarts
// of the real process.
type journal struct {
	limit int
	// file takes each entry as a line of JSON; nil for none.
	file *os.File

	mu sync.Mutex
	// The fields below are guarded by mu.
	entries  []Entry
	sequence uint64
	dropped  uint64
}

func (j *journal) add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	e.Sequence = j.sequence
	e.At = time.Now()
	j.write(e)
	j.keep(e)
}

// keep appends e and drops the oldest entries above the limit.
func (j *journal) keep(e Entry) {
	j.entries = append(j.entries, e)
	if len(j.entries) > j.limit {
		// Dropping a quarter at once keeps the copying rare.
		cut := max(1, j.limit/4)
		j.entries = append([]Entry(nil), j.entries[cut:]...)
		j.dropped += uint64(cut)
	}
}

// open loads the record that an earlier process wrote to the file at path. New
// entries are appended to the file.
func (j *journal) open(path string) error {
	const permissions = 0o600
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, permissions)
	if err != nil {
		return err
	}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e Entry
		// The last line may be truncated if the process was killed.
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			j.sequence = e.Sequence
			j.keep(e)
		}
	}
	j.file = file
	return nil
}

func (j *journal) write(e Entry) {
	if j.file == nil {
		return
	}
	if line, err := json.Marshal(e); err == nil {
		_, _ = j.file.Write(append(line, '\n'))
	}
}

func (j *journal) snapshot() ([]Entry, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry{}, j.entries...), j.dropped
}
