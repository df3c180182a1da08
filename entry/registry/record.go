package registry

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Feed names one stream of keyed records.
type Feed string

// Feeds.
const (
	// FeedOrders holds what operators want.
	FeedOrders Feed = "orders"
	// FeedEndpoints holds what endpoints say of themselves.
	FeedEndpoints Feed = "endpoints"
	// FeedOutcomes holds what this system says of its duties.
	FeedOutcomes Feed = "outcomes"
)

// Feeds lists all feeds.
var Feeds = []Feed{FeedOrders, FeedEndpoints, FeedOutcomes}

// Offset is the position of a record in its feed.
type Offset int64

// Record is the newest known record of a key.
type Record struct {
	Feed   Feed
	Key    string
	Offset Offset
	Value  []byte
	// Deleted is true if the key was dropped.
	Deleted bool
	// Age is how long ago the record was first seen by any instance, when it
	// travels between instances.
	Age clock.Millis
}

// Outcome is the end of a roll-out order.
type Outcome string

// Outcomes of an order.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)

// Final reports whether the outcome ends the order.
func (o Outcome) Final() bool {
	return o == OutcomeCompleted || o == OutcomeRolledBack
}

// Status is the state of a service's roll-out as the store has it.
type Status struct {
	Service ticket.ServiceName
	Target  catalog.Release
	// Order is the order that it speaks of.
	Order   catalog.OrderNumber
	Outcome Outcome
}

// AppliesTo reports whether the status is of the order; one without an order's
// number counts by its target.
func (s Status) AppliesTo(order *catalog.Order) bool {
	return s.Target == order.Target && (s.Order == 0 || s.Order == order.Number)
}

// Object is what a record says; one field is set, or none for a record that says
// nothing to this system.
type Object struct {
	Config   *catalog.Config
	Endpoint *catalog.Endpoint
	Order    *catalog.Order
	ZoneOut  ticket.ZoneName
	Status   *Status
}
