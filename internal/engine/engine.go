// Package engine is the narrow interface to a model engine, the kind of backend
// server that runs a model, and a client for it over HTTP.
//
// An engine keeps KV cache for a finished prefill under a second, then drops
// it. A decode engine imports that result from the prefill engine's address.
package engine

import (
	"context"
	"errors"
)

// Errors of an engine. Any other error means that the engine was lost and the
// work may have run.
var (
	// ErrBusy: no free slot. Nothing ran.
	ErrBusy = errors.New("engine: no free slot")
	// ErrKVGone: the prefill result has expired or was never there.
	ErrKVGone = errors.New("engine: kv gone")
	// ErrInvalid: the engine rejects the request. Nothing ran.
	ErrInvalid = errors.New("engine: invalid request")
	// ErrFenced: the order carried an old fencing number.
	ErrFenced = errors.New("engine: old fencing number")
	// ErrUnreachable: the connection was refused before the request was sent.
	// Nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrCancelled: the attempt was cancelled at the engine.
	ErrCancelled = errors.New("engine: cancelled")
)

// Attempt names one try of one request.
type Attempt struct {
	Request string `json:"request"`
	Number  uint32 `json:"number"`
}

// PrefillRequest asks for the prefill of a prompt.
type PrefillRequest struct {
	Attempt  Attempt `json:"attempt"`
	Model    string  `json:"model"`
	Version  string  `json:"version,omitempty"`
	Prompt   string  `json:"prompt"`
	Priority int     `json:"priority,omitempty"`
}

// PrefillResult names the KV cache that a prefill left at the engine.
type PrefillResult struct {
	KV           string `json:"kv"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	KVBytes      int64  `json:"kvBytes"`
	ExpiresMs    int    `json:"expiresMs"`
}

// DecodeRequest asks for tokens. With a KV name the engine first imports it
// from Source; without one it fails with ErrInvalid.
type DecodeRequest struct {
	Attempt Attempt `json:"attempt"`
	Model   string  `json:"model"`
	Version string  `json:"version,omitempty"`
	Prompt  string  `json:"prompt"`
	KV      string  `json:"kv"`
	// Source is the prefill engine's address, "ip:port".
	Source    string `json:"source"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority,omitempty"`
	// Resume: tokens that the caller has already; the first token sent has
	// this index.
	Resume int `json:"resume,omitempty"`
}

// Token is one generated token.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Event is one line of a decode stream. Exactly one of its parts is set.
type Event struct {
	// Attempt echoes the request's; a line for another attempt is dropped.
	Attempt Attempt `json:"attempt"`
	// Imported: the KV cache has arrived and the slot is taken.
	Imported bool   `json:"imported,omitempty"`
	Token    *Token `json:"token,omitempty"`
	// Finish is set on the last line: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// Tokens stands beside Finish: the index after the last token. Without it
	// a lost last token would pass for a whole answer.
	Tokens int `json:"tokens,omitempty"`
	// Error is set on the last line of a stream that failed.
	Error string `json:"error,omitempty"`
}

// Running is one attempt that holds memory at the engine.
type Running struct {
	Attempt Attempt `json:"attempt"`
	// Phase is "prefill", "kv" or "decode".
	Phase  string `json:"phase"`
	Tokens int    `json:"tokens"`
}

// Load is an engine's report of itself. It lags.
type Load struct {
	Incarnation  uint64 `json:"incarnation"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Role         string `json:"role"`
	Slots        int    `json:"slots"`
	Used         int    `json:"used"`
	Queued       int    `json:"queued"`
	QueuedTokens int64  `json:"queuedTokens"`
	KVBytes      int64  `json:"kvBytes"`
}

// CacheEvent says that a prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt's first Tokens tokens, PrefixHash.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Removed bool   `json:"removed,omitempty"`
}

// CacheEvents is a part of the event log. A gap shows in the sequences.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Kinds of Order.
const (
	OrderModel   = "load-model"
	OrderAdapter = "load-adapter"
	OrderVersion = "set-version"
	OrderRole    = "set-role"
)

// Order changes what an engine serves.
type Order struct {
	// Fence is the fencing number. Some engines check it, others ignore it.
	Fence uint64 `json:"fence"`
	// Kind is OrderModel, OrderAdapter, OrderVersion or OrderRole.
	Kind  string `json:"kind"`
	Value string `json:"value"`
	// Operation makes a repeated order idempotent.
	Operation string `json:"operation"`
}

// Client is what an agent needs of its engine. All calls end with ctx.
type Client interface {
	// Prefill runs a prefill and waits for its end.
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Decode streams events to emit until the end. An error from emit stops it.
	Decode(ctx context.Context, r DecodeRequest, emit func(Event) error) error
	// Cancel stops an attempt in each phase and frees its memory. Idempotent.
	Cancel(ctx context.Context, a Attempt) error
	// Running lists all attempts that hold memory.
	Running(ctx context.Context) ([]Running, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	Order(ctx context.Context, o Order) error
}
