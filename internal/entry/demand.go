package entry

import (
	pb "jayford.example/jayford/api/jayfordv1"
)

// ProcessLoad returns the load report for the capacity controller: per pool, the
// requests queued for admission and the refusals since the last call.
func (e *Entry) ProcessLoad() *pb.ProcessLoad {
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	out := &pb.ProcessLoad{}
	for pool, g := range e.gates {
		queued, refused := g.demand()
		if queued > 0 || refused > 0 {
			out.Pools = append(out.Pools, &pb.PoolDemand{Pool: pool, Queued: queued, Refused: refused})
		}
	}
	return out
}

// demand returns the queue length and the refusals since the last call.
func (g *admissionGate) demand() (queued, refused uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queued, refused = uint32(g.queue.Len()), g.refused
	g.refused = 0
	return queued, refused
}
