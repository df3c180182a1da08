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

// Query asks for an endpoint.
type Query struct {
	Now  clock.Millis
	Zone ticket.ZoneName
	// Parts are the prompt's parts in order; the last is the request's own.
	Parts []Part
	// Model reads the prompt, and Effort is what that takes against the slowest
	// model of the service, 0 to 1.
	Model        ticket.ModelName
	RelativeCost float64
	// CrossZoneBytes is the number of bytes that would cross zones.
	CrossZoneBytes int
	// Accept filters endpoints, by view and release.
	Accept func(*catalog.Endpoint) bool
	// ZoneUnreachable reports whether a zone cannot be reached now, if it is set.
	ZoneUnreachable func(ticket.ZoneName) bool
	// Tried holds endpoints that must not get the request again.
	Tried []*State
	// ColdRate is this machine's part of the rate that a cold endpoint bears, in 1/s.
	ColdRate float64
	// MaxUtilization is the fill up to which the request may queue at an endpoint.
	MaxUtilization float64
	// PackKey is the name by which all machines agree on the endpoints to fill first,
	// or "" to spread requests.
	PackKey string
	// AllowUnconfirmed allows an endpoint that was out of reach and has not answered since.
	AllowUnconfirmed bool
}

// Choice is the outcome of a query.
type Choice struct {
	State *State
	// Endpoint is what State held of its endpoint then, or nil without a State.
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
	// Waiting is the number of requests that wait at accepted endpoints.
	Waiting int
	// Rejections counts why endpoints were passed over, if no State was found.
	Rejections Rejections
}

// Rejections counts endpoints by why they cannot have a request.
type Rejections map[routing.Reason]int

// ReasonNotAccepted means that the query does not accept the endpoint, for its
// release, its leaving or its zone.
const ReasonNotAccepted routing.Reason = "not-accepted"

// String lists the counts by name.
func (v Rejections) String() string {
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(v)) {
		list = append(list, fmt.Sprintf("%s:%d", reason, v[reason]))
	}
	return strings.Join(list, " ")
}

// verdicts counts why each endpoint cannot have the request.
func (q *Query) verdicts(states []*State) Rejections {
	counts := Rejections{}
	for _, s := range states {
		if !q.Accept(s.Endpoint) {
			counts[ReasonNotAccepted]++
			continue
		}
		counts[q.verdict(s)]++
	}
	return counts
}

const (
	// readRate is the prompt tokens that the slowest model reads in a
	// millisecond: 30 to 37 at the users' engines.
	readRate = 35.0
	// againRate is the tokens that may be read once more for a millisecond's
	// delay: reading a shared part again costs, whatever the model.
	againRate = 70.0
	// homeTrust is the chance that the endpoint where all machines send a part has it.
	homeTrust = 0.85
	// fillCost is the delay that a full endpoint adds over an empty one.
	fillCost = 120.0
	// crowdFill is the fill from which each further request is dear.
	crowdFill = 0.75
	// crowdCost is the delay added for each full endpoint's worth above crowdFill.
	crowdCost = 2500.0
	// zoneCost is the delay that another zone counts for, byteCost for each KB sent there.
	zoneCost = 6.0
	byteCost = 0.4
	// failCost is the delay that an endpoint failing all runs counts for.
	failCost = 4000.0
	// delayCost is the delay of an endpoint that takes twice as long as its peers.
	delayCost = 150.0
	// coldCost is the delay that a cold endpoint counts for.
	coldCost = 60.0
	// coldBurst is how many requests a machine sends a cold endpoint at once.
	coldBurst = 1.0
	// jitter is the random part of a cost, which parts machines that know the same.
	jitter = 12.0
	// packFill is the fill up to which requests are packed onto an endpoint: well
	// above the half of its slots from which load shows, and short of queueing.
	packFill = 0.8
	// packTokens is the most prompt tokens, weighed by the model, of a request
	// that is packed: long prompts would fill the endpoint's reading, not its slots.
	packTokens = 2000.0
	// riskCost is the delay that an endpoint out of reach a moment ago counts for.
	riskCost = 400.0
)

