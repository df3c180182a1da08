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
	response *Response
	key      delayKey
	sentAt   clock.Millis
	// unreadTokens is the weighed tokens that the endpoint has yet to read.
	unreadTokens    float64
	ended           bool
	outcomeRecorded bool
	slow            bool
	// paceCounted is true once the stream's pace was counted.
	paceCounted bool
	// headTimeout is the wait for the answer's head.
	headTimeout clock.Millis
	// dead is true if the endpoint was found dead in a silence.
	dead bool
	// lastEventAt is when the last event came, or 0.
	lastEventAt clock.Millis
}

// recordHead notes the answer's head.
func (r *run) recordHead() {
	t := r.task
	now := t.clock.Mono()
	t.endpoints.promptRead(r.state, t.request.PromptParts, r.key.model, &r.unreadTokens)
	warmingUp := now-r.state.Since < warmupSpan
	slow := t.endpoints.recordDelay(r.state, r.key, now-r.sentAt, t.arm != ArmNew && !warmingUp)
	r.slow = slow && !warmingUp && !t.pastCanary()
}

// warmupSpan is how long a new endpoint may be slow.
const warmupSpan = 4 * clock.Second

// finish takes the run off its endpoint.
func (r *run) finish() {
	if r.ended {
		return
	}
	r.ended = true
	r.task.endpoints.requestEnded(r.state, &r.unreadTokens)
}

// close ends the attempt at the endpoint too.
func (r *run) close() {
	if r.response != nil {
		r.response.Close()
	}
	r.finish()
}

// probe asks whether an endpoint accepts channels; it returns "" or why it does not.
func (t *task) probe(ctx context.Context, e *catalog.Endpoint) Kind {
	start := t.clock.Mono()
	err := t.parts.Sender.Probe(ctx, e)
	args := []any{"request", t.request.ID, "endpoint", e.ID, "alive", err == nil, "ms", int64(t.clock.Mono() - start)}
	if err == nil {
		t.logger.Info("probe", args...)
		return ""
	}
	kind := fault.KindOf[Kind](err)
	t.logger.Info("probe", append(args, "kind", kind, "error", err)...)
	return kind
}
