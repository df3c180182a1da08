package forward

import (
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// Series names the evidence on one arm of an order for one route.
func Series(order *catalog.Order, route catalog.RouteName, arm evidence.Arm) evidence.Series {
	s := evidence.RolloutSeries(ticket.RolloutName(order.Service), ticket.Number(order.Number), arm)
	s.Class = ticket.Class(route)
	return s
}

// pastCanary reports whether traffic moves to the request's new release: its
// endpoints then bear more than others do, and read prompts that none has kept,
// so their time to the first byte says little.
func (t *task) pastCanary() bool {
	return t.arm == ArmNew && t.progress != nil && t.progress.phase != rollout.PhaseCanary
}

// recordOutcome counts the run for its endpoint and, during an order, for its release.
func (r *run) recordOutcome(failed bool) {
	if r.outcomeRecorded {
		return
	}
	r.outcomeRecorded = true
	t := r.task
	t.endpoints.recordOutcome(r.state, t.route, t.service.Name, failed)
	if r.response != nil { // A channel that broke says more of the endpoint than of its release.
		r.countEvidence(t.route.Name, !failed && !r.slow)
		if r.response.Load.High() || t.arm == ArmOld {
			r.countEvidence(HighLoadRoute, !failed)
		}
	}
}

// countEvidence adds an answer to the evidence of an order under way.
func (r *run) countEvidence(route catalog.RouteName, good bool) {
	p := r.task.progress
	if p == nil || p.outcome != registry.OutcomeRunning {
		return
	}
	arm := evidence.ArmFrom
	if r.endpoint.Release == p.order.Target {
		arm = evidence.ArmTo
	}
	series := Series(p.order, route, arm)
	r.task.parts.Relay.Rate(series, good)
	if !good && arm == evidence.ArmTo {
		series.Endpoint = string(r.endpoint.ID)
		r.task.parts.Relay.Rate(series, false)
	}
}

// isSlowStream reports whether a stream is slow for the model.
func (t *task) isSlowStream(r *run, elapsed clock.Millis, events int) bool {
	if t.pastCanary() {
		return t.isSlowPastCanary(r, elapsed, events)
	}
	return events >= minPaceEvents && t.endpoints.isSlowPace(r.key.model, elapsed, events, slowPaceFactor)
}

// isSlowPastCanary reports whether a stream is slow even for an endpoint under high load.
func (t *task) isSlowPastCanary(r *run, elapsed clock.Millis, events int) bool {
	// Fewer events that took as long as so many may take say the same, sooner.
	return t.endpoints.isSlowPace(r.key.model, elapsed, max(events, paceSampleEvents), pastCanaryPaceFactor)
}

// Names that stand beside routes for further evidence on a release.
const (
	// HighLoadRoute stands for the answers of all routes from the new release's
	// endpoints that are under high load by their own word; one is bad only if it failed.
	HighLoadRoute catalog.RouteName = "*load"
	// CanaryPaceRoute stands for the pace of streams while the canary runs: one is bad if
	// it is slow beside the old release's under like load.
	CanaryPaceRoute catalog.RouteName = "*pace"
	// PostCanaryPaceRoute stands for their pace while traffic moves: one is bad if it is slow
	// even for an endpoint under high load.
	PostCanaryPaceRoute catalog.RouteName = "*moved-pace"
)

const (
	// CanaryPaceGoodShare is the share of the old release's streams taken to be good by PaceRoute.
	CanaryPaceGoodShare = 1 - slowShare
	// PostCanaryPaceGoodShare is the least share of a good release's streams that are good by
	// MovedRoute: under high load some are slow for the prompts read beside them.
	PostCanaryPaceGoodShare = 0.8
)

const (
	// paceSampleEvents is how many events show a stream's pace.
	paceSampleEvents = 6
	// minComparedEvents is how many show it beside others under like load: short answers
	// end before a third event, and a canary has few others.
	minComparedEvents = 2
)

// countPace counts a stream's pace against that of the old release, once. It
// is called when a stream has compareEvents events, is slow, or ends.
func (t *task) countPace(r *run, elapsed clock.Millis, events int) {
	if r.paceCounted || events < minComparedEvents || t.pastCanary() && events < minPaceEvents {
		return
	}
	r.paceCounted = true
	if t.pastCanary() {
		r.countEvidence(PostCanaryPaceRoute, !t.isSlowPastCanary(r, elapsed, events))
		return
	}
	if slower, known := t.endpoints.comparePace(r.state, r.key.model, elapsed, events, t.arm != ArmNew); known {
		r.countEvidence(CanaryPaceRoute, !slower)
	}
}