// Choose returns the endpoint with the least estimated delay.
func Choose(states []*State, q *Query, random *rand.Rand) Choice {
	best := Choice{Reason: routing.ReasonNoEndpoint}
	home := q.home(states)
	var packed *State
	var packedWeight uint64
	for _, s := range states {
		if !q.Accept(s.Endpoint) {
			continue
		}
		best.Considered++
		occupied := s.InFlight(q.Now)
		if !s.InBackoff(q.Now) {
			best.Slots += s.Endpoint.Slots
			best.FreeSlots += max(0, s.Endpoint.Slots-occupied)
			best.Waiting += s.Waiting(q.Now)
		}
		if reason := q.verdict(s); reason != routing.Permitted {
			if best.State == nil {
				best.Reason = reason
			}
			continue
		}
		if w := q.packWeight(s); w > packedWeight {
			packed, packedWeight = s, w
		}
		cost := q.cost(s, s == home) + jitter*random.Float64()
		if best.State == nil || cost < best.Cost {
			best.State, best.Cost, best.Reason = s, cost, reasonFor(s, home, len(q.Parts))
		}
	}
	if packed != nil {
		best.State, best.Reason = packed, ReasonPacked
	}
	if best.State == nil {
		best.Rejections = q.verdicts(states)
		return best
	}
	best.Endpoint = best.State.Endpoint
	return best
}

// packWeight ranks the endpoints that requests are packed onto; 0 is none of them.
func (q *Query) packWeight(s *State) uint64 {
	if q.PackKey == "" || q.RelativeCost*float64(Tokens(q.Parts)) > packTokens || s.Cold(q.Now) || s.Utilization(q.Now) >= packFill {
		return 0
	}
	return routing.RendezvousWeight(xxhash.Sum64String(q.PackKey), string(s.Endpoint.ID))
}

func reasonFor(s, home *State, parts int) routing.Reason {
	if s == home && parts > 1 {
		return routing.ReasonPrefixAffinity
	}
	return ReasonLeastDelay
}

const (
	// ReasonLeastDelay means that the endpoint adds the least estimated delay.
	ReasonLeastDelay routing.Reason = "least-delay"
	// ReasonPacked means that the endpoint is the first to be filled.
	ReasonPacked routing.Reason = "packed"
)

func (q *Query) verdict(s *State) routing.Reason {
	for _, tried := range q.Tried {
		if tried == s {
			return routing.ReasonTriedBefore
		}
	}
	switch {
	case s.InBackoff(q.Now), q.ZoneUnreachable != nil && q.ZoneUnreachable(s.Endpoint.Zone):
		return routing.ReasonDown
	case s.misses > 0 && !q.AllowUnconfirmed:
		return routing.ReasonDown
	case s.Utilization(q.Now) >= q.MaxUtilization:
		return routing.ReasonFull
	case s.Cold(q.Now) && !s.cold.Available(q.ColdRate, coldBurst, q.Now):
		return routing.ReasonCold
	}
	return routing.Permitted
}

// Acquire counts a request that is about to be sent, and reports whether a cold
// endpoint may have it.
func (q *Query) Acquire(s *State) bool {
	if s.Cold(q.Now) && !s.cold.Take(q.ColdRate, coldBurst, q.Now) {
		return false
	}
	s.OwnInFlight++
	s.PrefillTokens += q.RelativeCost * float64(Tokens(q.Parts))
	return true
}

// Tokens sums the tokens of the parts.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// shared returns the parts that other requests may share.
func (q *Query) shared() []Part {
	if len(q.Parts) == 0 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// home is the endpoint to which every machine sends the last shared part.
func (q *Query) home(states []*State) *State {
	shared := q.shared()
	if len(shared) == 0 {
		return nil
	}
	key := xxhash.Sum64String(string(shared[len(shared)-1].ID))
	var best *State
	var bestWeight uint64
	for _, s := range states {
		if s.InBackoff(q.Now) || s.Cold(q.Now) || !q.Accept(s.Endpoint) || q.ZoneUnreachable != nil && q.ZoneUnreachable(s.Endpoint.Zone) {
			continue
		}
		if w := routing.RendezvousWeight(key, string(s.Endpoint.ID)); best == nil || w > bestWeight {
			best, bestWeight = s, w
		}
	}
	return best
}

func (q *Query) cost(s *State, home bool) float64 {
	shared := q.shared()
	total := float64(Tokens(q.Parts))
	saved := float64(s.kept(shared, q.Model, q.Now))
	if home {
		saved = max(saved, homeTrust*float64(Tokens(shared)))
	}
	fill := s.Utilization(q.Now)
	cost := (q.RelativeCost*(total-saved)+s.PrefillTokens)/readRate - saved/againRate
	cost += fillCost * fill
	if fill > crowdFill {
		cost += crowdCost * (fill - crowdFill)
	}
	if s.Endpoint.Zone != q.Zone {
		cost += zoneCost + byteCost*float64(q.CrossZoneBytes)/1024
	}
	cost += failCost * s.ExcessFailureRate
	if s.LatencyRatio.Count > 2 && s.LatencyRatio.Mean > 1 {
		cost += delayCost * (s.LatencyRatio.Mean - 1)
	}
	if s.Cold(q.Now) {
		cost += coldCost
	}
	if s.misses > 0 {
		cost += riskCost
	}
	return cost
}
