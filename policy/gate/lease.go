package gate

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Scope names what a lease covers: the gate of one availability zone.
type Scope string

// ScopeForZone returns the scope of a zone's gate.
func ScopeForZone(zone ticket.ZoneName) Scope {
	return Scope("gate/" + string(zone))
}

// Nonce identifies one tenure of a holder.
type Nonce string

// LeaseRecord asks for, renews or releases a lease.
type LeaseRecord struct {
	Scope    Scope        `json:"scope"`
	Instance string       `json:"instance"`
	Nonce    Nonce        `json:"nonce"`
	Duration clock.Millis `json:"duration-ms"`
	Release  bool         `json:"release,omitempty"`
	// Attempt tells one append of a tenure from the others.
	Attempt int64 `json:"attempt"`
}

// Lease is the state of one scope.
type Lease struct {
	Instance string
	Nonce    Nonce
	// Fence is the offset of the record that began the tenure.
	Fence ticket.Offset
	// ExpiresAt is the log time at which another instance may take over.
	ExpiresAt clock.Millis
	// Attempt is that of the latest record accepted.
	Attempt  int64
	Released bool
}

// Defaults of leases.
const (
	// DefaultLeaseDuration is the time a holder may act after sending an accepted record.
	DefaultLeaseDuration = 10 * clock.Second
	// DriftMargin covers differences in clock rate between log and holder.
	DriftMargin = clock.Second
)

// Leases folds lease records; all instances reach the same state, since only the
// log's offsets and times count. It is not safe for concurrent use.
type Leases struct {
	leases map[Scope]Lease
}

// NewLeases returns an empty Leases.
func NewLeases() *Leases {
	return &Leases{leases: map[Scope]Lease{}}
}

// Apply folds one record with its offset and the log's time of the append.
func (l *Leases) Apply(offset ticket.Offset, at clock.Millis, r LeaseRecord) {
	current, ok := l.leases[r.Scope]
	mine := ok && current.Nonce == r.Nonce && !current.Released
	switch {
	case r.Release:
		if mine {
			current.Released = true
			l.leases[r.Scope] = current
		}
	case mine:
		current.ExpiresAt = max(current.ExpiresAt, at+r.Duration+DriftMargin)
		current.Attempt = r.Attempt
		l.leases[r.Scope] = current
	case !ok || current.Released || at >= current.ExpiresAt:
		l.leases[r.Scope] = Lease{
			Instance:  r.Instance,
			Nonce:     r.Nonce,
			Fence:     offset,
			ExpiresAt: at + r.Duration + DriftMargin,
			Attempt:   r.Attempt,
		}
	}
}

// Get returns the lease of a scope, or false if nobody ever had it.
func (l *Leases) Get(scope Scope) (Lease, bool) {
	lease, ok := l.leases[scope]
	return lease, ok
}

// Tenure is the holder's side of a lease, on its own monotonic clock.
type Tenure struct {
	nonce Nonce
	// sent holds when each attempt was sent.
	sent    map[int64]clock.Millis
	attempt int64
	until   clock.Millis
	since   clock.Millis
	fence   ticket.Offset
	holding bool
}

// NewTenure returns a Tenure that holds nothing.
func NewTenure(nonce Nonce) *Tenure {
	return &Tenure{nonce: nonce, sent: map[int64]clock.Millis{}}
}

// Nonce returns the nonce of the tenure.
func (t *Tenure) Nonce() Nonce {
	return t.nonce
}

// NextAttempt notes that a record is about to be sent and returns its attempt number.
func (t *Tenure) NextAttempt(now clock.Millis) int64 {
	t.attempt++
	t.sent[t.attempt] = now
	return t.attempt
}

// Observe takes the folded lease. Only a record that was read back as accepted
// extends the tenure, counted from before it was sent.
func (t *Tenure) Observe(lease Lease, duration, now clock.Millis) {
	if lease.Nonce != t.nonce || lease.Released {
		t.holding = false
		return
	}
	sent, ok := t.sent[lease.Attempt]
	if !ok {
		return
	}
	if !t.holding {
		t.since = now
	}
	t.holding = true
	t.fence = lease.Fence
	t.until = max(t.until, sent+duration)
	for attempt := range t.sent {
		if attempt <= lease.Attempt {
			delete(t.sent, attempt)
		}
	}
}

// Pending reports whether a record was sent so lately that it may still be accepted.
func (t *Tenure) Pending(now, duration clock.Millis) bool {
	for _, sent := range t.sent {
		if now-sent < duration {
			return true
		}
	}
	return false
}

// Holds reports whether the tenure lasts at the time; check it right before acting.
func (t *Tenure) Holds(now clock.Millis) bool {
	return t.holding && now < t.until
}

// Remaining returns how long the tenure still lasts without a renewal.
func (t *Tenure) Remaining(now clock.Millis) clock.Millis {
	if !t.Holds(now) {
		return 0
	}
	return t.until - now
}

// StartedAt returns when the tenure began.
func (t *Tenure) StartedAt() clock.Millis {
	return t.since
}

// Fence returns the fencing number of the tenure.
func (t *Tenure) Fence() ticket.Offset {
	return t.fence
}

// Drop ends the tenure.
func (t *Tenure) Drop() {
	t.holding = false
}
