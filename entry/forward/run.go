package forward

import (
	"context"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
)

// run is one attempt that reached an endpoint.
type run struct {
	task  *task
	state *placement.State
	// endpoint is what the view said of the state's endpoint when it was chosen; the
	// state itself follows the view, under the endpoints' lock.
	endpoint *catalog.Endpoint
	answer   *Response
	key      delayKey
	sentAt   clock.Millis
	// reading is the weighed tokens that the endpoint has yet to read.
	reading float64
	ended   bool
	rated   bool
	slow    bool
	// compared is true once the stream's pace was counted.
	compared bool
	// patience is the wait for the answer's head.
	patience clock.Millis
	// dead is true if the endpoint was found dead in a silence.
	dead bool
	// eventAt is when the last event came, or 0.
	eventAt clock.Millis
}

// first notes the answer's head.
func (r *run) first() {
	t := r.task
	now := t.clock.Mono()
	t.endpoints.begun(r.state, t.request.PromptParts, r.key.model, &r.reading)
	fresh := now-r.state.FirstSeen < settleSpan
	slow := t.endpoints.delay(r.state, r.key, now-r.sentAt, t.arm != ArmNew && !fresh)
	r.slow = slow && !fresh && !t.moving()
}

// settleSpan is how long a new endpoint may be slow.
const settleSpan = 4 * clock.Second

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

// probe asks whether an endpoint accepts channels; it returns "" or why it does not.
func (t *task) probe(ctx context.Context, e *catalog.Endpoint) Kind {
	began := t.clock.Mono()
	err := t.parts.Sender.Probe(ctx, e)
	args := []any{"request", t.request.ID, "endpoint", e.ID, "alive", err == nil, "ms", int64(t.clock.Mono() - began)}
	if err == nil {
		t.logger.Info("probe", args...)
		return ""
	}
	kind := fault.KindOf[Kind](err)
	t.logger.Info("probe", append(args, "kind", kind, "error", err)...)
	return kind
}
