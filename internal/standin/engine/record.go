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
	// EntryStart: an attempt was accepted and holds memory from now on.
	EntryStart = "start"
	// EntryRefused: an attempt was refused; nothing ran.
	EntryRefused = "refused"
	// EntryPrefilled: a prefill ended, its result is held as KV.
	EntryPrefilled = "prefilled"
	// EntryPulled: a decode engine has taken the whole KV.
	EntryPulled = "pulled"
	// EntryImported: the KV arrived at the decode engine.
	EntryImported = "imported"
	// EntryToken: a token was generated.
	EntryToken = "token"
	// EntryEnd: an attempt ended by itself and holds nothing more.
	EntryEnd = "end"
	// EntryCancel: an attempt was cancelled and holds nothing more.
	EntryCancel = "cancel"
	// EntryExpired: a KV result was dropped without a pull: a wasted prefill.
	EntryExpired = "expired"
	// EntryOrder: an order arrived.
	EntryOrder = "order"
	// EntryCrash and EntryRestart: the simulated process died or came back.
	EntryCrash   = "crash"
	EntryRestart = "restart"
)

// Entry is one line of the account.
type Entry struct {
	Sequence    uint64         `json:"sequence"`
	At          time.Time      `json:"at"`
	Incarnation uint64         `json:"incarnation"`
	Kind        string         `json:"kind"`
	Attempt     engine.Attempt `json:"attempt,omitzero"`
	// Phase is one of the phases of engine.Running.
	Phase string `json:"phase,omitempty"`
	// Index is the token's, for EntryToken.
	Index int `json:"index,omitempty"`
	// Tokens generated (decode) or in the prompt (prefill).
	Tokens int `json:"tokens,omitempty"`
	// Cached: how many of the prompt's tokens needed no prefill.
	Cached int `json:"cached,omitempty"`
	// Detail is the reason of an end or refusal.
	Detail string `json:"detail,omitempty"`
	// Order and Applied are set for EntryOrder.
	Order   *engine.Order `json:"order,omitempty"`
	Applied bool          `json:"applied,omitempty"`
}

// Held is memory that is held now.
type Held struct {
	engine.Running
	Since time.Time `json:"since"`
}

// Record is the engine's own account, in order.
type Record struct {
	Incarnation uint64  `json:"incarnation"`
	Entries     []Entry `json:"entries"`
	// Dropped counts the oldest entries, gone for RecordLimit.
	Dropped uint64 `json:"dropped,omitempty"`
	Held    []Held `json:"held"`
}

// journal keeps the entries, over all incarnations and, with a file, over all
// processes.
type journal struct {
	limit int
	// file takes each entry as a line of JSON; nil for none.
	file *os.File

	mu sync.Mutex
	// Guarded by mu.
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
		// A quarter at once, so that the copy is rare.
		cut := max(1, j.limit/4)
		j.entries = append([]Entry(nil), j.entries[cut:]...)
		j.dropped += uint64(cut)
	}
}

// open reads the account that an earlier process left and appends to it.
func (j *journal) open(path string) error {
	const permissions = 0o600
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, permissions)
	if err != nil {
		return err
	}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e Entry
		// A kill may have cut the last line.
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
