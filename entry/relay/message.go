package relay

import (
	"encoding/json"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Member is an instance of the fleet.
type Member struct {
	Name    string          `json:"name"`
	Zone    ticket.ZoneName `json:"zone"`
	Address string          `json:"address"`
	// RunID identifies one run of the instance's process.
	RunID string `json:"run"`
	// Power orders members by what they can bear; duties go to the strongest.
	Power int `json:"power,omitempty"`
}

// instance names the member's run in evidence.
func (m Member) instance() string {
	return m.Name + "/" + m.RunID
}

// before reports whether the member takes the duty of a key before another:
// the stronger does, else chance decides, the same at all instances.
func (m Member) before(other Member, key uint64) bool {
	if m.Power != other.Power {
		return m.Power > other.Power
	}
	return routing.RendezvousWeight(key, m.Name) > routing.RendezvousWeight(key, other.Name)
}

// MemberEntry is a member with the time since anyone last heard from it.
type MemberEntry struct {
	Member
	Age clock.Millis `json:"age-ms"`
}

// Message is what two instances tell each other, in both directions.
type Message struct {
	From Member `json:"from"`
	// Members is what a zone's reader knows, if the receiver asked for it.
	Members []MemberEntry `json:"members,omitempty"`
	// WantsMembers is true if the sender wants members in the answer.
	WantsMembers bool `json:"asks,omitempty"`
	// ResponseLost is true if the receiver's last answer did not arrive.
	ResponseLost bool `json:"missed,omitempty"`
	// InstanceCount is the number of instances that the sender counts.
	InstanceCount int `json:"count,omitempty"`
	// Heads say up to where the sender knows each feed.
	Heads   map[registry.Feed]registry.Offset `json:"heads,omitempty"`
	Batches []registry.Batch                  `json:"batches,omitempty"`
	// OrderStarts say when orders that the receiver has began, where it may not know that.
	OrderStarts []registry.OrderStart `json:"begins,omitempty"`
	// Tallies are the sender's own tallies to its zone's reader, and sums of zones
	// between readers.
	Tallies []row `json:"rows,omitempty"`
	// Loads are requests at endpoints, as LoadsOf says: all of them, or those that
	// changed since the list with the number LoadsSince, if that is set.
	Loads        map[routing.EndpointID]int `json:"loads,omitempty"`
	LoadsScope   LoadScope                  `json:"loads-of,omitempty"`
	LoadsVersion LoadVersion                `json:"loads-at,omitempty"`
	LoadsBase    LoadVersion                `json:"loads-since,omitempty"`
	// LoadsAcked is the receiver's last list that the sender holds.
	LoadsAcked LoadVersion            `json:"loads-held,omitempty"`
	Suspicions []quarantine.Suspicion `json:"suspicions,omitempty"`
	// Holds are the sessions that must stay on the old release of an order.
	Holds   []SessionHold         `json:"holds,omitempty"`
	Stops   []catalog.OrderNumber `json:"stops,omitempty"`
	Leaving bool                  `json:"leaving,omitempty"`
}

// LoadVersion numbers the lists of loads that one instance told another, from 1.
type LoadVersion uint64

// LoadScope says whose requests are counted.
type LoadScope string

// Those whose requests are counted.
const (
	// ScopeOwn are the sender's, told to its zone's reader.
	ScopeOwn LoadScope = "own"
	// ScopeZone are those of the sender's zone, told between readers.
	ScopeZone LoadScope = "zone"
	// ScopeOthers are those of all instances but the receiver, told by its reader.
	ScopeOthers LoadScope = "others"
)

// codec encodes messages for connect without generated code.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) { return json.Marshal(message) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }

// row is a tally in few bytes: an installation sends thousands a second.
type row struct {
	Order int64              `json:"o"`
	Arm   evidence.Arm       `json:"a"`
	Route ticket.Class       `json:"r"`
	For   ticket.RolloutName `json:"s"`
	// Zone is set in the sum of a zone.
	Zone ticket.ZoneName `json:"z,omitempty"`
	// Endpoint is set in the tally of one endpoint's bad answers.
	Endpoint string `json:"e,omitempty"`
	Good     int64  `json:"g,omitempty"`
	Bad      int64  `json:"b,omitempty"`
}

func encodeRow(r evidence.Row, zone ticket.ZoneName) row {
	return row{
		Order: int64(r.Series.Number), Arm: r.Series.Arm, Route: r.Series.Class, For: r.Series.Rollout,
		Zone: zone, Endpoint: r.Series.Endpoint, Good: r.Tally.Good, Bad: r.Tally.Bad,
	}
}

// decode returns the row as counted in the name of an instance or zone.
func (r row) decode(instance string) evidence.Row {
	s := evidence.RolloutSeries(r.For, ticket.Number(r.Order), r.Arm)
	s.Class, s.Endpoint = r.Route, r.Endpoint
	return evidence.Row{Instance: instance, Series: s, Tally: evidence.Tally{Good: r.Good, Bad: r.Bad}}
}
