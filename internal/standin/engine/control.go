package engine

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"jayford.example/jayford/internal/wait"
)

// Phases in which a marked prompt crashes the engine.
const (
	CrashInPrefill = "prefill"
	CrashInDecode  = "decode"
)

// Faults of the tokens of a stream.
const (
	// FaultDrop leaves a token out.
	FaultDrop = "drop"
	// FaultLate sends a token behind its successor.
	FaultLate = "late"
	// FaultDuplicate sends a token twice.
	FaultDuplicate = "duplicate"
	// FaultCross sends a token of another attempt in between.
	FaultCross = "cross"
)

// Control provokes failures. The zero value of a field leaves things as they are.
type Control struct {
	// CrashMarker replaces Options.CrashMarker; "" in it ends the crashes.
	CrashMarker *string `json:"crashMarker,omitempty"`
	// CrashPhase limits the marker to CrashInPrefill or CrashInDecode.
	CrashPhase *string `json:"crashPhase,omitempty"`
	// Crash: crash now.
	Crash bool `json:"crash,omitempty"`
	// StallMs: do nothing for so long; the control and record paths answer.
	StallMs int `json:"stallMs,omitempty"`
	// StallLinkMs: transfers that this engine sends stand still for so long.
	StallLinkMs int `json:"stallLinkMs,omitempty"`
	// SilenceConnections makes the present connections silent for good; new
	// ones work.
	SilenceConnections bool `json:"silenceConnections,omitempty"`
	// TokenFault happens to the next TokenFaults tokens of any stream.
	TokenFault  string `json:"tokenFault,omitempty"`
	TokenFaults int    `json:"tokenFaults,omitempty"`
}

// Control applies c.
func (e *Engine) Control(c Control) { e.control(c, nil) }

// control applies c. The connection that it came on isn't made silent.
func (e *Engine) control(c Control, on net.Conn) {
	e.faults.set(c)
	e.gate.stall(time.Duration(c.StallMs) * time.Millisecond)
	e.linkGate.stall(time.Duration(c.StallLinkMs) * time.Millisecond)
	e.mu.Lock()
	l, set := e.life, e.conns
	e.mu.Unlock()
	if c.SilenceConnections && set != nil {
		set.Silence(on)
	}
	if c.Crash && l != nil {
		e.crash(l)
	}
}

// crashes tells whether to crash on prompt in phase.
func (e *Engine) crashes(prompt, phase string) bool {
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
	// All below is guarded by mu.
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

// next returns the fault of the next token, or "".
func (f *faults) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens == 0 {
		return ""
	}
	f.tokens--
	return f.token
}

// gate holds back whoever waits at it until a stall is over.
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
