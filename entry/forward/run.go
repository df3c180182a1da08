package forward

import (
	"sync/atomic"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// run is one attempt that reached an endpoint.
type run struct {
	task   *task
	state  *placement.State
	answer *Answer
	key    delayKey
	sentAt clock.Millis
	// reading is the weighed tokens that the endpoint has yet to read.
	reading float64
	ended   bool
	rated   bool
	slow    bool
	// patience is the wait for the answer's head.
	patience clock.Millis
	// eventAt is when the last event came; the sender's timer reads it too.
	eventAt atomic.Int64
}

// first notes the answer's head.
func (r *run) first() {
	t := r.task
	now := t.clock.Mono()
	t.endpoints.begun(r.state, t.request.Parts, r.key.model, &r.reading)
	fresh := now-r.state.Since < settleSpan
	r.slow = t.endpoints.delay(r.state, r.key, now-r.sentAt, t.arm != ArmNew && !fresh) && !fresh
}

// settleSpan is how long a new endpoint may be slow.
const settleSpan = 4 * clock.Second

// rate counts the run for its endpoint and, during an order, for its release.
func (r *run) rate(failed bool) {
	if r.rated {
		return
	}
	r.rated = true
	t := r.task
	t.endpoints.rate(r.state, t.service.Name, failed)
	if t.progress == nil || t.progress.outcome != registry.OutcomeRunning || r.answer == nil {
		return // A channel that broke says more of the endpoint than of its release.
	}
	arm := evidence.ArmFrom
	if r.state.Endpoint.Release == t.progress.order.Target {
		arm = evidence.ArmTo
	}
	series := Series(t.progress.order, t.route.Name, arm)
	good := !failed && !r.slow
	t.parts.Relay.Rate(series, good)
	if !good && arm == evidence.ArmTo {
		series.Endpoint = string(r.state.Endpoint.ID)
		t.parts.Relay.Rate(series, false)
	}
}

// paceFactor is how many times its usual pace a stream may take.
func (t *task) paceFactor() float64 {
	if t.progress != nil && t.progress.phase != rollout.PhaseCanary {
		return movedFactor
	}
	return paceFactor
}

// Series names the evidence on one arm of an order for one route.
func Series(order *catalog.Order, route catalog.RouteName, arm evidence.Arm) evidence.Series {
	s := evidence.RolloutSeries(ticket.RolloutName(order.Service), ticket.Number(order.Number), arm)
	s.Class = ticket.Class(route)
	return s
}

// end takes the run off its endpoint.
func (r *run) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.task.endpoints.ended(r.state, &r.reading)
}

// close ends the attempt at the endpoint too.
func (r *run) close() {
	if r.answer != nil {
		r.answer.Close()
	}
	r.end()
}
