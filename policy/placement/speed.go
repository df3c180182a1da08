package placement

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

const (
	// StartReadRate is the number of prompt tokens that the slowest model is assumed to read in a
	// millisecond until responses say more.
	StartReadRate = prefillRate

	// minSlowness and maxSlowness bound how many times as long as usual work is taken to last at
	// one endpoint. An endpoint ten times as slow gets nothing while others have room; beyond
	// that, a single report would only make all costs look alike.
	minSlowness = 0.5
	maxSlowness = 10.0
	// usualStep is the time in milliseconds until a response starts whose prompt is cached, if
	// Query.Step does not say.
	usualStep = 30.0
	// maxSampleSlowdown is the reported slowdown above which a response says nothing about the
	// endpoint's usual speed. Endpoints that are always slower than others by less may report it.
	maxSampleSlowdown = 1.5
	// maxUnknownShare is the share of a prompt that other instances may have caused to be cached,
	// up to which the time of its response says how fast it was read.
	maxUnknownShare = 0.25
)

// readRate returns the number of prompt tokens that the slowest model reads in a millisecond at an
// endpoint.
func (q *Query) readRate(s *State) float64 {
	rate := q.ReadRate
	if rate <= 0 {
		rate = StartReadRate
	}
	return rate / q.slowness(s)
}

// slowness returns how many times as long as usual work takes at an endpoint.
func (q *Query) slowness(s *State) float64 {
	return min(maxSlowness, max(minSlowness, float64(s.slowdown.At(s.RelativeTime.Factor(q.Now), q.Now))))
}

// slownessCost returns the delay in milliseconds by which an endpoint of this utilization exceeds
// one of usual speed, or less than 0 if it is faster. The time to read the prompt is not included.
func (q *Query) slownessCost(s *State, utilization float64) float64 {
	f := q.slowness(s)
	if f == 1 {
		return 0
	}
	step := q.Step
	if step <= 0 {
		step = usualStep
	}
	return (f - 1) * (step + loadCost(utilization))
}

// ShowsSpeed reports whether a response with this load shows how fast its endpoint usually is.
func (l *Load) ShowsSpeed() bool {
	return l != nil && l.Slots > 0 && !l.High() && l.Waiting == 0 && l.Slowdown <= maxSampleSlowdown
}

// UncachedTokens returns the number of tokens of a prompt that the endpoint has to read before
// it responds; known is false if too many may be cached because of other instances' requests.
func (s *State) UncachedTokens(parts []Part, model ticket.ModelName, now clock.Millis) (tokens int, known bool) {
	shared := sharedParts(parts)
	cached := s.cachedTokens(shared, model, now)
	tokens = Tokens(parts) - cached
	return tokens, float64(Tokens(shared)-cached) <= maxUnknownShare*float64(tokens)
}
