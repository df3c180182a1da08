package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

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
	now := r.deps.Clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds.add(h, now)
}

// SessionHeld reports whether any instance holds the session on the old release.
func (r *Relay) SessionHeld(h SessionHold) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds.knows(h)
}

// forgetOrderHolds removes the holds of an order that has ended.
func (r *Relay) forgetOrderHolds(number catalog.OrderNumber) {
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holds.retain(func(h SessionHold, _ clock.Millis) bool { return h.Order != number }) {
		return
	}
	for _, p := range r.members.peers {
		p.holdsSent = 0
	}
}
