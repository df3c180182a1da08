package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Query holds the inputs for choosing an endpoint for one request.
type Query struct {
	Now  clock.Millis
	Zone ticket.ZoneName
	// Parts are the prompt's parts in order; the last one is unique to the request.
	Parts []Part
	// Model is the model that runs the request. RelativeCost is its cost relative
	// to the most expensive model of the service, 0 to 1.
	Model        ticket.ModelName
	RelativeCost float64
	// CrossZoneBytes is the number of bytes to send if the endpoint is in another zone.
	CrossZoneBytes int
	// Accept filters endpoints by view and release.
	Accept func(*catalog.Endpoint) bool
	// ZoneUnreachable reports whether a zone is currently unreachable; nil means
	// that all zones are reachable.
	ZoneUnreachable func(ticket.ZoneName) bool
	// Tried holds endpoints that must not get the request again.
	Tried []*State
	// ColdRate is this instance's share of the request rate allowed at a cold
	// endpoint, in requests per second.
	ColdRate float64
	// MaxUtilization is the State.Fullness at which an endpoint counts as full for
	// this request; above 1, the request may queue at the endpoint.
	MaxUtilization float64
	// Pack asks to pack the request; nil spreads requests.
	Pack *Pack
	// Arrivals is the number of requests that other instances are expected to have sent to
	// the service's endpoints since the loads were told, or 0 if the loads are exact.
	Arrivals float64
	// ZoneArrivals is the same by the zone of the instances; a zone that is missing is not known.
	// If it is nil, a request prefers no zone over others beyond the cost of the crossing.
	ZoneArrivals map[ticket.ZoneName]float64
	// ZoneHomes is true if each zone has homes for prompt parts, for requests that prefer their zone.
	ZoneHomes bool
	// Prompts describes the service's prompts, or is nil if they are alike. The backlog that other
	// instances report then is no part of the cost.
	Prompts *PromptMix
	// FirstEventGoal is the time up to which the first event of the response is in time, or 0.
	FirstEventGoal clock.Millis
	// Homes is the number of endpoints that share the prompt's last shared part; 0 means one.
	Homes int
	// ReadRate is the number of prompt tokens that the slowest model reads in a millisecond, and
	// Step the time in milliseconds until a response starts whose prompt is cached; 0 means that
	// they are not known.
	ReadRate float64
	Step     float64
	// Memory says what is known of the endpoints' memory.
	Memory Memory
	// AllowUnconfirmed allows an endpoint that was unreachable and has not responded since.
	AllowUnconfirmed bool

	// scope is the zone in which the request chooses, or "" for all. Choose sets it.
	scope ticket.ZoneName
}

// Choice is the outcome of a query.
type Choice struct {
	State *State
	// Endpoint is State.Endpoint at the time of the choice, or nil if State is nil.
	Endpoint *catalog.Endpoint
	Reason   routing.Reason
	// Cost is the estimated delay of the choice in milliseconds.
	Cost float64
	// Considered counts the endpoints that were accepted.
	Considered int
	// FreeSlots is the number of free slots at accepted endpoints.
	FreeSlots int
	// Slots is the number of slots at accepted endpoints.
	Slots int
	// Waiting is the number of requests queued at accepted endpoints.
	Waiting int
	// Excess is the number of requests in flight beyond the slots of accepted endpoints.
	Excess int
	// PackedEndpoints is the number of endpoints that packed requests fill, or 0 if the
	// request is not packed.
	PackedEndpoints int
	// Prompt says what the prompt's length decided, or is nil if the service's prompts are alike
	// or the request is packed.
	Prompt *PromptChoice
	// KeptAway counts accepted endpoints that want no requests, and HeldOffUntil is when the
	// first of them wants some again, or 0.
	KeptAway     int
	HeldOffUntil clock.Millis
	// ShortOfMemory counts endpoints that could get the request but for their memory. They get it
	// only if that is all of them.
	ShortOfMemory int
	// Rejections counts endpoints by rejection reason; it is set only if State is nil.
	Rejections Rejections
}

// Rejections counts endpoints by the reason why they were rejected for a request.
type Rejections map[routing.Reason]int

// ReasonNotAccepted means that the query does not accept the endpoint because of
// its release, its zone, or because it is draining.
const ReasonNotAccepted routing.Reason = "not-accepted"

// String formats the counts as "reason:count" pairs, sorted by reason.
func (r Rejections) String() string {
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(r)) {
		list = append(list, fmt.Sprintf("%s:%d", reason, r[reason]))
	}
	return strings.Join(list, " ")
}

// countRejections counts the endpoints by the reason why each cannot get the request.
func (q *Query) countRejections(states []*State) Rejections {
	counts := Rejections{}
	for _, s := range states {
		if !q.Accept(s.Endpoint) {
			counts[ReasonNotAccepted]++
			continue
		}
		counts[q.check(s)]++
	}
	return counts
}

