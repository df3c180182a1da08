package forward

import (
	"strings"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// Series returns the key of the evidence on one route for one arm of an order.
func Series(order *catalog.Order, route catalog.RouteName, arm evidence.Arm) evidence.Series {
	s := evidence.RolloutSeries(ticket.RolloutName(order.Service), ticket.Number(order.Number), arm)
	s.Class = ticket.Class(route)
	return s
}

// pastCanary reports whether the request goes to the new release and the canary phase
// is over. The new release's endpoints then carry more load than others and read
// prompts that none of them has cached, so the time to a stream's first byte says little.
func (t *task) pastCanary() bool {
	return t.arm == ArmNew && t.progress != nil && t.progress.phaseOn(t.route.Name) != rollout.PhaseCanary
}

// recordOutcome counts the run, once, for its endpoint and, during an order, for its
// release.
func (r *run) recordOutcome(failed bool) {
	if r.outcomeRecorded {
		return
	}
	r.outcomeRecorded = true
	t := r.task
	t.endpoints.RecordOutcome(r.state, t.route.Name, t.service.Name, failed)
	if r.response != nil { // A broken connection says more about the endpoint than about its release.
		r.countEvidence(t.route.Name, !failed && !(r.slow && t.route.Stream))
		if !t.route.Stream && (r.delay == delayUsual || r.delay == delaySlow) {
			r.countEvidence(DelayOn(t.route.Name), r.delay == delayUsual)
		}
		if r.response.Load.High() || t.arm == ArmOld {
			r.countEvidence(HighLoadRoute, !failed)
		}
		if failed || !r.streamed {
			r.countBeforeLoad(!failed)
		}
	}
}

// countEvidence adds a response to the evidence for an order that is running.
func (r *run) countEvidence(route catalog.RouteName, good bool) {
	p := r.task.progress
	if p == nil || p.outcome != registry.OutcomeRunning {
		return
	}
	arm := evidence.ArmFrom
	if r.endpoint.Release == p.order.Target {
		arm = evidence.ArmTo
	}
	r.task.deps.Relay.RecordRating(Series(p.order, route, arm), good)
	if !good && arm == evidence.ArmTo {
		r.countAtEndpoint(route, false)
	}
}

// countBeforeLoad adds a response to the evidence on an endpoint that is filled on purpose but
// not under high load yet. A stream is counted with its first event: its end may come after
// the verdict on the release is due.
func (r *run) countBeforeLoad(good bool) {
	if r.packedEndpoints > 0 && r.packedEndpoints <= rollout.MaxComparedAlone && !r.response.Load.High() {
		r.countAtEndpoint(BeforeLoadRoute, good)
	}
}

// countAtEndpoint adds a response of the new release to the evidence on its endpoint.
func (r *run) countAtEndpoint(route catalog.RouteName, good bool) {
	p := r.task.progress
	if p == nil || p.outcome != registry.OutcomeRunning {
		return
	}
	series := Series(p.order, route, evidence.ArmTo)
	series.Endpoint = string(r.endpoint.ID)
	r.task.deps.Relay.RecordRating(series, good)
}

// crowded reports whether the run's endpoint is filled with the requests of a whole route on
// the largest model. The pace of its streams says nothing about the release.
func (r *run) crowded() bool {
	return r.packedEndpoints > 0 && r.task.progress.schedule.LightLoad != nil
}

// isSlowStream reports whether a stream is slow for its model.
func (t *task) isSlowStream(r *run, elapsed clock.Millis, events int) bool {
	if r.crowded() {
		return false
	}
	if t.pastCanary() {
		return t.isSlowPastCanary(r, elapsed, events)
	}
	return events >= minPaceEvents && t.paces.IsSlow(r.model, elapsed, events, endpoints.SlowPaceFactor)
}

// isSlowPastCanary reports whether a stream is slow even for an endpoint under high
// load.
func (t *task) isSlowPastCanary(r *run, elapsed clock.Millis, events int) bool {
	// If the first events alone take longer than paceSampleEvents events may, the
	// stream is slow already.
	return t.paces.IsSlow(r.model, elapsed, max(events, paceSampleEvents), pastCanaryPaceFactor)
}

// Pseudo-routes for further evidence on a release.
const (
	// HighLoadRoute collects the responses on all routes from those of the new
	// release's endpoints that report a high load, against all of the old release's. A
	// response is bad only if it failed.
	HighLoadRoute catalog.RouteName = "*load"
	// BeforeLoadRoute collects the responses of the endpoints that are filled on purpose until
	// they report a high load, by endpoint. It is kept only if few endpoints are filled, and
	// tells one that is broken from a release that fails under load.
	BeforeLoadRoute catalog.RouteName = "*before-load"
	// CanaryPaceRoute collects the pace of streams during the canary phase. A stream is
	// bad if it is slow compared with the old release's under a similar load.
	CanaryPaceRoute catalog.RouteName = "*pace"
	// PostCanaryPaceRoute collects the pace of streams after the canary phase. A stream
	// is bad if it is slow even for an endpoint under high load.
	PostCanaryPaceRoute catalog.RouteName = "*moved-pace"
	// DelayRoute stands for the delay of plain responses on all routes; see DelayOn.
	DelayRoute catalog.RouteName = "*delay"
)

// DelayOn returns the pseudo-route that collects the delay of plain responses on one route.
// It is kept apart from other routes, whose responses may be too short to show a slow
// release.
func DelayOn(route catalog.RouteName) catalog.RouteName {
	return DelayRoute + "/" + route
}

// IsDelay reports whether a pseudo-route is DelayRoute or one returned by DelayOn.
func IsDelay(route catalog.RouteName) bool {
	return strings.HasPrefix(string(route), string(DelayRoute))
}

const (
	// CanaryPaceGoodShare is the share of the old release's streams assumed to be good
	// on CanaryPaceRoute.
	CanaryPaceGoodShare = 1 - endpoints.SlowPaceShare
	// PostCanaryPaceGoodShare is the smallest share of good streams on
	// PostCanaryPaceRoute for a good release. Under high load some streams are slow
	// because prompts are read concurrently.
	PostCanaryPaceGoodShare = 0.8
	// DelayGoodShare is the share of plain responses assumed not to be slow before any of
	// the old release's is judged: lost packets and endpoints that are slow for other
	// reasons slow some.
	DelayGoodShare = 0.85
)

const (
	// minPaceEvents is how many events it takes to judge whether a stream is slow.
	minPaceEvents = 3
	// pastCanaryPaceFactor replaces endpoints.SlowPaceFactor after the canary phase, when the new
	// endpoints take a high load without cached prompts.
	pastCanaryPaceFactor = 4.0
	// paceSampleEvents is how many events it takes to measure a stream's pace.
	paceSampleEvents = 6
	// minComparedEvents is how many it takes to compare a stream with others under a
	// similar load. Short responses end before a third event, and a canary has few
	// others.
	minComparedEvents = 2
)

// countPace counts a stream's pace as evidence, once. It is called when a stream has
// paceSampleEvents events, is slow, or ends.
func (t *task) countPace(r *run, elapsed clock.Millis, events int) {
	if r.paceCounted || r.crowded() || events < minComparedEvents || t.pastCanary() && events < minPaceEvents {
		return
	}
	r.paceCounted = true
	if t.pastCanary() {
		r.countEvidence(PostCanaryPaceRoute, !t.isSlowPastCanary(r, elapsed, events))
		return
	}
	if slower, known := t.paces.Compare(r.model, elapsed, events, t.endpoints.InFlightAt(r.state), t.arm != ArmNew); known {
		r.countEvidence(CanaryPaceRoute, !slower)
	}
}
