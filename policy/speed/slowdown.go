package speed

import (
	"math"

	"foxtailbridge/policy/clock"
)

// Factor is how many times as long as usual work takes; 1 means as long as usual.
type Factor float64

// slowdownDecay is the time constant with which a reported slowdown is forgotten. Endpoints that
// share their machines change their speed about every 0.6 s, and a report that is a second old
// says nearly nothing: a twelfth of it is left then.
const slowdownDecay = 400 * clock.Millis(1)

// Slowdown is the latest report of how long work takes at an endpoint. The zero value means
// that nothing was reported.
type Slowdown struct {
	reported   Factor
	reportedAt clock.Millis
}

// Report records what the endpoint reported.
func (s *Slowdown) Report(f Factor, now clock.Millis) {
	s.reported, s.reportedAt = f, now
}

// At returns the factor to expect of an endpoint whose usual factor is known. It decays from the
// reported factor to the usual one. A report below the usual factor has no effect: it may or may
// not include that the endpoint is always slower than others.
func (s Slowdown) At(usual Factor, now clock.Millis) Factor {
	if s.reported <= usual {
		return usual
	}
	age := max(0, now-s.reportedAt)
	return usual + (s.reported-usual)*Factor(math.Exp(-float64(age)/float64(slowdownDecay)))
}
