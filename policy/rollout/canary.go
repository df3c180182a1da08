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
	// PhaseCanary sends a small share of the sessions to the new release.
	PhaseCanary Phase = "canary"
	// PhaseFull sends all of them and watches.
	PhaseFull Phase = "full"
	// PhaseDone allows the order to be completed.
	PhaseDone Phase = "done"
)

const (
	// canaryPart is the share of the exposure bound that the canary uses; the
	// rest is for the full phase of a release that turns bad under load.
	canaryPart = 0.5
	// fullFrom is the part of an order's time after which all traffic moves.
	fullFrom = 0.70
	// doneFrom is the part after which the order is completed.
	doneFrom = 0.82
	// minBad is how many bad answers it takes to stop a release.
	minBad = 4
)

// PhaseAt returns the phase of an order at a time since its start.
func PhaseAt(elapsed, span clock.Millis) Phase {
	switch {
	case float64(elapsed) < fullFrom*float64(span):
		return PhaseCanary
	case float64(elapsed) < doneFrom*float64(span):
		return PhaseFull
	}
	return PhaseDone
}

// CanaryShare returns the share of sessions for the new release under an exposure bound.
func CanaryShare(phase Phase, bound float64) float64 {
	if phase == PhaseCanary {
		return canaryPart * bound
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
