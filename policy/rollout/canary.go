package rollout

import (
	"math"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

// Phase is a part of an order's time.
type Phase string

// Phases of an order.
const (
	// PhaseSettle sends nothing to the new release, until every instance knows
	// which sessions began on the old one.
	PhaseSettle Phase = "settle"
	// PhaseCanary sends a small share of the sessions to the new release.
	PhaseCanary Phase = "canary"
	// PhaseRamp sends more and more of them, to as few endpoints as can bear them.
	PhaseRamp Phase = "ramp"
	// PhaseFull sends all of them and watches.
	PhaseFull Phase = "full"
	// PhaseDone allows the order to be completed.
	PhaseDone Phase = "done"
)

const (
	// settleSpan is three rounds of the exchange between instances, from a member
	// through the readers of two zones to another member, and some.
	settleSpan = 1500 * clock.Millis(1)
	// canaryPart is the share of the exposure bound that the canary uses; the
	// rest is for a release that turns bad under load.
	canaryPart = 0.35
	// rampFrom is the part of an order's time after which the share grows.
	rampFrom = 0.60
	// fullFrom is the part after which all traffic has moved.
	fullFrom = 0.76
	// doneFrom is the part after which the order is completed.
	doneFrom = 0.85
	// minBad is how many bad answers it takes to stop a release.
	minBad = 4
)

// PhaseAt returns the phase of an order at a time since its start.
func PhaseAt(elapsed, span clock.Millis) Phase {
	part := float64(elapsed) / float64(max(1, span))
	switch {
	case part >= doneFrom:
		return PhaseDone
	case part >= fullFrom:
		return PhaseFull
	case part >= rampFrom:
		return PhaseRamp
	case elapsed < settleSpan:
		return PhaseSettle
	}
	return PhaseCanary
}

// FirstShare returns the share of sessions for the new release when its canary begins.
func FirstShare(bound float64) float64 {
	return canaryPart * bound
}

// Share returns the share of sessions for the new release under an exposure
// bound. It never falls, so that no session goes back.
func Share(elapsed, span clock.Millis, bound float64) float64 {
	switch PhaseAt(elapsed, span) {
	case PhaseSettle:
		return 0
	case PhaseCanary:
		return FirstShare(bound)
	case PhaseRamp:
		part := (float64(elapsed)/float64(span) - rampFrom) / (fullFrom - rampFrom)
		// It grows slowly at first: a release that fails under load shows that on
		// the first endpoints that are filled.
		return FirstShare(bound) + (1-FirstShare(bound))*part*part
	}
	return 1
}

// FirstHalf reports whether sessions must stay on the old release.
func FirstHalf(elapsed, span clock.Millis) bool {
	return elapsed*2 < span
}

const (
	// spreadShare is the share of the endpoints reached that must have given bad
	// answers before a release is blamed: a few sick endpoints are no release.
	spreadShare = 0.33
	// leastSpread is how many endpoints that are at least, if there are so many.
	leastSpread = 2
)

// Spread reports whether bad answers come from so many of a release's endpoints
// that the release is at fault. answers is the number of answers of the release.
func Spread(bad, endpoints int, answers int64) bool {
	if endpoints <= 1 {
		return bad > 0
	}
	// So many answers reach so many endpoints, if they fall at random.
	reached := float64(endpoints) * (1 - math.Pow(1-1/float64(endpoints), float64(answers)))
	return bad >= leastSpread && float64(bad) >= spreadShare*reached
}

// JudgeSpans judges the new release by several spans of evidence, so that a
// release that turns bad late is not excused by what came before.
func JudgeSpans(from, to []evidence.Tally, prior float64) Verdict {
	for i := range to {
		if to[i].Bad >= minBad && Judge(from[i], to[i], prior) == VerdictStop {
			return VerdictStop
		}
	}
	return VerdictContinue
}
