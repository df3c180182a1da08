package relay

import (
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
)

// begin is when an order began, as a peer has it.
type begin struct {
	offset registry.Offset
	at     clock.Millis
}

// untold returns the begins that the peer may not know, and notes them as told. Those of
// orders that it lacks go with their records.
func (p *peer) untold(known []registry.OrderStart, now clock.Millis) []registry.OrderStart {
	var list []registry.OrderStart
	for _, b := range known {
		if b.Offset >= p.heads[registry.FeedOrders] {
			continue
		}
		at := now - b.Age
		held, ok := p.begins[b.Key]
		if ok && (held.offset > b.Offset || held.offset == b.Offset && held.at <= at+registry.OrderStartTolerance) {
			continue
		}
		p.noteBegin(b, at)
		list = append(list, b)
	}
	return list
}

// hearBegins notes what the peer told of begins.
func (p *peer) hearBegins(told []registry.OrderStart, now clock.Millis) {
	for _, b := range told {
		if b.Offset >= p.begins[b.Key].offset {
			p.noteBegin(b, now-b.Age)
		}
	}
}

func (p *peer) noteBegin(b registry.OrderStart, at clock.Millis) {
	if p.begins == nil {
		p.begins = map[string]begin{}
	}
	p.begins[b.Key] = begin{b.Offset, at}
}
