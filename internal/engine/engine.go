// Package engine defines the interface to a model engine, a backend server that
// runs a language model, and has an HTTP client for it.
//
// An engine keeps the KV cache of a finished prefill for less than a second. A
// decode engine imports it from the prefill engine's address.
package engine

import (
	"context"
	"errors"
)

// Errors of an engine. After any other error the work may have run.
var (
	// ErrBusy: no free slot. Nothing ran.
	ErrBusy = errors.New("engine: no free slot")
	// ErrKVGone: the KV cache has expired or never existed.
	ErrKVGone = errors.New("engine: kv gone")
	// ErrInvalid: the engine rejects the request. Nothing ran.
	ErrInvalid = errors.New("engine: invalid request")
	// ErrFenced: the order carried a stale fencing token.
	ErrFenced = errors.New("engine: old fencing number")
	// ErrUnreachable: no connection could be opened. Nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrCancelled: the attempt was cancelled at the engine.
	ErrCancelled = errors.New("engine: cancelled")
)

// Attempt identifies one attempt of a request.
type Attempt struct {
	Request string `json:"request"`
	Number  uint32 `json:"number"`
}

// PrefillRequest is a request to prefill a prompt.
type PrefillRequest struct {
	Attempt  Attempt `json:"attempt"`
	Model    string  `json:"model"`
	Version  string  `json:"version,omitempty"`
	Prompt   string  `json:"prompt"`
	Priority int     `json:"priority,omitempty"`
}

// PrefillResult describes the KV cache of a finished prefill. The engine keeps it
// under the name KV.
type PrefillResult struct {
	KV           string `json:"kv"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	KVBytes      int64  `json:"kvBytes"`
	ExpiresMs    int    `json:"expiresMs"`
}

// DecodeRequest is a request to generate tokens. The engine first imports the KV
// cache named KV from Source; an empty name fails with ErrInvalid.
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
	// Resume is the number of tokens that the caller already has, which is the
	// index of the first token to send.
	Resume int `json:"resume,omitempty"`
}

// Token is one generated token.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Event is one line of a decode stream. Beside Attempt it has exactly one of
// Imported, Token, Finish (with Tokens) and Error.
type Event struct {
	// Attempt is that of the request; events of other attempts are dropped.
	Attempt Attempt `json:"attempt"`
	// Imported: the KV cache has been imported and a slot is in use.
	Imported bool   `json:"imported,omitempty"`
	Token    *Token `json:"token,omitempty"`
	// Finish is set on the last line: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// Tokens is set with Finish to the index after the last token, so that a
	// missing last token is detected.
	Tokens int `json:"tokens,omitempty"`
	// Error is set on the last line of a stream that failed.
	Error string `json:"error,omitempty"`
}

// Running is an attempt that uses engine memory.
type Running struct {
	Attempt Attempt `json:"attempt"`
	// Phase is "prefill", "kv" or "decode".
	Phase  string `json:"phase"`
	Tokens int    `json:"tokens"`
}

// Load is an engine's load report. It may be stale.
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

// CacheEvent records that a prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the PrefixHash of the prompt's first Tokens tokens.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Removed bool   `json:"removed,omitempty"`
}

// CacheEvents is a part of the cache event log. Missing events show as gaps in the
// sequence numbers.
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
	// Fence is the fencing token. Some engines check it, others ignore it.
	Fence uint64 `json:"fence"`
	// Kind is OrderModel, OrderAdapter, OrderVersion or OrderRole.
	Kind  string `json:"kind"`
	Value string `json:"value"`
	// Operation makes a repeated order idempotent.
	Operation string `json:"operation"`
}

// Client calls an engine. Every call ends when ctx ends.
type Client interface {
	// Prefill runs a prefill and waits until it is finished.
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Decode passes the stream's events to emit. An error of emit ends the stream.
	Decode(ctx context.Context, r DecodeRequest, emit func(Event) error) error
	// Cancel stops an attempt in any phase and frees its memory. It is idempotent.
	Cancel(ctx context.Context, a Attempt) error
	// Running lists all attempts that use engine memory.
	Running(ctx context.Context) ([]Running, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	Order(ctx context.Context, o Order) error
}