const (
	// prefillRate is the number of prompt tokens that the slowest model is assumed to
	// prefill per millisecond: 30 to 37 on the users' first engines.
	prefillRate = 35.0
	// reprefillRate is the number of cached tokens that offset one more millisecond
	// of delay: prefilling a shared part again has a cost whatever the model.
	reprefillRate = 70.0
	// homeCachedChance is the probability that a part's home endpoint has it cached.
	homeCachedChance = 0.85
	// The costs below are in milliseconds of estimated delay.

	// utilizationCost is the cost of a full endpoint over an empty one.
	utilizationCost = 120.0
	// overloadUtilization is the utilization above which overloadCost applies.
	overloadUtilization = 0.75
	// overloadCost is the cost per unit of utilization above overloadUtilization.
	overloadCost = 2500.0
	// crossZoneCost is the cost of using another zone, and crossZoneCostPerKB the
	// cost of each KB sent there.
	crossZoneCost      = 6.0
	crossZoneCostPerKB = 0.4
	// failureCost is the cost of an excess failure rate of 1.
	failureCost = 4000.0
	// latencyCost is the cost of an endpoint that takes twice as long as its peers
	// to send the first byte.
	latencyCost = 150.0
	// coldCost is the cost of a cold endpoint.
	coldCost = 60.0
	// coldBurst is the token bucket size for requests of one instance to a cold endpoint.
	coldBurst = 1.0
	// jitter is the upper bound of the random part of a cost, so that instances
	// with the same information do not all choose the same endpoint.
	jitter = 12.0
	// unconfirmedCost is the cost of an endpoint that was unreachable and has not
	// responded since.
	unconfirmedCost = 400.0
)

// Choose returns the endpoint with the lowest estimated delay. If the query packs
// requests, an endpoint that is to be filled takes precedence. If other instances choose by
// the same loads, the endpoint is the best of a few that are drawn by their room, of those
// known to have a part of the prompt cached, and of the part's home.
func Choose(states []*State, q *Query, random *rand.Rand) Choice {
	best := Choice{Reason: routing.ReasonNoEndpoint}
	options := make([]option, 0, len(states))
	for _, s := range states {
		if !q.Accept(s.Endpoint) {
			continue
		}
		best.Considered++
		switch {
		case s.leaving:
			best.KeptAway++
		case s.HeldOff(q.Now):
			best.KeptAway++
			if best.HeldOffUntil == 0 || s.heldOffUntil < best.HeldOffUntil {
				best.HeldOffUntil = s.heldOffUntil
			}
		case !s.InBackoff(q.Now):
			best.Slots += s.Endpoint.Slots
			free := s.Endpoint.Slots - s.InFlight(q.Now)
			best.FreeSlots += max(0, free)
			best.Excess += max(0, -free)
			best.Waiting += s.Waiting(q.Now)
		}
		if reason := q.check(s); reason != routing.Permitted {
			best.Reason = reason
			continue
		}
		options = append(options, q.newOption(s))
	}
	if len(options) == 0 {
		best.Rejections = q.countRejections(states)
		return best
	}
	options, best.ShortOfMemory = q.withMemory(options)
	if packed, filled := q.packedEndpoint(states, random); packed != nil && contains(options, packed) {
		best.State, best.Reason, best.PackedEndpoints = packed, ReasonPacked, filled
	} else {
		q.chooseOption(&best, states, options, random)
		best.Prompt = q.describePrompt(best.State, options)
	}
	best.Endpoint = best.State.Endpoint
	return best
}

// chooseOption sets the choice to the option with the lowest estimated delay.
func (q *Query) chooseOption(best *Choice, states []*State, options []option, random *rand.Rand) {
	var home *State
	consider := func(o option, level float64) {
		cost := max(o.cost(), level) + q.promptCost(o.state, o.state == home) + jitter*random.Float64()
		if best.State == nil || cost < best.Cost {
			best.State, best.Cost, best.Reason = o.state, cost, reasonFor(o.state, home, len(q.Parts))
		}
	}
	arrivals := q.addBacklogCosts(options)
	if arrivals <= 0 {
		q.scope = ""
		home = q.homeEndpoint(states, random)
		for _, o := range options {
			consider(o, 0)
		}
		return
	}
	drawable, rooms, level := q.spread(options, arrivals, random)
	home = q.homeEndpoint(states, random)
	for range spreadDraws {
		consider(drawByRoom(drawable, rooms, random), level)
	}
	shared := sharedParts(q.Parts)
	for _, o := range options {
		if q.worthReading(o.state, home, shared) {
			consider(o, level)
		}
	}
}

// reasonFor returns the reason for choosing the endpoint s by its estimated delay.
func reasonFor(s, home *State, parts int) routing.Reason {
	if s == home && parts > 1 {
		return routing.ReasonPrefixAffinity
	}
	return ReasonLeastDelay
}

