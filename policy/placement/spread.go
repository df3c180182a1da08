package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"foxtailbridge/policy/clock"
)

const (
	// spreadDraws is the number of endpoints drawn by their room, of which the one with the
	// least delay for the request is chosen. At most that many times an endpoint's share of
	// the arrivals can reach it.
	spreadDraws = 2
	// levelSteps is the number of bisection steps to find the cost level.
	levelSteps = 24
)

// loadCost returns the cost of a utilization in milliseconds.
func loadCost(utilization float64) float64 {
	return utilizationCost*utilization + overloadCost*max(0, utilization-overloadUtilization)
}

// option is an endpoint that may get a request.
type option struct {
	state *State
	// fixedCost is the part of the cost that is the same for all requests and does not depend
	// on the endpoint's utilization.
	fixedCost   float64
	utilization float64
	// costPerArrival is what an arrival adds to the cost beside its utilization: the time to read
	// its prompt, where prompts differ in length.
	costPerArrival float64
	// inGroup is true for an endpoint of the group for long prompts.
	inGroup bool
}

// cost is the cost that is the same for all requests.
func (o option) cost() float64 {
	return o.fixedCost + loadCost(o.utilization)
}

// room returns the number of requests that raise the endpoint's cost to the level.
func (o option) room(level float64) float64 {
	rest := level - o.cost()
	if rest <= 0 {
		return 0
	}
	slots := float64(o.state.Endpoint.Slots)
	// perSlots is the cost of as many requests as the endpoint has slots.
	perSlots := utilizationCost + o.costPerArrival*slots
	untilOverload := max(0, overloadUtilization-o.utilization)
	if rest <= untilOverload*perSlots {
		return rest / perSlots * slots
	}
	return (untilOverload + (rest-untilOverload*perSlots)/(perSlots+overloadCost)) * slots
}

// costLevel returns the cost to which the given number of arrivals raises the cheapest
// options if they are spread so that all of them cost the same afterwards.
//
// This is how stale loads are to be read: the instances of a fleet choose by the same loads
// until they learn of each other's choices. If each chose the cheapest endpoint, all arrivals
// of that time would reach it. See Dahlin, "Interpreting Stale Load Information" (1999).
func costLevel(options []option, arrivals float64) float64 {
	low, high := math.Inf(1), 0.0
	for _, o := range options {
		low, high = min(low, o.cost()), max(high, o.cost())
	}
	total := func(level float64) (sum float64) {
		for _, o := range options {
			sum += o.room(level)
		}
		return sum
	}
	for step := 1.0; total(high) < arrivals; step *= 2 {
		high += step * utilizationCost
	}
	for range levelSteps {
		if middle := (low + high) / 2; total(middle) < arrivals {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// drawByRoom returns a random option, weighted by rooms, the number of arrivals that each has
// room for, or the cheapest one if there is no room.
func drawByRoom(options []option, rooms []float64, random *rand.Rand) option {
	if i := drawIndex(rooms, random); i >= 0 {
		return options[i]
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost(), b.cost()) })
}

// drawIndex returns a random index with a probability in proportion to its weight, or -1 if all
// weights are 0.
func drawIndex(weights []float64, random *rand.Rand) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw := random.Float64() * total
	for i, w := range weights {
		if draw < w {
			return i
		}
		draw -= w
	}
	return -1
}

// loadDelay is the mean age of the loads of other instances: they travel from a member through
// the readers of two zones to another member, each 300 ms apart.
const loadDelay = 450 * clock.Millis(1)

// maxBelievedFullness bounds what is believed of one endpoint's requests in flight. Endpoints that
// are that full get none, and a single one that tells nonsense would hide the room at all others.
const maxBelievedFullness = 3

// StaleArrivals estimates how many requests the other instances have sent to the endpoints
// since their loads were told: by Little's law, the requests in flight divided by the mean run
// time are the rate of arrivals.
func StaleArrivals(states []*State, meanRunTime clock.Millis, instances int, now clock.Millis) float64 {
	inFlight := 0
	for _, s := range states {
		inFlight += min(s.InFlight(now), maxBelievedFullness*max(1, s.Endpoint.Slots))
	}
	others := 1 - 1/float64(max(1, instances))
	return others * float64(inFlight) * float64(loadDelay) / float64(max(1, meanRunTime))
}
