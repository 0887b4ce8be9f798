package engine

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"jayford.example/jayford/internal/wait"
)

// Phases in which a prompt with the crash marker crashes the engine.
const (
	CrashInPrefill = "prefill"
	CrashInDecode  = "decode"
)

// Faults that can be injected into the tokens of a stream.
const (
	// FaultDrop omits a token.
	FaultDrop = "drop"
	// FaultLate sends a token after its successor.
	FaultLate = "late"
	// FaultDuplicate sends a token twice.
	FaultDuplicate = "duplicate"
	// FaultCross inserts a token that carries the id of another attempt.
	FaultCross = "cross"
)

// Control injects faults. A zero field changes nothing.
type Control struct {
	// CrashMarker replaces Options.CrashMarker; an empty string disables it.
	CrashMarker *string `json:"crashMarker,omitempty"`
	// CrashPhase restricts the marker to CrashInPrefill or CrashInDecode.
	CrashPhase *string `json:"crashPhase,omitempty"`
	// Crash crashes the engine immediately.
	Crash bool `json:"crash,omitempty"`
	// StallMs stalls all processing for this long, except PathControl and
	// PathRecord.
	StallMs int `json:"stallMs,omitempty"`
	// StallLinkMs stalls the engine's outgoing KV transfers for this long.
	StallLinkMs int `json:"stallLinkMs,omitempty"`
	// SilenceConnections blackholes the open connections permanently; new
	// connections work.
	SilenceConnections bool `json:"silenceConnections,omitempty"`
	// TokenFault is injected into the next TokenFaults tokens, whichever
	// streams they belong to.
	TokenFault  string `json:"tokenFault,omitempty"`
	TokenFaults int    `json:"tokenFaults,omitempty"`
}

// Control applies c.
func (e *Engine) Control(c Control) { e.control(c, nil) }

// control applies c. SilenceConnections spares the connection that c was received
// on.
func (e *Engine) control(c Control, on net.Conn) {
	e.faults.set(c)
	e.gate.stall(time.Duration(c.StallMs) * time.Millisecond)
	e.linkGate.stall(time.Duration(c.StallLinkMs) * time.Millisecond)
	e.mu.Lock()
	p, conns := e.process, e.conns
	e.mu.Unlock()
	if c.SilenceConnections && conns != nil {
		conns.Silence(on)
	}
	if c.Crash && p != nil {
		e.crash(p)
	}
}

// shouldCrash reports whether prompt triggers a crash in phase.
func (e *Engine) shouldCrash(prompt, phase string) bool {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	f := &e.faults
	if f.marker == "" || f.phase != "" && f.phase != phase {
		return false
	}
	return strings.Contains(prompt, f.marker)
}

type faults struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	marker, phase string
	token         string
	tokens        int
}

func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.CrashMarker != nil {
		f.marker = *c.CrashMarker
	}
	if c.CrashPhase != nil {
		f.phase = *c.CrashPhase
	}
	if c.TokenFault != "" {
		f.token, f.tokens = c.TokenFault, c.TokenFaults
	}
}

// nextTokenFault returns the fault to inject into the next token, or "".
func (f *faults) nextTokenFault() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens == 0 {
		return ""
	}
	f.tokens--
	return f.token
}

// gate blocks its waiters for the duration of a stall.
type gate struct {
	mu sync.Mutex
	// until is guarded by mu.
	until time.Time
}

func (g *gate) stall(d time.Duration) {
	if d <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(d)
}

func (g *gate) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		d := time.Until(g.until)
		g.mu.Unlock()
		if d <= 0 || !wait.Sleep(ctx, d) {
			return
		}
	}
}
