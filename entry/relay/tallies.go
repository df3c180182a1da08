package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// tallyRows returns the tallies that a peer needs. The caller holds the lock.
func (r *Relay) tallyRows(sameZone, reader bool, zone ticket.ZoneName) []tallyRow {
	var list []tallyRow
	if !reader {
		if sameZone {
			for _, e := range r.own.Rows() {
				if e.Instance == r.members.self.instanceID() {
					list = append(list, encodeRow(e, ""))
				}
			}
		}
		return list
	}
	if sameZone {
		return nil
	}
	r.aggregateZone(zone)
	for _, e := range r.zones.Rows() {
		list = append(list, encodeRow(e, ticket.ZoneName(e.Instance)))
	}
	return list
}

// aggregateZone merges the sum over this zone's instances into the aggregated tallies. A new
// reader starts over from the reports of its members, so the larger of the old and the new
// sum is kept.
func (r *Relay) aggregateZone(zone ticket.ZoneName) {
	r.zones.Merge(r.own.AggregateRows(string(zone)))
}

// RecordRating counts a good or bad response in the series of an arm of an order.
func (r *Relay) RecordRating(series evidence.Series, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.AddRating(series, good)
}

// Sum returns the tally of a series over all zones. It is complete only on a zone's reader.
func (r *Relay) Sum(series evidence.Series) evidence.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aggregateZone(r.members.self.Zone)
	return r.zones.Sum(series)
}

// ByEndpoint returns the tallies of a series that were recorded by endpoint.
func (r *Relay) ByEndpoint(series evidence.Series) map[routing.EndpointID]evidence.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aggregateZone(r.members.self.Zone)
	tallies := map[routing.EndpointID]evidence.Tally{}
	r.zones.ForEach(func(s evidence.Series, tally evidence.Tally) {
		endpoint := routing.EndpointID(s.Endpoint)
		s.Endpoint = ""
		if endpoint != "" && s == series {
			tallies[endpoint] = tallies[endpoint].Add(tally)
		}
	})
	return tallies
}

// ForgetOrder removes the holds and tallies of an order that has ended.
func (r *Relay) ForgetOrder(number catalog.OrderNumber) {
	r.forgetOrderHolds(number)
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := func(s evidence.Series) bool { return s.Number != ticket.Number(number) }
	r.own.Retain(keep)
	r.zones.Retain(keep)
}
