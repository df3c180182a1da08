package registry

import "foxtailbridge/policy/clock"

// OrderStartTolerance is the minimum difference in milliseconds by which a reported start of an
// order must precede the known one to replace it. Smaller differences are message latency, and
// adopting them would keep changing the view.
const OrderStartTolerance = 50 * clock.Millis(1)

// OrderStart is the time since any instance first saw an order.
type OrderStart struct {
	Key    string       `json:"key"`
	Offset Offset       `json:"offset"`
	Age    clock.Millis `json:"age-ms"`
}

// OrderStarts returns the start of each current order.
func (r *Registry) OrderStarts() []OrderStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var starts []OrderStart
	for key, e := range r.entries {
		if e.object.Order != nil {
			starts = append(starts, OrderStart{Key: key.key, Offset: e.record.Offset, Age: now - e.firstSeen})
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
			if e != nil && e.record.Offset == start.Offset {
				changed = r.adoptEarlierStart(e, now-start.Age, source) || changed
			}
		}
		return changed
	})
}

// adoptEarlierStart moves an order's start back to the given time if that is earlier. Transit time
// makes a reported age too small, never too large, so the largest age is the most accurate.
func (r *Registry) adoptEarlierStart(e *entry, firstSeen clock.Millis, source string) bool {
	if e.object.Order == nil || firstSeen >= e.firstSeen-OrderStartTolerance {
		return false
	}
	r.logger.Info("order-begin-moved", "key", e.record.Key, "offset", e.record.Offset, "by-ms", int64(e.firstSeen-firstSeen),
		"age-ms", int64(r.clock.Mono()-firstSeen), "source", source)
	e.firstSeen = firstSeen
	return true
}
