package rollout

import (
	"math"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

// Phase is a phase of a roll-out order.
type Phase string

// Phases of an order, in this sequence.
const (
	// PhaseSettle sends nothing to the new release until every instance knows
	// which sessions started on the old one.
	PhaseSettle Phase = "settle"
	// PhaseCanary sends a small share of the sessions to the new release.
	PhaseCanary Phase = "canary"
	// PhaseLoad sends a large share of the sessions, packed onto as few endpoints as
	// have the capacity, so that a release that fails under load does so there.
	PhaseLoad Phase = "load"
	// PhaseFull sends all sessions, still packed onto as few endpoints: with little
	// traffic, even a large share fills none of them.
	PhaseFull Phase = "full"
	// PhaseDone sends all sessions and allows the order to be completed.
	PhaseDone Phase = "done"
)

const (
	// settleDuration covers three rounds of the exchange between instances (from a
	// member through the readers of two zones to another member) plus a margin.
	settleDuration = 1500 * clock.Millis(1)
	// canaryExposureShare is the share of the exposure bound that the canary uses;
	// the rest is reserved for a release that turns bad under load.
	canaryExposureShare = 0.27
	// loadStart is the fraction of an order's duration at which PhaseLoad starts, and
	// loadShare the share of the sessions it sends to the new release.
	loadStart = 0.60
	loadShare = 0.5
	// fullStart is the fraction at which all sessions move to the new release.
	fullStart = 0.75
	// doneStart is the fraction from which the order may be completed.
	doneStart = 0.85
	// drainWaitEnd is the fraction until which completion waits for the in-flight
	// requests of the old release; the rest leaves time to write the outcome to a
	// slow store.
	drainWaitEnd = 0.90
	// minBadAnswers is the minimum number of bad answers needed to stop a release.
	minBadAnswers = 4
)

// Schedule is the timetable of an order.
type Schedule struct {
	Duration clock.Millis
	// LightLoad is the plan for a service with few requests, else nil.
	LightLoad *LightLoad
}

// PhaseAt returns the phase of the order, elapsed since its start. Under light load it is
// that of the routes that move first.
func (s Schedule) PhaseAt(elapsed clock.Millis) Phase {
	progress := float64(elapsed) / float64(max(1, s.Duration))
	start := loadStart
	if s.LightLoad != nil {
		start = s.LightLoad.Start
	}
	switch {
	case progress >= doneStart:
		return PhaseDone
	case progress >= fullStart:
		return PhaseFull
	case progress >= start:
		return PhaseLoad
	case elapsed < settleDuration:
		return PhaseSettle
	}
	return PhaseCanary
}

// PhaseOn returns the phase of one route.
func (s Schedule) PhaseOn(route catalog.RouteName, elapsed clock.Millis) Phase {
	phase := s.PhaseAt(elapsed)
	if phase == PhaseLoad && s.LightLoad != nil && !s.LightLoad.moves(route) {
		return PhaseCanary
	}
	return phase
}

// Share returns the share of a route's sessions for the new release under an exposure bound,
// elapsed since the order's start. It never decreases over time, so that no session moves back
// to the old release.
func (s Schedule) Share(route catalog.RouteName, elapsed clock.Millis, bound float64) float64 {
	switch s.PhaseOn(route, elapsed) {
	case PhaseSettle:
		return 0
	case PhaseCanary:
		return CanaryShare(bound)
	case PhaseLoad:
		if s.LightLoad == nil {
			return loadShare
		}
	}
	return 1
}

// MayWaitForDrain reports whether the completion of an order may still wait for the
// in-flight requests of the old release.
func MayWaitForDrain(elapsed, duration clock.Millis) bool {
	return float64(elapsed) < drainWaitEnd*float64(duration)
}

// PacksEndpoints reports whether requests are packed onto as few endpoints as have
// the capacity.
func (p Phase) PacksEndpoints() bool {
	return p == PhaseLoad || p == PhaseFull
}

// PastCanary reports whether the new release gets a large share of the sessions.
func (p Phase) PastCanary() bool {
	return p != PhaseSettle && p != PhaseCanary
}

// CanaryShare returns the share of sessions that the new release gets in PhaseCanary.
func CanaryShare(bound float64) float64 {
	return canaryExposureShare * bound
}

// SessionsPinned reports whether sessions that started on the old release must stay
// there: during the first half of the order's duration.
func SessionsPinned(elapsed, duration clock.Millis) bool {
	return elapsed*2 < duration
}

const (
	// minBadEndpointShare is the share of the endpoints reached that must have given
	// bad answers before the release counts as the cause: a few failing endpoints do
	// not mean that the release is bad.
	minBadEndpointShare = 0.33
	// maxFailingShare is the share of a release's endpoints that may be failing at
	// once for other reasons: a fifth on the users' deployments, plus a margin. With
	// half of the other endpoints down, a small number of answers may reach only
	// failing ones, so bad answers must come from more endpoints than this share.
	maxFailingShare = 0.25
	// minBadEndpoints and maxBadEndpointsNeeded bound the number of bad endpoints
	// derived from maxFailingShare; from the upper bound on, minBadEndpointShare is
	// enough to tell a bad release from that many failing endpoints.
	minBadEndpoints       = 2
	maxBadEndpointsNeeded = 15
	// MaxComparedAlone is the number of endpoints under high load up to which one of them is
	// compared with itself before it was under load: with little traffic only one is filled.
	MaxComparedAlone = 3
	// minLightAnswers is the minimum number of an endpoint's answers before it was under high
	// load, and lightBadFactor how many times as often it must fail under high load.
	minLightAnswers = 8
	lightBadFactor  = 4
)

// LoadDependent reports whether an endpoint fails under high load only, from the tallies of
// its answers before (light) and under high load (high).
func LoadDependent(light, high evidence.Tally) bool {
	return light.Rated() >= minLightAnswers && light.Bad*lightBadFactor*high.Rated() <= high.Bad*light.Rated()
}

// EvidenceWindow is the evidence on one route over a period of an order: the tallies
// of the old release (From) and the new one (To).
type EvidenceWindow struct {
	From, To evidence.Tally
	// BadEndpoints is the number of the new release's endpoints that gave bad answers.
	BadEndpoints int
	// LoadDependentEndpoints is the number of those that gave good answers before they were
	// under high load, so that they are not broken themselves.
	LoadDependentEndpoints int
	// ReachedEndpoints is the number of the new release's endpoints that got requests.
	ReachedEndpoints int
}

// releaseAtFault reports whether bad answers come from enough endpoints to attribute
// them to the release.
func (w EvidenceWindow) releaseAtFault() bool {
	if w.ReachedEndpoints <= 1 {
		return w.BadEndpoints > 0
	}
	if w.ReachedEndpoints <= MaxComparedAlone && w.LoadDependentEndpoints > 0 {
		return true
	}
	// The expected number of endpoints reached if answers are distributed at random.
	n := float64(w.ReachedEndpoints)
	reached := n * (1 - math.Pow(1-1/n, float64(w.To.Rated())))
	needed := min(max(minBadEndpoints, 1+int(maxFailingShare*n)), maxBadEndpointsNeeded)
	return w.BadEndpoints >= needed && float64(w.BadEndpoints) >= minBadEndpointShare*reached
}

// VerdictEndpoints means that the new release is worse at a few endpoints only.
const VerdictEndpoints Verdict = "endpoints"

// EvaluateWindows evaluates the new release over several windows, so that good ratings
// in the past do not hide a release that turns bad late. It also returns the window
// that decided the verdict.
func EvaluateWindows(windows []EvidenceWindow, prior float64) (Verdict, EvidenceWindow) {
	verdict, decisive := VerdictContinue, EvidenceWindow{}
	for _, w := range windows {
		if w.To.Bad < minBadAnswers || Evaluate(w.From, w.To, prior) != VerdictStop {
			continue
		}
		if w.releaseAtFault() {
			return VerdictStop, w
		}
		verdict, decisive = VerdictEndpoints, w
	}
	return verdict, decisive
}
