package gate

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Scope identifies what a lease covers: the gate of one availability zone.
type Scope string

// ScopeForZone returns the lease scope of a zone's gate.
func ScopeForZone(zone ticket.ZoneName) Scope {
	return Scope("gate/" + string(zone))
}

// Nonce identifies one tenure, the period for which an instance holds a lease.
type Nonce string

// LeaseRecord is a log record that acquires, renews or releases a lease.
type LeaseRecord struct {
	Scope    Scope        `json:"scope"`
	Instance string       `json:"instance"`
	Nonce    Nonce        `json:"nonce"`
	Duration clock.Millis `json:"duration-ms"`
	Release  bool         `json:"release,omitempty"`
	// Attempt numbers the appends within a tenure.
	Attempt int64 `json:"attempt"`
}

// Lease is the current lease of one scope.
type Lease struct {
	Instance string
	Nonce    Nonce
	// Fence is the fencing number: the offset of the record that started the tenure.
	Fence ticket.Offset
	// ExpiresAt is the log time from which another instance may take over.
	ExpiresAt clock.Millis
	// Attempt is the attempt number of the latest accepted record.
	Attempt  int64
	Released bool
}

// Lease timing.
const (
	// DefaultLeaseDuration is how long a holder may act after it sent a record that was accepted.
	DefaultLeaseDuration = 10 * clock.Second
	// DriftMargin is added on the log's side to allow for clocks of the log and
	// the holder that run at different rates.
	DriftMargin = clock.Second
)

// Leases is the state machine that applies lease records. All instances reach
// the same state, because it depends only on the log's offsets and timestamps.
// It is not safe for concurrent use.
type Leases struct {
	leases map[Scope]Lease
}

// NewLeases returns an empty Leases.
func NewLeases() *Leases {
	return &Leases{leases: map[Scope]Lease{}}
}

// Apply applies one record, given its offset and the log's timestamp of the append.
func (l *Leases) Apply(offset ticket.Offset, at clock.Millis, r LeaseRecord) {
	current, ok := l.leases[r.Scope]
	sameTenure := ok && current.Nonce == r.Nonce && !current.Released
	switch {
	case r.Release:
		if sameTenure {
			current.Released = true
			l.leases[r.Scope] = current
		}
	case sameTenure:
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

// Get returns the lease of a scope, or false if no instance has ever held it.
func (l *Leases) Get(scope Scope) (Lease, bool) {
	lease, ok := l.leases[scope]
	return lease, ok
}

// Tenure is one instance's view of its own lease, timed by its local monotonic
// clock. It expires no later than the lease does on the log's clock.
type Tenure struct {
	nonce Nonce
	// sentAt is the send time of each attempt that is not yet confirmed.
	sentAt    map[int64]clock.Millis
	attempt   int64
	expiresAt clock.Millis
	startedAt clock.Millis
	fence     ticket.Offset
	held      bool
}

// NewTenure returns a Tenure that does not hold the lease yet.
func NewTenure(nonce Nonce) *Tenure {
	return &Tenure{nonce: nonce, sentAt: map[int64]clock.Millis{}}
}

// Nonce returns the nonce of the tenure.
func (t *Tenure) Nonce() Nonce {
	return t.nonce
}

// NextAttempt notes that a record is about to be sent and returns its attempt number.
func (t *Tenure) NextAttempt(now clock.Millis) int64 {
	t.attempt++
	t.sentAt[t.attempt] = now
	return t.attempt
}

// Observe updates the tenure from the lease as read from the log. Only a record
// that was read back as accepted extends the tenure, by the duration counted
// from the time just before that record was sent.
func (t *Tenure) Observe(lease Lease, duration, now clock.Millis) {
	if lease.Nonce != t.nonce || lease.Released {
		t.held = false
		return
	}
	sent, ok := t.sentAt[lease.Attempt]
	if !ok {
		return
	}
	if !t.held {
		t.startedAt = now
	}
	t.held = true
	t.fence = lease.Fence
	t.expiresAt = max(t.expiresAt, sent+duration)
	for attempt := range t.sentAt {
		if attempt <= lease.Attempt {
			delete(t.sentAt, attempt)
		}
	}
}

// Pending reports whether a record was sent within the last duration, so that
// it may still be accepted.
func (t *Tenure) Pending(now, duration clock.Millis) bool {
	for _, sent := range t.sentAt {
		if now-sent < duration {
			return true
		}
	}
	return false
}

// Holds reports whether the lease is held at the given time. Check it right
// before each action that needs the lease.
func (t *Tenure) Holds(now clock.Millis) bool {
	return t.held && now < t.expiresAt
}

// Remaining returns the time until the tenure expires without a renewal, or 0
// if the lease is not held.
func (t *Tenure) Remaining(now clock.Millis) clock.Millis {
	if !t.Holds(now) {
		return 0
	}
	return t.expiresAt - now
}

// StartedAt returns the local time at which the lease was acquired.
func (t *Tenure) StartedAt() clock.Millis {
	return t.startedAt
}

// Fence returns the fencing number of the tenure.
func (t *Tenure) Fence() ticket.Offset {
	return t.fence
}

// Drop gives the lease up locally, without a release record.
func (t *Tenure) Drop() {
	t.held = false
}
