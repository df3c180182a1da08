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
	// PhaseLoad sends a large share of them, to as few endpoints as can bear them:
	// a release that fails under load does so there.
	PhaseLoad Phase = "load"
	// PhaseFull sends all of them, to as few endpoints still: on a calm deployment a
	// large share fills none.
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
	canaryPart = 0.27
	// loadFrom is the part of an order's time after which a few endpoints are filled,
	// and loadShare the share of the sessions that they get: half of an endpoint's
	// slots run at once on the users' deployments on calm days.
	loadFrom  = 0.60
	loadShare = 0.5
	// fullFrom is the part after which all traffic has moved.
	fullFrom = 0.75
	// doneFrom is the part after which the order is completed.
	doneFrom = 0.85
	// waitUntil is the part until which that waits for the requests that the old
	// release still runs; the rest is left to write the outcome to a store that is slow.
	waitUntil = 0.90
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
	case part >= loadFrom:
		return PhaseLoad
	case elapsed < settleSpan:
		return PhaseSettle
	}
	return PhaseCanary
}

// MayWaitForDrain reports whether an order that is done may wait for the old release's requests.
func MayWaitForDrain(elapsed, span clock.Millis) bool {
	return float64(elapsed) < waitUntil*float64(span)
}

// PacksEndpoints reports whether requests go to as few endpoints as can bear them.
func (p Phase) PacksEndpoints() bool {
	return p == PhaseLoad || p == PhaseFull
}

// CanaryShare returns the share of sessions for the new release when its canary begins.
func CanaryShare(bound float64) float64 {
	return canaryPart * bound
}

// Share returns the share of sessions for the new release under an exposure
// bound. It never falls, so that no session goes back.
func Share(elapsed, span clock.Millis, bound float64) float64 {
	switch PhaseAt(elapsed, span) {
	case PhaseSettle:
		return 0
	case PhaseCanary:
		return CanaryShare(bound)
	case PhaseLoad:
		return loadShare
	}
	return 1
}

// SessionsPinned reports whether sessions must stay on the old release.
func SessionsPinned(elapsed, span clock.Millis) bool {
	return elapsed*2 < span
}

const (
	// spreadShare is the share of the endpoints reached that must have given bad
	// answers before a release is blamed: a few sick endpoints are no release.
	spreadShare = 0.33
	// sickPart is the part of a release's endpoints that may be sick at once: a fifth
	// on the users' days, and some. Few answers may meet just those, as half of the
	// others are down, so bad answers must come from more endpoints.
	sickPart = 0.25
	// leastSpread and enoughSpread bound how many endpoints that takes; by the latter,
	// spreadShare tells a release from so many sick endpoints.
	leastSpread  = 2
	enoughSpread = 15
)

// EvidenceWindow is the evidence on one route over a part of an order's time.
type EvidenceWindow struct {
	From, To evidence.Tally
	// BadEndpoints counts the new release's endpoints that gave bad answers.
	BadEndpoints int
	// ReachedEndpoints counts those that had requests.
	ReachedEndpoints int
}

// spread reports whether bad answers come from so many endpoints that the
// release is at fault.
func (s EvidenceWindow) spread() bool {
	if s.ReachedEndpoints <= 1 {
		return s.BadEndpoints > 0
	}
	// So many answers reach so many endpoints, if they fall at random.
	n := float64(s.ReachedEndpoints)
	reached := n * (1 - math.Pow(1-1/n, float64(s.To.Rated())))
	least := min(max(leastSpread, 1+int(sickPart*n)), enoughSpread)
	return s.BadEndpoints >= least && float64(s.BadEndpoints) >= spreadShare*reached
}

// VerdictEndpoints means that the new release does worse at a few endpoints only.
const VerdictEndpoints Verdict = "endpoints"

// EvaluateWindows judges the new release by several spans of an order's time, so that
// a release that turns bad late is not excused by what came before. It returns
// the span that decided, too.
func EvaluateWindows(spans []EvidenceWindow, prior float64) (Verdict, EvidenceWindow) {
	verdict, decisive := VerdictContinue, EvidenceWindow{}
	for _, s := range spans {
		if s.To.Bad < minBad || Evaluate(s.From, s.To, prior) != VerdictStop {
			continue
		}
		if s.spread() {
			return VerdictStop, s
		}
		verdict, decisive = VerdictEndpoints, s
	}
	return verdict, decisive
}
