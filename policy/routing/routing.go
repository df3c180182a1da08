package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/ticket"
)

// EndpointID identifies an endpoint.
type EndpointID string

// Endpoint is one instance's view of an endpoint.
type Endpoint struct {
	ID     EndpointID
	Zone   ticket.ZoneName
	Serves ServedName
	// Draining is true once any source reports that the endpoint is draining.
	Draining bool
	// Warm is true unless the endpoint is known to be in cold start.
	Warm bool
	// Down is true while the endpoint is unreachable.
	Down bool
	// Ejected is true while the endpoint is ejected as an outlier for its error rate.
	Ejected bool
	// Home is true if this instance is the main user of the endpoint, so that
	// OwnInFlight accounts for most of its load.
	Home bool
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// OwnInFlight is the number of this instance's requests in flight.
	OwnInFlight int
	// ReportedInFlight is the number of requests in the endpoint's last load report,
	// and OwnAtReport is the value of OwnInFlight at that time.
	ReportedInFlight int
	OwnAtReport      int
}

// Load estimates the endpoint's slot utilization; it may exceed 1.
func (e *Endpoint) Load() float64 {
	others := max(0, e.ReportedInFlight-e.OwnAtReport)
	return float64(e.OwnInFlight+others) / float64(max(1, e.Slots))
}

// full reports whether another request would have to wait for a slot.
func (e *Endpoint) full() bool {
	return e.Load() >= 1
}

// checkUsable returns Permitted or why the endpoint's state rules it out.
func (e *Endpoint) checkUsable() Reason {
	switch {
	case e.Down:
		return ReasonDown
	case !e.Warm:
		return ReasonCold
	}
	return Permitted
}

// Pool indexes endpoints by served name and zone, in a deterministic order.
type Pool struct {
	byName map[ServedName]*servedGroup
}

type servedGroup struct {
	zones []zoneGroup
}

type zoneGroup struct {
	zone      ticket.ZoneName
	endpoints []*Endpoint
}

// NewPool returns a Pool over the endpoints.
func NewPool(endpoints []*Endpoint) *Pool {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	p := &Pool{byName: map[ServedName]*servedGroup{}}
	for _, e := range sorted {
		p.add(e)
	}
	return p
}

func (p *Pool) add(e *Endpoint) {
	g := p.byName[e.Serves]
	if g == nil {
		g = &servedGroup{}
		p.byName[e.Serves] = g
	}
	last := len(g.zones) - 1
	if last < 0 || g.zones[last].zone != e.Zone {
		g.zones = append(g.zones, zoneGroup{zone: e.Zone})
		last++
	}
	g.zones[last].endpoints = append(g.zones[last].endpoints, e)
}

// AssignHomes partitions the endpoints of a zone among the count instances of the
// zone: every count-th endpoint is a home endpoint of this instance, which has
// the given rank. Endpoints of other zones are never home endpoints.
func (p *Pool) AssignHomes(zone ticket.ZoneName, rank, count int) {
	for serves, g := range p.byName {
		shift := int(xxhash.Sum64String(string(serves)) % uint64(max(1, count)))
		for _, z := range g.zones {
			for i, e := range z.endpoints {
				e.Home = z.zone == zone && (i+shift)%max(1, count) == rank
			}
		}
	}
}

// ForEach calls fn for each endpoint that serves s.
func (p *Pool) ForEach(s ServedName, fn func(*Endpoint)) {
	if g := p.byName[s]; g != nil {
		for _, z := range g.zones {
			for _, e := range z.endpoints {
				fn(e)
			}
		}
	}
}

// Query holds the inputs for choosing an endpoint for one request.
type Query struct {
	View      *ticket.View
	Freshness *Freshness
	Workspace ticket.WorkspaceName
	Target    Target
	// Prefix is the digest of the prompt prefix, or 0 for no prefix affinity.
	Prefix uint64
	// Tried holds the endpoints that must not get this request again.
	Tried []EndpointID
	// RequireIdle restricts the choice to endpoints without other requests.
	RequireIdle bool
}

// Choice is the outcome of a decision.
type Choice struct {
	// Endpoint is the chosen endpoint, or nil.
	Endpoint *Endpoint
	Reason   Reason
	// Considered counts the endpoint checks that were made.
	Considered int
}

