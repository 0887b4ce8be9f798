package engine

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// startDecode takes a slot for the request, before its KV is imported.
func (l *life) startDecode(r engine.DecodeRequest) (*job, error) {
	j := &job{
		key:      jobKey{attempt: r.Attempt, decode: true},
		prompt:   r.Prompt,
		priority: r.Priority,
		tokens:   engine.CountTokens(r.Prompt),
		phase:    engine.PhaseDecode,
		made:     r.Resume,
	}
	return j, l.admit(j, func() error {
		if err := l.serves(r.Model, r.Version, RoleDecode); err != nil {
			return err
		}
		if r.KV == "" || r.MaxTokens < 1 || r.Resume < 0 {
			return eris.Wrap(engine.ErrInvalid, "kv, maxTokens or resume")
		}
		if l.decodes >= l.e.opts.DecodeSlots {
			return engine.ErrBusy
		}
		l.decodes++
		return nil
	})
}

// decode runs the request and writes its events. Unless FreeOnClose is set it
// goes on when nobody reads, as many engines do: that is why cancels matter.
func (l *life) decode(j *job, r engine.DecodeRequest, w *bufio.Writer) {
	out := &writer{w: w, attempt: r.Attempt, faults: &l.e.faults}
	err := l.importKV(j, r.Source, r.KV)
	if err != nil {
		l.endDecode(j, out, reasonTransfer, err)
		return
	}
	l.note(Entry{Kind: EntryImported, Attempt: r.Attempt, Phase: j.phase})
	out.event(engine.Event{Imported: true})
	if l.e.crashes(r.Prompt, CrashInDecode) {
		l.e.crash(l)
		return
	}
	finish, err := l.generate(j, r, out)
	l.endDecode(j, out, finish, err)
}

// generate makes the tokens. It returns the reason of the end.
func (l *life) generate(j *job, r engine.DecodeRequest, out *writer) (string, error) {
	end, finish := AnswerLength(r.Prompt, r.MaxTokens)
	text := newAnswer(r.Model, r.Prompt)
	var pace pacer
	for i := r.Resume; i < end; i++ {
		l.e.gate.wait(j.ctx)
		if !pace.sleep(j.ctx, l.tokenTime()) {
			return reasonCancelled, engine.ErrCancelled
		}
		if !l.made(j, i) {
			return reasonCancelled, engine.ErrCancelled
		}
		out.token(engine.Token{Index: i, Text: text.token(i)})
		if out.err != nil && l.e.opts.FreeOnClose {
			return reasonClosed, out.err
		}
	}
	return finish, nil
}

// tokenTime grows mildly with the batch.
func (l *life) tokenTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.e.opts.TokenTime + time.Duration(max(0, l.decodes-1))*l.e.opts.TokenTimePerSlot
}

// made counts a token unless the job was ended meanwhile.
func (l *life) made(j *job, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.ended != "" || l.ctx.Err() != nil {
		return false
	}
	j.made = index + 1
	if !l.e.opts.OmitTokens {
		l.note(Entry{Kind: EntryToken, Attempt: j.key.attempt, Phase: j.phase, Index: index})
	}
	return true
}

// endDecode frees the slot, then writes the last line: who reads it may rely on
// the slot being free.
func (l *life) endDecode(j *job, out *writer, reason string, err error) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return
	}
	if j.ended == reasonCancelled {
		err = engine.ErrCancelled
	}
	l.end(j, EntryEnd, reason)
	total := j.made
	l.mu.Unlock()
	if err != nil {
		_, code := engine.ErrorCode(err)
		out.event(engine.Event{Error: code})
		return
	}
	out.event(engine.Event{Finish: reason, Tokens: total})
}

// writer writes event lines and keeps the first error.
type writer struct {
	w       *bufio.Writer
	attempt engine.Attempt
	faults  *faults
	held    *engine.Token
	err     error
}

func (o *writer) event(ev engine.Event) {
	if o.held != nil {
		t := o.held
		o.held = nil
		o.event(engine.Event{Token: t})
	}
	ev.Attempt = o.attempt
	o.line(ev)
}

// token writes a token, or does to it what a fault says.
func (o *writer) token(t engine.Token) {
	switch o.faults.next() {
	case FaultDrop:
		return
	case FaultLate:
		o.held = &t
		return
	case FaultDuplicate:
		o.event(engine.Event{Token: &t})
	case FaultCross:
		other := o.attempt
		other.Number++
		o.line(engine.Event{Attempt: other, Token: &engine.Token{Index: t.Index, Text: "crossed "}})
	}
	if o.held != nil {
		// The held token comes behind its successor.
		o.line(engine.Event{Attempt: o.attempt, Token: &t})
		o.line(engine.Event{Attempt: o.attempt, Token: o.held})
		o.held = nil
		return
	}
	o.event(engine.Event{Token: &t})
}

func (o *writer) line(ev engine.Event) {
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
