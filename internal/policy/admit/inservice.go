package admit

import "time"

const (
	// endedDecay is the weight that earlier items keep in the average service time when
	// one more ends.
	endedDecay = 0.9
	// minServiceTime bounds the rate while items end at once.
	minServiceTime = time.Millisecond
)

// inService tracks the items that are being served, from their grant to their end. By
// Little's law their cost divided by the mean service time is the rate at which a full
// pool drains. The measured drain rate is too low for some service times after a pool
// became full, since all its items began at about the same time.
type inService struct {
	items map[string]servedItem
	cost  float64
	// costSeconds is the sum of cost times start, in seconds since origin.
	costSeconds float64
	origin      time.Time
	// endedCost and endedCostSeconds are the decayed sums of cost, and of cost times
	// service time in seconds, of the items that ended.
	endedCost, endedCostSeconds float64
	// lastEnd is when an item last ended.
	lastEnd time.Time
}

// servedItem is an item in service.
type servedItem struct {
	cost float64
	// start is in seconds since inService.origin.
	start float64
}

func newInService() *inService { return &inService{items: map[string]servedItem{}} }

func (s *inService) begin(now time.Time, id string, cost float64) {
	if _, ok := s.items[id]; ok {
		return
	}
	if len(s.items) == 0 {
		// Reset the sums so that rounding errors don't accumulate.
		s.origin, s.cost, s.costSeconds = now, 0, 0
	}
	it := servedItem{cost: cost, start: now.Sub(s.origin).Seconds()}
	s.items[id] = it
	s.cost += it.cost
	s.costSeconds += it.cost * it.start
}

func (s *inService) end(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok {
		return
	}
	delete(s.items, id)
	s.lastEnd = now
	s.cost -= it.cost
	s.costSeconds -= it.cost * it.start
	took := max(0, now.Sub(s.origin).Seconds()-it.start)
	s.endedCost = endedDecay*s.endedCost + it.cost
	s.endedCostSeconds = endedDecay*s.endedCostSeconds + it.cost*took
}

// rate returns the cost that is expected to end per second, or 0 if that isn't known. It
// falls once the items in service are older than those that ended, and is unknown when
// none has ended for a service time: the servers may no longer answer.
func (s *inService) rate(now time.Time) float64 {
	if len(s.items) == 0 || s.endedCost == 0 {
		return 0
	}
	took := max(s.endedCostSeconds/s.endedCost, minServiceTime.Seconds())
	if now.Sub(s.lastEnd).Seconds() > took {
		return 0
	}
	age := now.Sub(s.origin).Seconds() - s.costSeconds/s.cost
	return s.cost / max(took, age)
}