// Reasons for a choice.
const (
	ReasonLeastOfTwo     Reason = "least-of-two"
	ReasonPrefixAffinity Reason = "prefix-affinity"
	ReasonHome           Reason = "home"
	ReasonOtherZone      Reason = "other-zone"
	ReasonOnlyCandidate  Reason = "only-candidate"
	// ReasonWarmUp means that an endpoint in cold start gets a request although others are warm.
	ReasonWarmUp Reason = "warm-up"
)

const (
	// maxAffinityLoad is the load up to which the endpoint that probably caches the
	// prefix is chosen. Every instance picks the same endpoint, and at high load
	// none of them learns in time how many requests the others send there.
	maxAffinityLoad = 0.6
	// spillMargin is how much lower the load in another zone must be to use it
	// while the instance's own zone has an endpoint.
	spillMargin = 0.25
	// spillLoad is the load in the instance's own zone from which other zones are considered.
	spillLoad = 1.0
	// minSamples is how many random endpoints are compared. While all of them are
	// full, up to maxDraws are drawn.
	minSamples = 2
	maxDraws   = 6
)

// Choose returns the endpoint for a query. It prefers the instance's own zone.
// Within a zone it takes the endpoint that probably caches the prefix, else the
// least loaded home endpoint, else the less loaded of two random endpoints.
func (p *Pool) Choose(q *Query, random *rand.Rand) Choice {
	g := p.byName[q.Target.ServedName()]
	if g == nil {
		return Choice{Reason: ReasonNoEndpoint}
	}
	d := decision{query: q, random: random, lastRejection: ReasonNoEndpoint}
	own := d.chooseByZone(g, true)
	if own.Endpoint != nil && own.Endpoint.Load() < spillLoad {
		return own
	}
	other := d.chooseByZone(g, false)
	if own.Endpoint == nil && other.Endpoint == nil {
		return d.chooseEjected(g)
	}
	if own.Endpoint == nil || other.Endpoint != nil && other.Endpoint.Load()+spillMargin < own.Endpoint.Load() {
		other.Reason = ReasonOtherZone
		return other
	}
	return own
}

// ChooseCold returns an endpoint in cold start for a query, preferably in the
// instance's own zone; for ReasonWarmUp it considers only that zone. The
// caller must obtain a permit before sending the request.
func (p *Pool) ChooseCold(q *Query, reason Reason) Choice {
	best := Choice{Reason: reason}
	ownZone := q.Freshness.Zone
	p.ForEach(q.Target.ServedName(), func(e *Endpoint) {
		best.Considered++
		usable := !e.Down && !e.Warm && !slices.Contains(q.Tried, e.ID)
		usable = usable && (reason != ReasonWarmUp || e.Zone == ownZone)
		if usable && CheckDispatch(q.View, q.Freshness, q.Workspace, q.Target, e) == Permitted && preferCold(e, best.Endpoint, ownZone) {
			best.Endpoint = e
		}
	})
	return best
}

// preferCold reports whether e is a better choice than other: it prefers
// ownZone, and the lower load within a zone.
func preferCold(e, other *Endpoint, ownZone ticket.ZoneName) bool {
	switch {
	case other == nil:
		return true
	case e.Zone != other.Zone:
		return e.Zone == ownZone
	}
	return e.Load() < other.Load()
}

// decision holds the state of one Choose call.
type decision struct {
	query         *Query
	random        *rand.Rand
	lastRejection Reason
	considered    int
}

// isPermitted reports whether the endpoint may get the request. It counts the
// check and keeps the reason of the last rejection.
func (d *decision) isPermitted(e *Endpoint, allowEjected bool) bool {
	d.considered++
	reason := d.checkEndpoint(e, allowEjected)
	if reason != Permitted {
		d.lastRejection = reason
	}
	return reason == Permitted
}

// checkEndpoint returns Permitted or the reason why the endpoint cannot get the request.
func (d *decision) checkEndpoint(e *Endpoint, allowEjected bool) Reason {
	q := d.query
	if reason := e.checkUsable(); reason != Permitted {
		return reason
	}
	if e.Ejected && !allowEjected {
		return ReasonEjected
	}
	if slices.Contains(q.Tried, e.ID) {
		return ReasonTriedBefore
	}
	if q.RequireIdle && e.Load() > 0 {
		return ReasonFull
	}
	return CheckDispatch(q.View, q.Freshness, q.Workspace, q.Target, e)
}

