package relay

import (
	"encoding/json"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// Member is an instance of the fleet.
type Member struct {
	Name    string          `json:"name"`
	Zone    ticket.ZoneName `json:"zone"`
	Address string          `json:"address"`
	// Run identifies one run of the instance's process.
	Run string `json:"run"`
}

// Heard is a member with the time since anyone last heard from it.
type Heard struct {
	Member
	Age clock.Millis `json:"age-ms"`
}

// Message is what two instances tell each other, in both directions.
type Message struct {
	From Member `json:"from"`
	// Members is set now and then, and to a peer that is new.
	Members []Heard `json:"members,omitempty"`
	// Heads say up to where the sender knows each feed.
	Heads   map[registry.Feed]registry.Offset `json:"heads,omitempty"`
	Batches []registry.Batch                  `json:"batches,omitempty"`
	Rows    []evidence.Row                    `json:"rows,omitempty"`
	// Stamp covers Rows; Have is the receiver's stamp that the sender has merged.
	Stamp      evidence.Stamp         `json:"stamp,omitempty"`
	Have       evidence.Stamp         `json:"have,omitempty"`
	Suspicions []quarantine.Suspicion `json:"suspicions,omitempty"`
	Stops      []catalog.OrderNumber  `json:"stops,omitempty"`
	Leaving    bool                   `json:"leaving,omitempty"`
}

// codec encodes messages for connect without generated code.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) { return json.Marshal(message) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }
