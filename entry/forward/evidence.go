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

// moving reports whether traffic moves to the request's new release: its
// endpoints then bear more than others do, and read prompts that none has kept,
// so their time to the first byte says little.
func (t *task) moving() bool {
	return t.arm == ArmNew && t.progress != nil && t.progress.phase != rollout.PhaseCanary
}

// rate counts the run for its endpoint and, during an order, for its release.
func (r *run) rate(failed bool) {
	if r.rated {
		return
	}
	r.rated = true
	t := r.task
	t.endpoints.rate(r.state, t.route, t.service.Name, failed)
	if r.answer != nil { // A channel that broke says more of the endpoint than of its release.
		r.count(t.route.Name, !failed && !r.slow)
		if r.answer.Load.High() || t.arm == ArmOld {
			r.count(HighLoadRoute, !failed)
		}
	}
}

// count adds an answer to the evidence of an order under way.
func (r *run) count(route catalog.RouteName, good bool) {
	p := r.task.progress
	if p == nil || p.outcome != registry.OutcomeRunning {
		return
	}
	arm := evidence.ArmFrom
	if r.endpoint.Release == p.order.Target {
		arm = evidence.ArmTo
	}
	series := Series(p.order, route, arm)
	r.task.parts.Relay.RecordRating(series, good)
	if !good && arm == evidence.ArmTo {
		series.Endpoint = string(r.endpoint.ID)
		r.task.parts.Relay.RecordRating(series, false)
	}
}

// slowStream reports whether a stream is slow for the model.
func (t *task) slowStream(r *run, span clock.Millis, events int) bool {
	if t.moving() {
		return t.slowMoved(r, span, events)
	}
	return events >= paceEvents && t.endpoints.slowPace(r.key.model, span, events, paceFactor)
}

// slowMoved reports whether a stream is slow even for an endpoint under high load.
func (t *task) slowMoved(r *run, span clock.Millis, events int) bool {
	// Fewer events that took as long as so many may take say the same, sooner.
	return t.endpoints.slowPace(r.key.model, span, max(events, compareEvents), movedFactor)
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
	CanaryPaceGoodShare = 1 - slowPart
	// PostCanaryPaceGoodShare is the least share of a good release's streams that are good by
	// MovedRoute: under high load some are slow for the prompts read beside them.
	PostCanaryPaceGoodShare = 0.8
)

const (
	// compareEvents is how many events show a stream's pace.
	compareEvents = 6
	// leastEvents is how many show it beside others under like load: short answers
	// end before a third event, and a canary has few others.
	leastEvents = 2
)

// comparePace counts a stream's pace against that of the old release, once. It
// is called when a stream has compareEvents events, is slow, or ends.
func (t *task) comparePace(r *run, span clock.Millis, events int) {
	if r.compared || events < leastEvents || t.moving() && events < paceEvents {
		return
	}
	r.compared = true
	if t.moving() {
		r.count(PostCanaryPaceRoute, !t.slowMoved(r, span, events))
		return
	}
	if slower, known := t.endpoints.comparePace(r.state, r.key.model, span, events, t.arm != ArmNew); known {
		r.count(CanaryPaceRoute, !slower)
	}
}