// chooseByZone chooses an endpoint in the instance's own zone, or in all other zones.
func (d *decision) chooseByZone(g *servedGroup, ownZone bool) Choice {
	best := Choice{}
	for i := range g.zones {
		z := &g.zones[i]
		if (z.zone == d.query.Freshness.Zone) != ownZone {
			continue
		}
		e, reason := d.chooseAmong(z.endpoints)
		if e != nil && (best.Endpoint == nil || e.Load() < best.Endpoint.Load()) {
			best.Endpoint, best.Reason = e, reason
		}
	}
	best.Considered = d.considered
	return best
}

// chooseAmong chooses an endpoint among those of one zone. Without a permitted
// endpoint it returns nil and the reason of the last rejection.
func (d *decision) chooseAmong(endpoints []*Endpoint) (*Endpoint, Reason) {
	sampled, count := d.sample(endpoints)
	if sampled == nil {
		return nil, d.lastRejection
	}
	if e := d.affinityEndpoint(endpoints); e != nil {
		return e, ReasonPrefixAffinity
	}
	if e := d.leastLoadedHome(endpoints); e != nil {
		return e, ReasonHome
	}
	if count == 1 {
		return sampled, ReasonOnlyCandidate
	}
	return sampled, ReasonLeastOfTwo
}

// sample returns the less loaded of two random permitted endpoints, and keeps
// drawing, up to maxDraws, while that one is full. It also returns the number of
// permitted endpoints found.
func (d *decision) sample(endpoints []*Endpoint) (*Endpoint, int) {
	if len(endpoints) <= maxDraws {
		return d.sampleAll(endpoints)
	}
	var best *Endpoint
	found := 0
	for range maxDraws {
		if found >= minSamples && !best.full() {
			break
		}
		e := endpoints[d.random.IntN(len(endpoints))]
		if e == best || !d.isPermitted(e, false) {
			continue
		}
		found++
		best = lessLoaded(best, e)
	}
	if found == 0 {
		return d.sampleAll(endpoints)
	}
	return best, found
}

// sampleAll is like sample, but checks every endpoint and samples among the
// permitted ones.
func (d *decision) sampleAll(endpoints []*Endpoint) (*Endpoint, int) {
	permitted := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if d.isPermitted(e, false) {
			permitted = append(permitted, e)
		}
	}
	var best *Endpoint
	d.random.Shuffle(len(permitted), func(i, j int) { permitted[i], permitted[j] = permitted[j], permitted[i] })
	for i, e := range permitted {
		if i >= minSamples && !best.full() {
			break
		}
		best = lessLoaded(best, e)
	}
	return best, len(permitted)
}

// leastLoadedHome returns the least loaded of the instance's home endpoints, unless all are full.
func (d *decision) leastLoadedHome(endpoints []*Endpoint) *Endpoint {
	var best *Endpoint
	for _, e := range endpoints {
		if e.Home && !e.full() && (best == nil || e.Load() < best.Load()) && d.isPermitted(e, false) {
			best = e
		}
	}
	return best
}

// lessLoaded returns the endpoint with the lower load, and a if they are equal;
// a may be nil.
func lessLoaded(a, b *Endpoint) *Endpoint {
	if a == nil || b.Load() < a.Load() {
		return b
	}
	return a
}

// affinityEndpoint returns the endpoint with the highest rendezvous weight for the prefix,
// unless its load is high.
func (d *decision) affinityEndpoint(endpoints []*Endpoint) *Endpoint {
	if d.query.Prefix == 0 {
		return nil
	}
	var best *Endpoint
	var bestWeight uint64
	for _, e := range endpoints {
		if weight := RendezvousWeight(d.query.Prefix, string(e.ID)); best == nil || weight > bestWeight {
			best, bestWeight = e, weight
		}
	}
	if best.Load() > maxAffinityLoad || !d.isPermitted(best, false) {
		return nil
	}
	return best
}

// chooseEjected chooses among ejected endpoints, as a last resort, so that outlier
// ejection never makes a pool empty.
func (d *decision) chooseEjected(g *servedGroup) Choice {
	var best *Endpoint
	for _, z := range g.zones {
		for _, e := range z.endpoints {
			if e.Ejected && d.isPermitted(e, true) {
				best = lessLoaded(best, e)
			}
		}
	}
	if best == nil {
		return Choice{Reason: d.lastRejection, Considered: d.considered}
	}
	return Choice{Endpoint: best, Reason: ReasonEjected, Considered: d.considered}
}

// RendezvousWeight returns the weight of a member for a key in rendezvous hashing.
func RendezvousWeight(key uint64, member string) uint64 {
	h := xxhash.Sum64String(member) ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
