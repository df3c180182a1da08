package relay

import "foxtailbridge/policy/catalog"

// SessionHold keeps a session on the old release in the first half of an order: it ran
// there before the order's canary began, at whatever instance.
type SessionHold struct {
	Order catalog.OrderNumber `json:"order"`
	// Session is the hash of the session's key.
	Session uint64 `json:"session"`
}

// mostHolds bounds the holds that are kept: those of some seconds at the largest
// rate that an installation of this kind carries.
const mostHolds = 4096

// HoldSession tells all instances to keep a session on the old release.
func (r *Relay) HoldSession(h SessionHold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addHold(h)
}

// SessionHeld reports whether any instance told to keep a session on the old release.
func (r *Relay) SessionHeld(h SessionHold) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[h]
}

// addHold takes a hold; the caller holds the lock.
func (r *Relay) addHold(h SessionHold) {
	if r.held[h] || len(r.holds) >= mostHolds {
		return
	}
	r.held[h] = true
	r.holds = append(r.holds, h)
}

// forgetHolds drops the holds of an order that is over.
func (r *Relay) forgetHolds(number catalog.OrderNumber) {
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []SessionHold // A new list: messages under way still hold parts of the old one.
	for _, h := range r.holds {
		if h.Order != number {
			kept = append(kept, h)
		}
	}
	if len(kept) == len(r.holds) {
		return
	}
	r.holds = kept
	for h := range r.held {
		if h.Order == number {
			delete(r.held, h)
		}
	}
	for _, p := range r.members.peers {
		p.holds = 0 // Places in the list have moved; what a peer hears twice is harmless.
	}
}
