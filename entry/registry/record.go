package registry

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Feed names a stream of keyed records in the store.
type Feed string

// Feeds.
const (
	// FeedOrders holds the configuration and the orders written by operators.
	FeedOrders Feed = "orders"
	// FeedEndpoints holds the heartbeats of endpoints.
	FeedEndpoints Feed = "endpoints"
	// FeedOutcomes holds the roll-out statuses written by this system.
	FeedOutcomes Feed = "outcomes"
)

// Feeds lists all feeds.
var Feeds = []Feed{FeedOrders, FeedEndpoints, FeedOutcomes}

// Record is the latest known record of a key.
type Record struct {
	Feed Feed   `json:"Feed"`
	Key  string `json:"Key"`
	// Era and Offset are the record's position in its feed.
	Era    Era    `json:"era,omitempty"`
	Offset Offset `json:"Offset"`
	// First is the position at which the record was first written, or nil if that is its
	// position. The writers of a record that a new era lost write it again.
	First *Position `json:"first,omitempty"`
	// Value is the content. A deleted endpoint has one only while the sender still uses it.
	Value []byte `json:"Value"`
	// Deleted is true if the key was deleted.
	Deleted bool `json:"Gone"`
	// Age is the time since any instance first saw the record. It is set only in
	// records exchanged between instances.
	Age clock.Millis `json:"Age"`
}

// Position returns the record's position.
func (r *Record) Position() Position {
	return Position{Era: r.Era, Offset: r.Offset}
}

// FirstPosition returns the position at which the record was first written.
func (r *Record) FirstPosition() Position {
	if r.First != nil {
		return *r.First
	}
	return r.Position()
}

// OrderNumber returns the number of the order in the record. It is never 0, which means no order.
func (r *Record) OrderNumber() catalog.OrderNumber {
	first := r.FirstPosition()
	return catalog.OrderNumber(int64(first.Era)<<orderOffsetBits + int64(first.Offset) + 1)
}

// orderOffsetBits is the number of bits of an order number that hold the offset. The era is above.
const orderOffsetBits = 32

// Outcome is the progress or result of a roll-out order.
type Outcome string

// Outcomes of an order.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)

// Final reports whether the order has ended.
func (o Outcome) Final() bool {
	return o == OutcomeCompleted || o == OutcomeRolledBack
}

// Status is the state of a service's roll-out as recorded in the store.
type Status struct {
	Service ticket.ServiceName
	Target  catalog.Release
	// Order is the number of the roll-out's order, or 0 if the record has none.
	Order   catalog.OrderNumber
	Outcome Outcome
	// Lost is true if the store came back without the status, so that it has to be written again.
	Lost bool
}

// AppliesTo reports whether the status belongs to the order. A status without an
// order number is matched by its target alone.
func (s Status) AppliesTo(order *catalog.Order) bool {
	return s.AppliesToNumber(order.Target, order.Number)
}

// AppliesToNumber reports whether the status belongs to the order with the target and number. An
// instance that started in a later era knows an order of an earlier one by the offset at which the
// later era has it, which is the same or a lower one.
func (s Status) AppliesToNumber(target catalog.Release, number catalog.OrderNumber) bool {
	if s.Target != target {
		return false
	}
	const offsetMask = 1<<orderOffsetBits - 1
	inherited := s.Order>>orderOffsetBits < number>>orderOffsetBits && s.Order&offsetMask >= number&offsetMask
	return s.Order == 0 || s.Order == number || inherited
}

// outlasts reports whether the status stays in force although a later record has another one. A
// final status of an order isn't followed by one that isn't, and in a new era the store may have
// come back with the status of an earlier order.
func (s Status) outlasts(next Status, newEra bool) bool {
	if s.Target == next.Target && (s.Order == next.Order || s.Order == 0 || next.Order == 0) {
		return s.Outcome.Final() && !next.Outcome.Final()
	}
	return newEra && next.Order > 0 && s.Order > next.Order
}

// Object is the decoded content of a record. At most one field is set; none is set
// for a record that this system does not use.
type Object struct {
	Config   *catalog.Config
	Endpoint *catalog.Endpoint
	Order    *catalog.Order
	ZoneOut  ticket.ZoneName
	Status   *Status
}
