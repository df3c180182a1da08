package placement

import (
	"math"
	"math/rand/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Leaving reports whether the endpoint said that it will end soon.
func (s *State) Leaving() bool {
	return s.leaving
}

// Unconfirmed reports whether the endpoint was unreachable and has not responded since.
func (s *State) Unconfirmed() bool {
	return s.failedContacts > 0
}

// minZoneEndpoints is the number of endpoints with room from which a zone's requests prefer it. With
// fewer, one that fails or reads a long prompt changes the zone's load by more than the crossing
// costs, and the requests do better on all zones' endpoints.
const minZoneEndpoints = 8

// crossingCost returns the cost of sending the request to the endpoint's zone.
func (q *Query) crossingCost(s *State) float64 {
	if s.Endpoint.Zone == q.Zone {
		return 0
	}
	return q.otherZoneCost()
}

// otherZoneCost returns the cost of sending the request to another zone.
func (q *Query) otherZoneCost() float64 {
	return crossZoneCost + crossZoneCostPerKB*float64(q.CrossZoneBytes)/1024
}

// zonePool holds the endpoints of one zone, at the costs that its own instances see, and the
// requests that those are expected to send.
type zonePool struct {
	name     ticket.ZoneName
	count    int
	options  []option
	arrivals float64
}

// room returns the number of requests that raise the cost of the zone's endpoints to the level.
func (p *zonePool) room(level float64) (sum float64) {
	for _, o := range p.options {
		sum += o.room(level)
	}
	return sum
}

// imports returns how many more requests than its own the zone has room for below the level.
func (p *zonePool) imports(level float64) float64 {
	return max(0, p.room(level)-p.arrivals)
}

// exports returns how many of its own requests the zone has no room for below the level.
func (p *zonePool) exports(level float64) float64 {
	return max(0, p.arrivals-p.room(level))
}

// zonePools divides the options by zone. It returns nil if the request has no zone to
// prefer: the zone has too few endpoints, there is no other, or its arrivals are not known.
func (q *Query) zonePools(options []option) []*zonePool {
	if q.ZoneArrivals == nil {
		return nil
	}
	var pools []*zonePool
	for _, o := range options {
		name := o.state.Endpoint.Zone
		if p := findPool(pools, name); p != nil {
			p.count++
		} else {
			pools = append(pools, &zonePool{name: name, count: 1, arrivals: q.ZoneArrivals[name]})
		}
	}
	own := findPool(pools, q.Zone)
	if own == nil || own.count < minZoneEndpoints || len(pools) == 1 {
		return nil
	}
	own.arrivals = max(1, own.arrivals)
	rest := make([]option, len(options))
	for _, p := range pools {
		p.options, rest = rest[:0:p.count], rest[p.count:]
	}
	for _, o := range options {
		zone := o.state.Endpoint.Zone
		o.fixedCost -= q.crossingCost(o.state)
		if _, known := q.ZoneArrivals[zone]; !known && zone != q.Zone {
			// The zone may be cut off: the loads of its endpoints are missing, and they look empty.
			o.utilization = max(o.utilization, overloadUtilization)
		}
		p := findPool(pools, zone)
		p.options = append(p.options, o)
	}
	return pools
}

// findPool returns the pool of a zone, or nil.
func findPool(pools []*zonePool, zone ticket.ZoneName) *zonePool {
	for _, p := range pools {
		if p.name == zone {
			return p
		}
	}
	return nil
}

// exchangeLevel returns the cost level at which the zones below it have room for all requests
// that zones above it and the cost of the crossing have no room for.
func exchangeLevel(pools []*zonePool, crossing float64) float64 {
	low, high := math.Inf(1), 0.0
	for _, p := range pools {
		for _, o := range p.options {
			low, high = min(low, o.cost()), max(high, o.cost())
		}
	}
	balance := func(level float64) (sum float64) {
		for _, p := range pools {
			sum += p.imports(level) - p.exports(level+crossing)
		}
		return sum
	}
	for step := 1.0; balance(high) < 0; step *= 2 {
		high += step * utilizationCost
	}
	for range levelSteps {
		if middle := (low + high) / 2; balance(middle) < 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// spread returns the options among which the request chooses, the number of arrivals that each has
// room for, and the cost level to which the arrivals raise the cheapest of them.
//
// If the request prefers its zone, they are the options of one zone, which is also that of its prompt
// part's home: its own zone, unless the arrivals of all zones leave that fuller than others by more
// than the cost of the crossing. Each request of such a zone has the same probability to cross. The zone is
// drawn before the endpoint: if the home of its prompt part could keep a request in a zone that is
// too full, all would stay until the home costs more than the part is worth, and then all would leave.
func (q *Query) spread(options []option, random *rand.Rand) (list []option, rooms []float64, level float64) {
	q.scope = ""
	pools := q.zonePools(options)
	if pools == nil {
		list, level = options, costLevel(options, q.Arrivals)
	} else {
		crossing := q.otherZoneCost()
		exchange := exchangeLevel(pools, crossing)
		pool := q.drawZone(pools, exchange, crossing, random)
		q.scope, list = pool.name, pool.options
		if pool.name == q.Zone {
			level = min(exchange+crossing, max(exchange, costLevel(list, pool.arrivals)))
		} else {
			level = exchange + crossing
			for i := range list {
				list[i].fixedCost += crossing
			}
		}
	}
	rooms = make([]float64, len(list))
	for i, o := range list {
		rooms[i] = o.room(level)
	}
	return list, rooms, level
}

// drawZone draws the zone of the request.
func (q *Query) drawZone(pools []*zonePool, exchange, crossing float64, random *rand.Rand) *zonePool {
	var own *zonePool
	imports := make([]float64, len(pools))
	for i, p := range pools {
		if p.name == q.Zone {
			own = p
		} else {
			imports[i] = p.imports(exchange)
		}
	}
	if random.Float64()*own.arrivals < own.exports(exchange+crossing) {
		if i := drawIndex(imports, random); i >= 0 {
			return pools[i]
		}
	}
	return own
}

// ExpectedArrivals returns how many requests are expected to have been sent since the loads were told,
// if so many were in a window of the given length.
func ExpectedArrivals(requests int, window clock.Millis) float64 {
	return float64(requests) * float64(loadDelay) / float64(window)
}

// mayBeHome reports whether an endpoint is in a zone where the prompt part has homes.
func (q *Query) mayBeHome(s *State) bool {
	return q.scope == "" || !q.ZoneHomes || s.Endpoint.Zone == q.scope
}

// homeCount returns the number of a part's homes among those endpoints.
func (q *Query) homeCount() int {
	homes := max(1, q.Homes)
	if q.scope == "" || !q.ZoneHomes {
		return homes
	}
	zones := max(1, len(q.ZoneArrivals))
	return (homes + zones - 1) / zones
}

// worthReading reports whether the endpoint is to be considered for the prompt parts that it has
// cached: its home, and other endpoints of the zone in which the request chooses.
func (q *Query) worthReading(s, home *State, shared []Part) bool {
	if s == home {
		return true
	}
	inScope := q.scope == "" || s.Endpoint.Zone == q.scope
	return inScope && len(shared) > 0 && s.cachedTokens(shared, q.Model, q.Now) > 0
}

const (
	// zoneHomeRequests is the number of requests with the same part, in the time for which it stays
	// cached, from which each zone has a home for it: with 2 on average, one in seven finds no
	// earlier one, which is what homeCachedChance takes a home for. With fewer, a home for all
	// zones saves more reading than the crossing costs.
	zoneHomeRequests = 2.0
	// repeatWindow is the number of requests over which the repetition of parts is averaged, and
	// minRepeatCount the number from which the average is used.
	repeatWindow   = 500
	minRepeatCount = 30
)

// addRepeat counts a request whose part this instance saw so many times in the last partWindow.
func (r *PartRates) addRepeat(earlier float64) {
	r.repeats.Count++
	r.repeats.Mean += (earlier - r.repeats.Mean) / float64(min(r.repeats.Count, repeatWindow))
}

// ZoneHomes reports whether parts are requested often enough that each zone should have homes for
// them. One instance sees few requests with the same part, so the mean of all parts is used.
func (r *PartRates) ZoneHomes(instances, zones int) bool {
	perPart := r.repeats.Mean * float64(instances) * float64(cachedPartTTL) / float64(partWindow)
	return r.repeats.Count >= minRepeatCount && perPart >= zoneHomeRequests*float64(max(1, zones))
}
