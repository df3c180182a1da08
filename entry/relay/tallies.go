package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// rows returns the evidence for a peer; the caller holds the lock.
func (r *Relay) rows(sameZone, reader bool, zone ticket.ZoneName) []row {
	var list []row
	if !reader {
		if sameZone {
			for _, e := range r.own.Rows() {
				if e.Instance == r.members.self.instance() {
					list = append(list, encodeRow(e, ""))
				}
			}
		}
		return list
	}
	if sameZone {
		return nil
	}
	r.foldZone(zone)
	for _, e := range r.zones.Rows() {
		list = append(list, encodeRow(e, ticket.ZoneName(e.Instance)))
	}
	return list
}

// foldZone takes the sum of this zone's instances into the sums of all zones.
// A new reader starts from what its members report again, so the larger of old
// and new sum holds.
func (r *Relay) foldZone(zone ticket.ZoneName) {
	r.zones.Merge(r.own.AggregateRows(string(zone)))
}

// RecordRating counts an answer on one arm of an order.
func (r *Relay) RecordRating(series evidence.Series, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.AddRating(series, good)
}

// Sum returns all zones' tally of a series; only a zone's reader knows it fully.
func (r *Relay) Sum(series evidence.Series) evidence.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foldZone(r.members.self.Zone)
	return r.zones.Sum(series)
}

// BadEndpoints returns how many bad answers of a series each endpoint gave.
func (r *Relay) BadEndpoints(series evidence.Series) map[routing.EndpointID]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foldZone(r.members.self.Zone)
	bad := map[routing.EndpointID]int64{}
	r.zones.ForEach(func(s evidence.Series, tally evidence.Tally) {
		endpoint := routing.EndpointID(s.Endpoint)
		s.Endpoint = ""
		if endpoint != "" && tally.Bad > 0 && s == series {
			bad[endpoint] += tally.Bad
		}
	})
	return bad
}

// ForgetOrder drops what is kept of an order that is over.
func (r *Relay) ForgetOrder(number catalog.OrderNumber) {
	r.forgetHolds(number)
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := func(s evidence.Series) bool { return s.Number != ticket.Number(number) }
	r.own.Retain(keep)
	r.zones.Retain(keep)
}
