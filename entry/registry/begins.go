package registry

import "foxtailbridge/policy/clock"

// OrderStartTolerance is how much earlier, in milliseconds, an order's begin must be to replace the
// one that is known: less is the time that messages take, and the view would never rest.
const OrderStartTolerance = 50 * clock.Millis(1)

// OrderStart says how long ago any instance first had an order.
type OrderStart struct {
	Key    string       `json:"key"`
	Offset Offset       `json:"offset"`
	Age    clock.Millis `json:"age-ms"`
}

// OrderStarts returns when the orders that stand began.
func (r *Registry) OrderStarts() []OrderStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var list []OrderStart
	for key, e := range r.entries {
		if e.fact.Order != nil {
			list = append(list, OrderStart{Key: key.key, Offset: e.record.Offset, Age: now - e.seen})
		}
	}
	return list
}

// MergeOrderStarts takes the begins that another instance knows and reports whether any was earlier
// than the one known here.
func (r *Registry) MergeOrderStarts(begins []OrderStart, source string) bool {
	r.mu.Lock()
	now := r.clock.Mono()
	changed := false
	for _, b := range begins {
		e := r.entries[id{FeedOrders, b.Key}]
		if e != nil && e.record.Offset == b.Offset {
			changed = r.advance(e, now-b.Age, source) || changed
		}
	}
	if changed {
		r.rebuild()
	}
	r.mu.Unlock()
	if changed {
		r.OnChange([]Feed{FeedOrders})
	}
	return changed
}

// advance moves an order's begin to the earliest that any instance knows. On its way an
// age can only fall behind, so the largest is the best.
func (r *Registry) advance(e *entry, seen clock.Millis, source string) bool {
	if e.fact.Order == nil || seen >= e.seen-OrderStartTolerance {
		return false
	}
	r.logger.Info("order-begin-moved", "key", e.record.Key, "offset", e.record.Offset, "by-ms", int64(e.seen-seen),
		"age-ms", int64(r.clock.Mono()-seen), "source", source)
	e.seen = seen
	return true
}
