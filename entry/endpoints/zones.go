package endpoints

import (
	"strings"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

const (
	// demandWindow is the time over which the requests sent by the instances of a zone are counted.
	demandWindow = clock.Second
	// demandTTL is how long the counts of other instances are valid.
	demandTTL = 1500 * clock.Millis(1)
)

// zoneDemand counts the requests that the instances of each zone send to each service.
type zoneDemand struct {
	own map[ticket.ServiceName]*share.SlidingWindow
	// others holds the counts of all other instances, by demandKey, as of receivedAt.
	others loadlist.Sum
	// repeats holds what others told of loadlist.KindRepeats, also as of receivedAt.
	repeats    loadlist.Sum
	receivedAt clock.Millis
}

// demandKey returns the key of a service and a zone in loadlist.KindZoneDemand.
func demandKey(service ticket.ServiceName, zone ticket.ZoneName) loadlist.Key {
	return loadlist.Key(string(zone) + "/" + string(service))
}

// add counts a request of this instance.
func (d *zoneDemand) add(service ticket.ServiceName, now clock.Millis) {
	w := d.own[service]
	if w == nil {
		w = &share.SlidingWindow{}
		d.own[service] = w
	}
	w.Add(demandWindow, now)
}

// sum returns the counts of this instance, which is in the zone.
func (d *zoneDemand) sum(zone ticket.ZoneName, now clock.Millis) loadlist.Sum {
	sum := loadlist.Sum{}
	for service, w := range d.own {
		if n := w.Sum(demandWindow, now); n > 0 {
			sum[demandKey(service, zone)] = n
		}
	}
	return sum
}

// arrivals returns the requests that the instances of each zone are expected to have sent to the service
// since their loads were told, or nil if nothing is known of the other instances.
func (d *zoneDemand) arrivals(service ticket.ServiceName, zone ticket.ZoneName, now clock.Millis) map[ticket.ZoneName]float64 {
	if len(d.others) == 0 || now-d.receivedAt > demandTTL {
		return nil
	}
	arrivals := map[ticket.ZoneName]float64{}
	for key, n := range d.others {
		if name, ok := strings.CutSuffix(string(key), "/"+string(service)); ok {
			arrivals[ticket.ZoneName(name)] += placement.ExpectedArrivals(n, demandWindow)
		}
	}
	if w := d.own[service]; w != nil {
		arrivals[zone] += placement.ExpectedArrivals(w.Sum(demandWindow, now), demandWindow)
	}
	return arrivals
}

// receive takes over the counts of all other instances.
func (d *zoneDemand) receive(loads loadlist.Loads, now clock.Millis) {
	d.others, d.repeats, d.receivedAt = loads.Sums[loadlist.KindZoneDemand], loads.Sums[loadlist.KindRepeats], now
}

// requestsKey and repeatsKey are the keys of placement.RepeatCounts in loadlist.KindRepeats.
func requestsKey(size placement.PartSize) loadlist.Key { return loadlist.Key(size + "/requests") }
func repeatsKey(size placement.PartSize) loadlist.Key  { return loadlist.Key(size + "/repeats") }

// tellZones adds what this instance counted to its loads; the caller holds the lock.
func (t *Tracker) tellZones(loads loadlist.Loads, now clock.Millis) {
	if sum := t.demand.sum(t.deps.Zone, now); len(sum) > 0 {
		loads.Sums[loadlist.KindZoneDemand] = sum
	}
	sum := loadlist.Sum{}
	for _, size := range placement.PartSizes {
		counts := t.parts.Repeats(size, now)
		if counts.Requests > 0 {
			sum[requestsKey(size)] = counts.Requests
		}
		if counts.Repeats > 0 {
			sum[repeatsKey(size)] = counts.Repeats
		}
	}
	if len(sum) > 0 {
		loads.Sums[loadlist.KindRepeats] = sum
	}
}

// setZones completes a query by what is known of the zones' requests; the caller holds the lock.
func (t *Tracker) setZones(q *placement.Query, service ticket.ServiceName, instances int) {
	q.ZoneArrivals = t.demand.arrivals(service, t.deps.Zone, q.Now)
	if q.ZoneArrivals == nil {
		return
	}
	size := placement.SizeOf(q.Parts)
	counts := t.parts.Repeats(size, q.Now)
	counts.Requests += t.demand.repeats[requestsKey(size)]
	counts.Repeats += t.demand.repeats[repeatsKey(size)]
	q.ZoneHomes = placement.ZoneHomes(counts, instances, len(q.ZoneArrivals))
}
