package engine

import (
	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/wait"
)

// order applies an order, once per operation.
func (l *life) order(o engine.Order) error {
	if !wait.Sleep(l.ctx, l.e.opts.OrderTime) {
		return l.ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err, done := l.operations[o.Operation]; done && o.Operation != "" {
		l.note(Entry{Kind: EntryOrder, Order: &o, Detail: "repeated"})
		return err
	}
	err := l.apply(o)
	l.operations[o.Operation] = err
	e := Entry{Kind: EntryOrder, Order: &o, Applied: err == nil}
	if err != nil {
		e.Detail = err.Error()
	}
	l.note(e)
	return err
}

// apply changes what is served. The caller holds mu.
func (l *life) apply(o engine.Order) error {
	if l.e.opts.ChecksFence && o.Fence < l.fence {
		return eris.Wrapf(engine.ErrFenced, "%d is below %d", o.Fence, l.fence)
	}
	switch o.Kind {
	case engine.OrderModel:
		l.model = o.Value
		l.adapters = make(map[string]bool)
	case engine.OrderAdapter:
		l.adapters[o.Value] = true
	case engine.OrderVersion:
		l.version = o.Value
	case engine.OrderRole:
		l.role = o.Value
	default:
		return eris.Wrapf(engine.ErrInvalid, "order %s", o.Kind)
	}
	l.fence = max(l.fence, o.Fence)
	return nil
}
