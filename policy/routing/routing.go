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

// Endpoint is one endpoint as an instance sees it.
type Endpoint struct {
	ID     EndpointID
	Zone   ticket.ZoneName
	Serves ServedName
	// Draining is true once any source says that the endpoint leaves.
	Draining bool
	// Warm is true while nothing says that the endpoint is in cold start.
	Warm bool
	// Down is true while the endpoint cannot be reached.
	Down bool
	// Ejected is true while its error rate stands out.
	Ejected bool
	// Home is true if this instance is the one that mainly uses the endpoint, so
	// that its own count is most of the load.
	Home bool
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// OwnInFlight is this instance's requests in flight.
	OwnInFlight int
	// ReportedInFlight is the endpoint's own count of requests at its last report,
	// and OwnAtReport this instance's part of it.
	ReportedInFlight int
	OwnAtReport      int
}

// Load estimates the endpoint's occupied share of slots; it may exceed 1.
func (e *Endpoint) Load() float64 {
	others := max(0, e.ReportedInFlight-e.OwnAtReport)
	return float64(e.OwnInFlight+others) / float64(max(1, e.Slots))
}

// full reports whether another request would have to wait for a slot.
func (e *Endpoint) full() bool {
	return e.Load() >= 1
}

func (e *Endpoint) usable() Reason {
	switch {
	case e.Down:
		return ReasonDown
	case !e.Warm:
		return ReasonCold
	}
	return Permitted
}

// Pool indexes endpoints by what they serve and by zone, in a fixed order.
type Pool struct {
	byServes map[ServedName]*group
}

type group struct {
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
	p := &Pool{byServes: map[ServedName]*group{}}
	for _, e := range sorted {
		p.add(e)
	}
	return p
}

func (p *Pool) add(e *Endpoint) {
	g := p.byServes[e.Serves]
	if g == nil {
		g = &group{}
		p.byServes[e.Serves] = g
	}
	last := len(g.zones) - 1
	if last < 0 || g.zones[last].zone != e.Zone {
		g.zones = append(g.zones, zoneGroup{zone: e.Zone})
		last++
	}
	g.zones[last].endpoints = append(g.zones[last].endpoints, e)
}

// AssignHomes divides the endpoints of a zone among the instances of the zone: this
// instance, of the given rank, is at home at every count-th endpoint.
func (p *Pool) AssignHomes(zone ticket.ZoneName, rank, count int) {
	for serves, g := range p.byServes {
		shift := int(xxhash.Sum64String(string(serves)) % uint64(max(1, count)))
		for _, z := range g.zones {
			for i, e := range z.endpoints {
				e.Home = z.zone == zone && (i+shift)%max(1, count) == rank
			}
		}
	}
}

// ForEach calls yield for each endpoint that serves s.
func (p *Pool) ForEach(s ServedName, yield func(*Endpoint)) {
	if g := p.byServes[s]; g != nil {
		for _, z := range g.zones {
			for _, e := range z.endpoints {
				yield(e)
			}
		}
	}
}

// Query asks for an endpoint.
type Query struct {
	View      *ticket.View
	Freshness *Freshness
	Workspace ticket.WorkspaceName
	Target    Target
	// Prefix is the digest of the prompt prefix, or 0 for no preference.
	Prefix uint64
	// Tried holds the endpoints that must not get this request again.
	Tried []EndpointID
	// RequireIdle asks for an endpoint that runs nothing else.
	RequireIdle bool
}

// Choice is the outcome of a decision.
type Choice struct {
	// Endpoint is the choice, or nil.
	Endpoint *Endpoint
	Reason   Reason
	// Considered counts the endpoints that were looked at.
	Considered int
}

// Reasons for a choice.
const (
	ReasonLeastOfTwo     Reason = "least-of-two"
	ReasonPrefixAffinity Reason = "prefix-affinity"
	ReasonHome           Reason = "home"
	ReasonOtherZone      Reason = "other-zone"
	ReasonOnlyCandidate  Reason = "only-candidate"
	// ReasonWarmUp means that an endpoint in cold start gets work although others are warm.
	ReasonWarmUp Reason = "warm-up"
)

const (
	// affinityLoad is the load up to which the endpoint that probably caches the
	// prefix is taken; every instance picks the same one, and at high load
	// none sees in time what the others send there.
	affinityLoad = 0.6
	// spillSlack is how much less loaded another zone must be.
	spillSlack = 0.25
	// spillLoad is the load from which another zone is preferred.
	spillLoad = 1.0
	// samples is how many random endpoints are compared, draws how many at the most.
	samples = 2
	draws   = 6
)

// Choose returns the endpoint for a query. It prefers the instance's own zone,
// there the endpoint that probably caches the prefix, else the least loaded home
// endpoint, else the less loaded of two random endpoints.
func (p *Pool) Choose(q *Query, random *rand.Rand) Choice {
	g := p.byServes[q.Target.ServedName()]
	if g == nil {
		return Choice{Reason: ReasonNoEndpoint}
	}
	d := decision{query: q, random: random, refusal: ReasonNoEndpoint}
	own := d.inZone(g, true)
	if own.Endpoint != nil && own.Endpoint.Load() < spillLoad {
		return own
	}
	other := d.inZone(g, false)
	if own.Endpoint == nil && other.Endpoint == nil {
		return d.lastResort(g)
	}
	if own.Endpoint == nil || other.Endpoint != nil && other.Endpoint.Load()+spillSlack < own.Endpoint.Load() {
		other.Reason = ReasonOtherZone
		return other
	}
	return own
}

