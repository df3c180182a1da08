package placement

import (
	"math"
	"math/rand/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

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
//
// share is the part of the arrivals that chooses the same endpoints as the request.
func (q *Query) zonePools(options []option, share float64) []*zonePool {
	if q.ZoneArrivals == nil {
		return nil
	}
	var pools []*zonePool
	for _, o := range options {
		name := o.state.Endpoint.Zone
		if p := findPool(pools, name); p != nil {
			p.count++
		} else {
			pools = append(pools, &zonePool{name: name, count: 1, arrivals: share * q.ZoneArrivals[name]})
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
func (q *Query) spread(options []option, arrivals float64, random *rand.Rand) (list []option, rooms []float64, level float64) {
	q.scope = ""
	pools := q.zonePools(options, arrivals/max(1, q.Arrivals))
	if pools == nil {
		list, level = options, costLevel(options, arrivals)
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

// PartSize says whether the shared parts of a prompt are long. Long ones, such as documents, are
// usually requested more seldom than short ones, such as instructions, and cost more to read again.
type PartSize string

// Sizes of the shared parts of a prompt.
const (
	PartsShort PartSize = "short"
	PartsLong  PartSize = "long"
)

// PartSizes lists all sizes.
var PartSizes = []PartSize{PartsShort, PartsLong}

// longPartTokens is the number of shared tokens from which they are long: reading them takes the largest
// model longer than two crossings take.
const longPartTokens = 2048

// SizeOf returns the size of a prompt's shared parts.
func SizeOf(parts []Part) PartSize {
	return sizeOf(sharedParts(parts))
}

func sizeOf(shared []Part) PartSize {
	if Tokens(shared) >= longPartTokens {
		return PartsLong
	}
	return PartsShort
}

// RepeatCounts counts the requests with shared parts in the last 10 s, and those of them whose
// instance had another one with the same part in the 10 s before.
type RepeatCounts struct {
	Requests, Repeats int
}

// repeatWindows holds the counts of one instance by size.
type repeatWindows map[PartSize]*[2]share.SlidingWindow

func (r *repeatWindows) add(shared []Part, repeat bool, now clock.Millis) {
	if *r == nil {
		*r = repeatWindows{}
	}
	size := sizeOf(shared)
	if (*r)[size] == nil {
		(*r)[size] = &[2]share.SlidingWindow{}
	}
	(*r)[size][0].Add(partWindow, now)
	if repeat {
		(*r)[size][1].Add(partWindow, now)
	}
}

// Repeats returns this instance's counts.
func (r *PartRates) Repeats(size PartSize, now clock.Millis) RepeatCounts {
	w := r.repeats[size]
	if w == nil {
		return RepeatCounts{}
	}
	return RepeatCounts{Requests: w[0].Sum(partWindow, now), Repeats: w[1].Sum(partWindow, now)}
}

const (
	// zoneHomeRequests is the number of requests with the same part, in the time for which it stays
	// cached, from which each zone has a home for it: with 2 on average, one in seven finds no
	// earlier one, which is what homeCachedChance takes a home for. With fewer, a home for all
	// zones saves more reading than the crossing costs.
	zoneHomeRequests = 2.0
	// minRepeatRequests is the number of requests from which the counts are used.
	minRepeatRequests = 100
	// maxRepeatShare is the share of repeats above which they say no more about the rate.
	maxRepeatShare = 0.95
)

// ZoneHomes reports, by the counts of all instances, whether parts are requested often enough that
// each zone should have homes for them. An instance sees few requests with the same part, so the parts
// of a size are taken to be requested equally often, at random.
func ZoneHomes(counts RepeatCounts, instances, zones int) bool {
	if counts.Requests < minRepeatRequests {
		return false
	}
	repeats := min(maxRepeatShare, float64(counts.Repeats)/float64(counts.Requests))
	perInstance := -math.Log(1 - repeats)
	perPart := perInstance * float64(instances) * float64(cachedPartTTL) / float64(partWindow)
	return perPart >= zoneHomeRequests*float64(max(1, zones))
}
