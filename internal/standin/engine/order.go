package engine

import (
	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/wait"
)

// order applies an order. For a repeated operation id it returns the first result
// and changes nothing.
func (p *process) order(o engine.Order) error {
	if !wait.Sleep(p.ctx, p.e.opts.OrderTime) {
		return p.ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err, done := p.operations[o.Operation]; done && o.Operation != "" {
		p.record(Entry{Kind: EntryOrder, Order: &o, Detail: "repeated"})
		return err
	}
	err := p.apply(o)
	p.operations[o.Operation] = err
	e := Entry{Kind: EntryOrder, Order: &o, Applied: err == nil}
	if err != nil {
		e.Detail = err.Error()
	}
	p.record(e)
	return err
}

// apply changes what the engine serves. The caller holds mu.
func (p *process) apply(o engine.Order) error {
	if p.e.opts.ChecksFence && o.Fence < p.fence {
		return eris.Wrapf(engine.ErrFenced, "%d is below %d", o.Fence, p.fence)
	}
	switch o.Kind {
	case engine.OrderModel:
		p.model = o.Value
		p.adapters = make(map[string]bool)
	case engine.OrderAdapter:
		p.adapters[o.Value] = true
	case engine.OrderVersion:
		p.version = o.Value
	case engine.OrderRole:
		p.role = o.Value
	default:
		return eris.Wrapf(engine.ErrInvalid, "order %s", o.Kind)
	}
	p.fence = max(p.fence, o.Fence)
	return nil
}