// ChooseCold returns an endpoint in cold start for a query, of the instance's own
// zone if there is one; for ReasonWarmUp it looks in the own zone only. The
// caller must get a permit for it.
func (p *Pool) ChooseCold(q *Query, reason Reason) Choice {
	best := Choice{Reason: reason}
	own := q.Freshness.Zone
	p.ForEach(q.Target.ServedName(), func(e *Endpoint) {
		best.Considered++
		usable := !e.Down && !e.Warm && !slices.Contains(q.Tried, e.ID)
		usable = usable && (reason != ReasonWarmUp || e.Zone == own)
		if usable && CheckDispatch(q.View, q.Freshness, q.Workspace, q.Target, e) == Permitted && preferCold(e, best.Endpoint, own) {
			best.Endpoint = e
		}
	})
	return best
}

// preferCold reports whether e is a better choice than other: the own zone goes
// first, within a zone the lower load.
func preferCold(e, other *Endpoint, own ticket.ZoneName) bool {
	switch {
	case other == nil:
		return true
	case e.Zone != other.Zone:
		return e.Zone == own
	}
	return e.Load() < other.Load()
}

// decision carries one Choose call.
type decision struct {
	query   *Query
	random  *rand.Rand
	refusal Reason
	looked  int
}

func (d *decision) check(e *Endpoint, allowEjected bool) bool {
	d.looked++
	reason := d.verdict(e, allowEjected)
	if reason != Permitted {
		d.refusal = reason
	}
	return reason == Permitted
}

func (d *decision) verdict(e *Endpoint, allowEjected bool) Reason {
	q := d.query
	if reason := e.usable(); reason != Permitted {
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

// inZone chooses within the instance's zone, or within all the others.
func (d *decision) inZone(g *group, own bool) Choice {
	best := Choice{}
	for i := range g.zones {
		z := &g.zones[i]
		if (z.zone == d.query.Freshness.Zone) != own {
			continue
		}
		e, reason := d.within(z.endpoints)
		if e != nil && (best.Endpoint == nil || e.Load() < best.Endpoint.Load()) {
			best.Endpoint, best.Reason = e, reason
		}
	}
	best.Considered = d.looked
	return best
}

func (d *decision) within(endpoints []*Endpoint) (*Endpoint, Reason) {
	sampled, count := d.sample(endpoints)
	if sampled == nil {
		return nil, d.refusal
	}
	if e := d.affine(endpoints); e != nil {
		return e, ReasonPrefixAffinity
	}
	if e := d.home(endpoints); e != nil {
		return e, ReasonHome
	}
	if count == 1 {
		return sampled, ReasonOnlyCandidate
	}
	return sampled, ReasonLeastOfTwo
}

// sample returns the less loaded of two random permitted endpoints, and draws
// on while that one is full.
func (d *decision) sample(endpoints []*Endpoint) (*Endpoint, int) {
	if len(endpoints) <= draws {
		return d.scan(endpoints)
	}
	var best *Endpoint
	found := 0
	for range draws {
		if found >= samples && !best.full() {
			break
		}
		e := endpoints[d.random.IntN(len(endpoints))]
		if e == best || !d.check(e, false) {
			continue
		}
		found++
		best = lessLoaded(best, e)
	}
	if found == 0 {
		return d.scan(endpoints)
	}
	return best, found
}

// scan samples among all permitted endpoints.
func (d *decision) scan(endpoints []*Endpoint) (*Endpoint, int) {
	permitted := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if d.check(e, false) {
			permitted = append(permitted, e)
		}
	}
	var best *Endpoint
	d.random.Shuffle(len(permitted), func(i, j int) { permitted[i], permitted[j] = permitted[j], permitted[i] })
	for i, e := range permitted {
		if i >= samples && !best.full() {
			break
		}
		best = lessLoaded(best, e)
	}
	return best, len(permitted)
}

// home returns the least loaded of the instance's home endpoints, unless all are full.
func (d *decision) home(endpoints []*Endpoint) *Endpoint {
	var best *Endpoint
	for _, e := range endpoints {
		if e.Home && !e.full() && (best == nil || e.Load() < best.Load()) && d.check(e, false) {
			best = e
		}
	}
	return best
}

func lessLoaded(a, b *Endpoint) *Endpoint {
	if a == nil || b.Load() < a.Load() {
		return b
	}
	return a
}

// affine returns the endpoint with the highest rendezvous weight for the prefix,
// unless its load is high.
func (d *decision) affine(endpoints []*Endpoint) *Endpoint {
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
	if best.Load() > affinityLoad || !d.check(best, false) {
		return nil
	}
	return best
}

// lastResort allows ejected endpoints, so that ejection never empties a pool.
func (d *decision) lastResort(g *group) Choice {
	var best *Endpoint
	for _, z := range g.zones {
		for _, e := range z.endpoints {
			if e.Ejected && d.check(e, true) {
				best = lessLoaded(best, e)
			}
		}
	}
	if best == nil {
		return Choice{Reason: d.refusal, Considered: d.looked}
	}
	return Choice{Endpoint: best, Reason: ReasonEjected, Considered: d.looked}
}

// RendezvousWeight is the rendezvous weight of a member for a key.
func RendezvousWeight(key uint64, member string) uint64 {
	h := xxhash.Sum64String(member) ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
