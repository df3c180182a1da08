package relay

import (
	"encoding/json"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Member is an instance of the fleet.
type Member struct {
	Name    string          `json:"name"`
	Zone    ticket.ZoneName `json:"zone"`
	Address string          `json:"address"`
	// RunID identifies a run of the instance's process.
	RunID string `json:"run"`
	// Capacity is what the member's CPU and link allow, in millicores. Duties go to the members
	// with the most.
	Capacity int `json:"power,omitempty"`
}

// instanceID identifies the member's run in evidence.
func (m Member) instanceID() string {
	return m.Name + "/" + m.RunID
}

// outranks reports whether the member takes the duty with the given key before another:
// the one with more capacity does, otherwise rendezvous hashing decides, so that all
// instances agree.
func (m Member) outranks(other Member, key uint64) bool {
	if m.Capacity != other.Capacity {
		return m.Capacity > other.Capacity
	}
	return routing.RendezvousWeight(key, m.Name) > routing.RendezvousWeight(key, other.Name)
}

// MemberEntry is a member and the time since any instance last saw it.
type MemberEntry struct {
	Member
	Age clock.Millis `json:"age-ms"`
}

// Message is both the request and the response of an exchange between two instances.
type Message struct {
	From Member `json:"from"`
	// Members is the sender's member list, if the receiver requested it.
	Members []MemberEntry `json:"members,omitempty"`
	// Reader is the reader of the receiver's zone as far as the sender knows, if it is
	// neither the sender nor the receiver.
	Reader *MemberEntry `json:"reader,omitempty"`
	// WantsMembers requests the member list in the response.
	WantsMembers bool `json:"asks,omitempty"`
	// ResponseLost is true if the receiver's last response did not arrive.
	ResponseLost bool `json:"missed,omitempty"`
	// ZoneCounts holds the number of instances by zone.
	ZoneCounts map[ticket.ZoneName]ZoneCount `json:"counts,omitempty"`
	// Heads holds the offset of the sender's head of each feed, see registry.Registry.Heads, and Eras
	// the eras that are not 0.
	Heads map[registry.Feed]registry.Offset `json:"heads,omitempty"`
	Eras  map[registry.Feed]registry.Era    `json:"eras,omitempty"`
	// Config identifies the sender's configuration in force. Heads don't tell whether the receiver
	// has a higher one, because the configuration in force need not be the latest in the log.
	Config  *registry.ConfigID `json:"config,omitempty"`
	Batches []registry.Batch   `json:"batches,omitempty"`
	// OrderStarts holds the starts of orders whose records the receiver already has, where
	// it may lack the start or have a later one.
	OrderStarts []registry.OrderStart `json:"begins,omitempty"`
	// Removals holds the recent removals of endpoints that the receiver may not know. Heads don't
	// tell: a new reader has read the store past a removal without the heartbeats before it.
	Removals []registry.Removal `json:"removals,omitempty"`
	// Tallies holds the sender's own tallies when sent to its zone's reader, and the
	// aggregated tallies of zones when sent between readers.
	Tallies []tallyRow `json:"rows,omitempty"`
	// Loads, Failures and Sums hold the loadlist.Loads of the instances in LoadsScope. If LoadsBase
	// is set, they hold only the changes since the list of that version.
	Loads        loadlist.Counts                `json:"loads,omitempty"`
	Failures     loadlist.Counts                `json:"failures,omitempty"`
	Sums         map[loadlist.Kind]loadlist.Sum `json:"sums,omitempty"`
	LoadsScope   LoadScope                      `json:"loads-of,omitempty"`
	LoadsVersion loadlist.Version               `json:"loads-at,omitempty"`
	LoadsBase    loadlist.Version               `json:"loads-since,omitempty"`
	// LoadsAcked is the version of the last list that the sender received from the receiver.
	LoadsAcked loadlist.Version       `json:"loads-held,omitempty"`
	Suspicions []quarantine.Suspicion `json:"suspicions,omitempty"`
	// PromptParts holds what the sender knows of parts that may crash endpoints.
	PromptParts []quarantine.PartReport `json:"prompt-parts,omitempty"`
	// LeavingEndpoints holds endpoints that said that they are leaving.
	LeavingEndpoints []LeavingEndpoint `json:"leaving-endpoints,omitempty"`
	// Holds holds the sessions that must stay on the old release of an order.
	Holds []SessionHold         `json:"holds,omitempty"`
	Stops []catalog.OrderNumber `json:"stops,omitempty"`
	// LightLoads holds the plans for orders of services under light load.
	LightLoads map[catalog.OrderNumber]*rollout.LightLoad `json:"light-loads,omitempty"`
	Leaving    bool                                       `json:"leaving,omitempty"`
}

// loads returns the loads in the message.
func (m *Message) loads() loadlist.Loads {
	return loadlist.Loads{InFlight: m.Loads, Failures: m.Failures, Sums: m.Sums}
}

// setHeads sets the sender's heads.
func (m *Message) setHeads(heads map[registry.Feed]registry.Position) {
	m.Heads, m.Eras = map[registry.Feed]registry.Offset{}, map[registry.Feed]registry.Era{}
	for feed, head := range heads {
		m.Heads[feed] = head.Offset
		if head.Era != 0 {
			m.Eras[feed] = head.Era
		}
	}
}

// heads returns the sender's heads. The result is not nil.
func (m *Message) heads() map[registry.Feed]registry.Position {
	heads := make(map[registry.Feed]registry.Position, len(m.Heads))
	for feed, offset := range m.Heads {
		heads[feed] = registry.Position{Era: m.Eras[feed], Offset: offset}
	}
	return heads
}

// LoadScope is the set of instances whose requests a load list counts.
type LoadScope string

// Scopes of load lists.
const (
	// ScopeOwn is the sender itself, in lists sent to its zone's reader.
	ScopeOwn LoadScope = "own"
	// ScopeZone is all instances of the sender's zone, in lists sent between readers.
	ScopeZone LoadScope = "zone"
	// ScopeOthers is all instances but the receiver, in lists sent by its zone's reader.
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

// tallyRow is a tally in a compact encoding: an installation sends thousands a second.
type tallyRow struct {
	Order   int64              `json:"o"`
	Arm     evidence.Arm       `json:"a"`
	Class   ticket.Class       `json:"r"`
	Rollout ticket.RolloutName `json:"s"`
	// Zone is set in the aggregated tally of a zone.
	Zone ticket.ZoneName `json:"z,omitempty"`
	// Endpoint is set in the tally of one endpoint's bad responses.
	Endpoint string `json:"e,omitempty"`
	Good     int64  `json:"g,omitempty"`
	Bad      int64  `json:"b,omitempty"`
}

func encodeRow(r evidence.Row, zone ticket.ZoneName) tallyRow {
	return tallyRow{
		Order: int64(r.Series.Number), Arm: r.Series.Arm, Class: r.Series.Class, Rollout: r.Series.Rollout,
		Zone: zone, Endpoint: r.Series.Endpoint, Good: r.Tally.Good, Bad: r.Tally.Bad,
	}
}

// decode returns the row as evidence of the given instance or zone.
func (r tallyRow) decode(instance string) evidence.Row {
	s := evidence.RolloutSeries(r.Rollout, ticket.Number(r.Order), r.Arm)
	s.Class, s.Endpoint = r.Class, r.Endpoint
	return evidence.Row{Instance: instance, Series: s, Tally: evidence.Tally{Good: r.Good, Bad: r.Bad}}
}
