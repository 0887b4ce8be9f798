package engine

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// startDecode reserves a decode slot for the request, before its KV is imported.
func (p *process) startDecode(r engine.DecodeRequest) (*job, error) {
	j := &job{
		key:       jobKey{attempt: r.Attempt, decode: true},
		prompt:    r.Prompt,
		priority:  r.Priority,
		tokens:    engine.CountTokens(r.Prompt),
		phase:     engine.PhaseDecode,
		generated: r.Resume,
	}
	return j, p.admit(j, func() error {
		if err := p.serves(r.Model, r.Version, RoleDecode); err != nil {
			return err
		}
		if r.KV == "" || r.MaxTokens < 1 || r.Resume < 0 {
			return eris.Wrap(engine.ErrInvalid, "kv, maxTokens or resume")
		}
		if p.decodes >= p.e.opts.DecodeSlots {
			return engine.ErrBusy
		}
		p.decodes++
		return nil
	})
}

// decode runs the request and writes its events. Unless CancelOnDisconnect is set, it
// continues after the client has disconnected, as many real engines do; only a
// cancel frees the slot early.
func (p *process) decode(j *job, r engine.DecodeRequest, w *bufio.Writer) {
	out := &writer{w: w, attempt: r.Attempt, faults: &p.e.faults}
	err := p.importKV(j, r.Source, r.KV)
	if err != nil {
		p.endDecode(j, out, reasonTransfer, err)
		return
	}
	p.record(Entry{Kind: EntryImported, Attempt: r.Attempt, Phase: j.phase})
	out.writeEvent(engine.Event{Imported: true})
	if p.e.shouldCrash(r.Prompt, CrashInDecode) {
		p.e.crash(p)
		return
	}
	finish, err := p.generate(j, r, out)
	p.endDecode(j, out, finish, err)
}

// generate generates and writes the tokens. It returns the finish reason.
func (p *process) generate(j *job, r engine.DecodeRequest, out *writer) (string, error) {
	end, finish := AnswerLength(r.Prompt, r.MaxTokens)
	text := newAnswer(r.Model, r.Prompt)
	var pace pacer
	for i := r.Resume; i < end; i++ {
		p.e.gate.wait(j.ctx)
		if !pace.sleep(j.ctx, p.tokenTime()) {
			return reasonCancelled, engine.ErrCancelled
		}
		if !p.recordToken(j, i) {
			return reasonCancelled, engine.ErrCancelled
		}
		out.writeToken(engine.Token{Index: i, Text: text.token(i)})
		if out.err != nil && p.e.opts.CancelOnDisconnect {
			return reasonClosed, out.err
		}
	}
	return finish, nil
}

// tokenTime returns the time per token, which grows with the batch size.
func (p *process) tokenTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.e.opts.TokenTime + time.Duration(max(0, p.decodes-1))*p.e.opts.TokenTimePerSlot
}

// recordToken records a generated token. It returns false if the job has ended meanwhile.
func (p *process) recordToken(j *job, index int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.ended != "" || p.ctx.Err() != nil {
		return false
	}
	j.generated = index + 1
	if !p.e.opts.OmitTokenEntries {
		p.record(Entry{Kind: EntryToken, Attempt: j.key.attempt, Phase: j.phase, Index: index})
	}
	return true
}

// endDecode frees the slot and then writes the last line, so that a client that has
// read the line can rely on the slot being free.
func (p *process) endDecode(j *job, out *writer, reason string, err error) {
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	if j.ended == reasonCancelled {
		err = engine.ErrCancelled
	}
	p.end(j, EntryEnd, reason)
	total := j.generated
	p.mu.Unlock()
	if err != nil {
		_, code := engine.ErrorCode(err)
		out.writeEvent(engine.Event{Error: code})
		return
	}
	out.writeEvent(engine.Event{Finish: reason, Tokens: total})
}

// writer writes event lines and keeps the first error.
type writer struct {
	w       *bufio.Writer
	attempt engine.Attempt
	faults  *faults
	delayed *engine.Token
	err     error
}

func (o *writer) writeEvent(ev engine.Event) {
	if o.delayed != nil {
		t := o.delayed
		o.delayed = nil
		o.writeEvent(engine.Event{Token: t})
	}
	ev.Attempt = o.attempt
	o.writeLine(ev)
}

// writeToken writes a token, subject to an injected fault.
func (o *writer) writeToken(t engine.Token) {
	switch o.faults.nextTokenFault() {
	case FaultDrop:
		return
	case FaultLate:
		o.delayed = &t
		return
	case FaultDuplicate:
		o.writeEvent(engine.Event{Token: &t})
	case FaultCross:
		other := o.attempt
		other.Number++
		o.writeLine(engine.Event{Attempt: other, Token: &engine.Token{Index: t.Index, Text: "crossed "}})
	}
	if o.delayed != nil {
		// FaultLate: the delayed token follows its successor.
		o.writeLine(engine.Event{Attempt: o.attempt, Token: &t})
		o.writeLine(engine.Event{Attempt: o.attempt, Token: o.delayed})
		o.delayed = nil
		return
	}
	o.writeEvent(engine.Event{Token: &t})
}

func (o *writer) writeLine(ev engine.Event) {
	if o.err != nil {
		return
	}
	b, err := json.Marshal(ev)
	if err == nil {
		_, err = o.w.Write(append(b, '\n'))
	}
	if err == nil {
		err = o.w.Flush()
	}
	o.err = err
}
