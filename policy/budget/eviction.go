package budget

import (
	"slices"

	"foxtailbridge/policy/clock"
)

// order says which reservations may be evicted, and which of them first. Within a step of the
// order the one that has made no progress for the longest time goes first, and of those that
// make progress the slowest.
type order [6]step

// step is a group of reservations.
type step string

const (
	stepEnding  step = "ending"
	stepStalled step = "stalled"
	stepIdle    step = "idle"
	stepNew     step = "new"
	stepSlow    step = "slow"
	// stepStopped is for requests that the same eviction has stopped for their memory: they are
	// about to be answered.
	stepStopped step = "stopped"
)

var (
	// byConnections is the order when connections are short. After those that end anyway, idle
	// connections go first: no request is lost, and their clients open others.
	byConnections = order{stepEnding, stepIdle, stepNew, stepStalled, stepSlow, stepStopped}
	// byBytes is the order when memory is short. Requests that have stalled go first, as they
	// hold more memory than idle connections and their clients misbehave. Their
	// connections go last in the same eviction.
	byBytes = order{stepStalled, stepEnding, stepIdle, stepNew, stepSlow, stepStopped}
	// byLarge is the order when the part for large requests is short.
	byLarge = order{stepStalled, stepSlow}
)

// eviction collects the reservations that are evicted for one requester.
type eviction struct {
	budget    *Budget
	requester *Reservation
	now       clock.Millis
	victims   []*Reservation
	// before holds the victims as they were.
	before []Reservation
}

// untilBytes evicts until n more bytes fit.
func (e *eviction) untilBytes(n Bytes) bool {
	b := e.budget
	if b.limits.Bytes == 0 {
		return true
	}
	return n <= b.limits.Bytes && e.until(byBytes, func() bool { return b.usage.Bytes+n <= b.limits.Bytes })
}

// until evicts until there is room; it returns false if nothing is left to evict.
func (e *eviction) until(o order, room func() bool) bool {
	for !room() {
		victim := e.choose(o)
		if victim == nil {
			return false
		}
		idle := victim.phase == PhaseNew || victim.phase == PhaseIdle
		stalled := victim.phase == PhaseActive && e.now-victim.progressAt >= stallTime
		if (idle || stalled) && e.budget.Arrived != nil && e.budget.Arrived(victim) {
			e.budget.Begin(victim, e.now)
			// After a pause of the process every request seems to have stalled.
			e.budget.Progress(victim, 0, e.now)
			continue
		}
		e.victims, e.before = append(e.victims, victim), append(e.before, *victim)
		if victim.phase == PhaseActive && o != byConnections {
			// The memory of its request is enough; it may still be answered.
			e.budget.Stop(victim, e.now)
			continue
		}
		e.budget.remove(victim)
		victim.phase = PhaseClosed
	}
	return true
}

// undo restores the evicted reservations, as they don't make enough room.
func (e *eviction) undo() {
	for i := len(e.victims) - 1; i >= 0; i-- { // One may have been evicted in two steps.
		victim, before := e.victims[i], e.before[i]
		if victim.phase == PhaseClosed {
			*victim = before
			e.budget.add(victim)
			continue
		}
		e.budget.subtract(victim)
		before.index = victim.index
		*victim = before
		e.budget.account(victim, 1)
	}
	e.victims = nil
}

// choose returns the next reservation to evict, or nil.
func (e *eviction) choose(o order) *Reservation {
	var best *Reservation
	bestRank, bestScore := len(o), 0.0
	own := e.requester.rate(e.now)
	for _, r := range e.budget.open {
		if r == e.requester || o == byLarge && !r.large() {
			continue
		}
		s, score := e.classify(r, own)
		rank := o.rank(s)
		if rank < bestRank || rank == bestRank && rank < len(o) && score > bestScore {
			best, bestRank, bestScore = r, rank, score
		}
	}
	return best
}

// classify returns the step of a reservation and how much it deserves to be evicted within it,
// or no step if it must stay. A request isn't evicted for a slower one.
func (e *eviction) classify(r *Reservation, own float64) (step, float64) {
	waited := e.now - r.progressAt
	switch r.phase {
	case PhaseEnding:
		if slices.Contains(e.victims, r) {
			return stepStopped, float64(waited)
		}
		return stepEnding, float64(waited)
	case PhaseIdle:
		return stepIdle, float64(waited)
	case PhaseNew:
		return stepNew, float64(waited)
	case PhaseActive:
		if waited >= stallTime {
			return stepStalled, float64(waited)
		}
		// The rate of a newcomer is the head start alone; no young request reaches it.
		if rate := r.rate(e.now); e.now-r.startedAt >= headStartTime && rate < own {
			return stepSlow, 1 / rate
		}
	}
	return "", 0
}

// rank returns the position of a step in the order, or its length if it isn't part of it.
func (o order) rank(s step) int {
	for i, other := range o {
		if s != "" && s == other {
			return i
		}
	}
	return len(o)
}