const (
	// ReasonLeastDelay means that the endpoint has the lowest estimated delay.
	ReasonLeastDelay routing.Reason = "least-delay"
	// ReasonHeldOff means that the endpoint wants no requests for some time.
	ReasonHeldOff routing.Reason = "endpoint-held-off"
	// ReasonPacked means that the request was packed onto an endpoint that is filled first.
	ReasonPacked routing.Reason = "packed"
)

// check returns routing.Permitted or why an accepted endpoint cannot get the request.
func (q *Query) check(s *State) routing.Reason {
	for _, tried := range q.Tried {
		if tried == s {
			return routing.ReasonTriedBefore
		}
	}
	switch {
	case s.leaving:
		return routing.ReasonDraining
	case s.HeldOff(q.Now):
		return ReasonHeldOff
	case s.InBackoff(q.Now), q.ZoneUnreachable != nil && q.ZoneUnreachable(s.Endpoint.Zone):
		return routing.ReasonDown
	case s.Unconfirmed() && !q.AllowUnconfirmed:
		return routing.ReasonDown
	case s.Fullness(q.Now) >= q.MaxUtilization:
		return routing.ReasonFull
	case s.Cold(q.Now) && !s.coldLimiter.Available(q.ColdRate, coldBurst, q.Now):
		return routing.ReasonCold
	}
	return routing.Permitted
}

// Acquire counts a request that is about to be sent to the endpoint. It returns
// false, and counts nothing, if the endpoint is cold and over its rate limit.
func (q *Query) Acquire(s *State) bool {
	if s.Cold(q.Now) && !s.coldLimiter.Take(q.ColdRate, coldBurst, q.Now) {
		return false
	}
	s.OwnInFlight++
	s.PrefillTokens += q.RelativeCost * float64(Tokens(q.Parts))
	q.Memory.acquire(s)
	return true
}

// PrefillTime returns how long the largest model takes to prefill a prompt.
func PrefillTime(tokens float64) clock.Millis {
	return clock.Millis(tokens / prefillRate)
}

// Tokens returns the total number of tokens of the parts.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// sharedParts returns all parts but the last: those that other requests may share.
func sharedParts(parts []Part) []Part {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// homeEndpoint returns an endpoint that all instances prefer for the last shared part, or nil:
// one of those with the highest rendezvous weights, as many as the part's requests need.
func (q *Query) homeEndpoint(states []*State, random *rand.Rand) *State {
	shared := sharedParts(q.Parts)
	if len(shared) == 0 {
		return nil
	}
	key := xxhash.Sum64String(string(shared[len(shared)-1].ID))
	type weighted struct {
		state  *State
		weight uint64
	}
	// homes is sorted by descending weight.
	homes := make([]weighted, 0, q.homeCount())
	for _, s := range states {
		if s.absent(q.Now) || s.Cold(q.Now) || !q.mayBeHome(s) || !q.Accept(s.Endpoint) || q.ZoneUnreachable != nil && q.ZoneUnreachable(s.Endpoint.Zone) {
			continue
		}
		w := routing.RendezvousWeight(key, string(s.Endpoint.ID))
		i := len(homes)
		for i > 0 && homes[i-1].weight < w {
			i--
		}
		if i == cap(homes) {
			continue
		}
		homes = slices.Insert(homes[:min(len(homes), cap(homes)-1)], i, weighted{s, w})
	}
	switch len(homes) {
	case 0:
		return nil
	case 1:
		return homes[0].state
	}
	return homes[random.IntN(len(homes))].state
}

// newOption returns an endpoint with the costs that are the same for all requests.
func (q *Query) newOption(s *State) option {
	o := option{state: s, utilization: s.Utilization(q.Now)}
	o.fixedCost = q.crossingCost(s) + failureCost*s.ExcessFailureRate + q.slownessCost(s, o.utilization)
	if s.LatencyRatio.Count > 2 && s.LatencyRatio.Mean > 1 {
		o.fixedCost += latencyCost * (s.LatencyRatio.Mean - 1)
	}
	if s.Cold(q.Now) {
		o.fixedCost += coldCost
	}
	if s.Unconfirmed() {
		o.fixedCost += unconfirmedCost
	}
	return o
}

// promptCost estimates how long the endpoint takes until it has prefilled the request's
// prompt, in milliseconds, less the value of the cached tokens.
func (q *Query) promptCost(s *State, home bool) float64 {
	shared := sharedParts(q.Parts)
	cachedTokens := float64(s.cachedTokens(shared, q.Model, q.Now))
	if home {
		cachedTokens = max(cachedTokens, homeCachedChance*float64(Tokens(shared)))
	}
	return (q.RelativeCost*(float64(Tokens(q.Parts))-cachedTokens)+s.PrefillTokens)/q.readRate(s) - cachedTokens/reprefillRate
}
