package relay

import "foxtailbridge/policy/catalog"

// SessionHold keeps a session on the old release in the first half of an order, because the
// session used that release on some instance before the order's canary began.
type SessionHold struct {
	Order catalog.OrderNumber `json:"order"`
	// Session is the hash of the session's key.
	Session uint64 `json:"session"`
}

// maxSessionHolds bounds the number of holds kept. It suffices for some seconds at the highest
// request rate of an installation of this kind.
const maxSessionHolds = 4096

// HoldSession keeps a session on the old release on all instances.
func (r *Relay) HoldSession(h SessionHold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addHold(h)
}

// SessionHeld reports whether any instance holds the session on the old release.
func (r *Relay) SessionHeld(h SessionHold) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdSet[h]
}

// addHold adds a hold unless it is known or the list is full. The caller holds the lock.
func (r *Relay) addHold(h SessionHold) {
	if r.holdSet[h] || len(r.holdList) >= maxSessionHolds {
		return
	}
	r.holdSet[h] = true
	r.holdList = append(r.holdList, h)
}

// forgetOrderHolds removes the holds of an order that has ended.
func (r *Relay) forgetOrderHolds(number catalog.OrderNumber) {
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []SessionHold // A new slice, because in-flight messages share the old one's backing array.
	for _, h := range r.holdList {
		if h.Order != number {
			kept = append(kept, h)
		}
	}
	if len(kept) == len(r.holdList) {
		return
	}
	r.holdList = kept
	for h := range r.holdSet {
		if h.Order == number {
			delete(r.holdSet, h)
		}
	}
	for _, p := range r.members.peers {
		p.holdsSent = 0 // Indexes in the list have changed. Sending a hold twice is harmless.
	}
}
