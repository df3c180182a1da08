package registry

import "foxtailbridge/policy/clock"

// OrderStartTolerance is the minimum difference in milliseconds by which a reported start of an
// order must precede the known one to replace it. Smaller differences are message latency, and
// adopting them would keep changing the view.
const OrderStartTolerance = 50 * clock.Millis(1)

// OrderStart is the time since any instance first saw an order.
type OrderStart struct {
	Key string `json:"key"`
	// Era and Offset are the position of the order's record, First that at which it was first
	// written if that is another one.
	Era    Era          `json:"era,omitempty"`
	Offset Offset       `json:"offset"`
	First  *Position    `json:"first,omitempty"`
	Age    clock.Millis `json:"age-ms"`
}

// Position returns the position of the order's record.
func (s *OrderStart) Position() Position {
	return Position{Era: s.Era, Offset: s.Offset}
}

// OrderStarts returns the start of each current order.
func (r *Registry) OrderStarts() []OrderStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var starts []OrderStart
	for key, e := range r.entries {
		if e.object.Order != nil {
			starts = append(starts, OrderStart{Key: key.key, Era: e.record.Era, Offset: e.record.Offset, First: e.record.First, Age: now - e.firstSeen})
		}
	}
	return starts
}

// MergeOrderStarts merges the order starts known to another instance and reports whether any of
// them replaced a later one known here.
func (r *Registry) MergeOrderStarts(starts []OrderStart, source string) bool {
	return r.update(FeedOrders, func(now clock.Millis) bool {
		changed := false
		for _, start := range starts {
			e := r.entries[recordID{FeedOrders, start.Key}]
			if e != nil && e.record.Position() == start.Position() {
				changed = r.adoptEarlierStart(e, start.First, now-start.Age, source) || changed
			}
		}
		return changed
	})
}

// adoptEarlierStart moves an order's start back to the given time if that is earlier, and its first
// position, which determines its number, back to the given one. Transit time makes a reported age too
// small, never too large, so the largest age is the most accurate.
func (r *Registry) adoptEarlierStart(e *entry, first *Position, firstSeen clock.Millis, source string) bool {
	if e.object.Order == nil {
		return false
	}
	renumbered := first != nil && first.Before(e.record.FirstPosition())
	if !renumbered && firstSeen >= e.firstSeen-OrderStartTolerance {
		return false
	}
	number := e.record.OrderNumber()
	if renumbered {
		e.record.First = first
		order := *e.object.Order
		order.Number = e.record.OrderNumber()
		e.object.Order = &order
	}
	r.logger.Info("order-begin-moved", "key", e.record.Key, "era", e.record.Era, "offset", e.record.Offset, "by-ms", int64(e.firstSeen-firstSeen),
		"age-ms", int64(r.clock.Mono()-firstSeen), "number-before", number, "number", e.record.OrderNumber(), "source", source)
	e.firstSeen = min(e.firstSeen, firstSeen)
	return true
}
