package relay

import (
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
)

// peerOrderStart is the start of an order as known to a peer.
type peerOrderStart struct {
	position  registry.Position
	startedAt clock.Millis
}

// unsentOrderStarts returns the order starts that the peer may not know and records them as
// sent. Those of orders that the peer lacks are sent with the orders' records.
func (p *peer) unsentOrderStarts(known []registry.OrderStart, now clock.Millis) []registry.OrderStart {
	var list []registry.OrderStart
	for _, start := range known {
		position := start.Position()
		if !position.Before(p.heads[registry.FeedOrders]) {
			continue
		}
		startedAt := now - start.Age
		sent, ok := p.orderStarts[start.Key]
		if ok && (position.Before(sent.position) || sent.position == position && sent.startedAt <= startedAt+registry.OrderStartTolerance) {
			continue
		}
		p.setOrderStart(start, startedAt)
		list = append(list, start)
	}
	return list
}

// receiveOrderStarts records the order starts that the peer knows.
func (p *peer) receiveOrderStarts(starts []registry.OrderStart, now clock.Millis) {
	for _, start := range starts {
		if !start.Position().Before(p.orderStarts[start.Key].position) {
			p.setOrderStart(start, now-start.Age)
		}
	}
}

func (p *peer) setOrderStart(start registry.OrderStart, startedAt clock.Millis) {
	if p.orderStarts == nil {
		p.orderStarts = map[string]peerOrderStart{}
	}
	p.orderStarts[start.Key] = peerOrderStart{start.Position(), startedAt}
}
