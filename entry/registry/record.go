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

// Offset is the position of a record in its feed.
type Offset int64

// Record is the latest known record of a key.
type Record struct {
	Feed   Feed   `json:"Feed"`
	Key    string `json:"Key"`
	Offset Offset `json:"Offset"`
	// Value is the content. A deleted endpoint has one only while the sender still uses it.
	Value []byte `json:"Value"`
	// Deleted is true if the key was deleted.
	Deleted bool `json:"Gone"`
	// Age is the time since any instance first saw the record. It is set only in
	// records exchanged between instances.
	Age clock.Millis `json:"Age"`
}

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
}

// AppliesTo reports whether the status belongs to the order. A status without an
// order number is matched by its target alone.
func (s Status) AppliesTo(order *catalog.Order) bool {
	return s.Target == order.Target && (s.Order == 0 || s.Order == order.Number)
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
