package forward

import (
	"context"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// run is one attempt at an endpoint.
type run struct {
	task  *task
	state *placement.State
	// endpoint is the view's entry when the endpoint was chosen. state.Endpoint changes
	// with the view, guarded by the lock of endpoints.Tracker.
	endpoint *catalog.Endpoint
	response *Response
	model    ticket.ModelName
	sentAt   clock.Millis
	// prefillTokens is the weighted number of prompt tokens that the endpoint has yet
	// to read.
	prefillTokens float64
	// promptTokens is the weighted number of tokens of the whole prompt.
	promptTokens float64
	// packedEndpoints is the number of endpoints that are filled on purpose with requests
	// like this one, or 0.
	packedEndpoints int
	packable        bool
	ended           bool
	outcomeRecorded bool
	slow            bool
	// delay is the verdict on the response's delay, and usualDelay the usual one, or 0 if
	// it was not known.
	delay      delayVerdict
	usualDelay clock.Millis
	// paceCounted is true once the stream's pace was counted.
	paceCounted bool
	// headTimeout is the timeout for the response headers.
	headTimeout clock.Millis
	// dead is true if a probe during a timeout found the endpoint dead.
	dead bool
	// lastEventAt is when the last event arrived, or 0.
	lastEventAt clock.Millis
	// streamed is true once an event arrived.
	streamed bool
}

// recordHead records the arrival of the response headers.
func (r *run) recordHead() {
	t := r.task
	now := t.clock.Mono()
	t.endpoints.PromptRead(r.state, t.request.PromptParts, r.model, r.prefillTokens)
	r.prefillTokens = 0
	warmingUp := now-r.state.FirstSeen < warmupSpan
	r.usualDelay = t.delays.Expected(t.route.Name, r.model)
	judgement := t.delays.Judge(t.route, r.model, now-r.sentAt, r.response.Load, t.arm != ArmNew && !warmingUp)
	if judgement.MeanKnown {
		t.endpoints.RecordLatency(r.state, judgement.Ratio)
	}
	r.delay = t.delayVerdict(judgement.Slow, judgement.Known, warmingUp)
	r.slow = r.delay == delaySlow
	t.lastAnswered = r
}

// delayVerdict returns the verdict on a delay.
func (t *task) delayVerdict(slow, known, warmingUp bool) delayVerdict {
	switch {
	case !known:
		return delayUnknown
	case !slow:
		return delayUsual
	case warmingUp:
		return delayWarmup
	case t.route.Stream && t.pastCanary():
		return delayPastCanary
	}
	return delaySlow
}

// delayVerdict says how a response's time to the first byte was judged.
type delayVerdict string

// Verdicts on a delay. Only delaySlow counts against a release.
const (
	// delayUnknown means that the usual delay is not known yet.
	delayUnknown delayVerdict = "unknown"
	delayUsual   delayVerdict = "usual"
	delaySlow    delayVerdict = "slow"
	// delayWarmup means slow, at an endpoint that is new.
	delayWarmup delayVerdict = "slow-warmup"
	// delayPastCanary means a stream slow to begin, at the new release after the canary
	// phase.
	delayPastCanary delayVerdict = "slow-past-canary"
)

// warmupSpan is how long a new endpoint may be slow.
const warmupSpan = 4 * clock.Second

// finish removes the run from its endpoint's in-flight requests.
func (r *run) finish() {
	if r.ended {
		return
	}
	r.ended = true
	r.task.endpoints.AttemptEnded(endpoints.EndedAttempt{
		State: r.state, Service: r.task.service.Name, SentAt: r.sentAt, PrefillTokens: r.prefillTokens, PromptTokens: r.promptTokens, Packable: r.packable,
	})
	r.prefillTokens = 0
}

// close also ends the attempt at the endpoint.
func (r *run) close() {
	if r.response != nil {
		r.response.Close()
	}
	r.finish()
}

// probe checks whether an endpoint accepts connections; it returns "" or the kind of
// error.
func (t *task) probe(ctx context.Context, e *catalog.Endpoint) Kind {
	start := t.clock.Mono()
	err := t.deps.Sender.Probe(ctx, e)
	args := []any{"request", t.request.ID, "endpoint", e.ID, "alive", err == nil, "ms", int64(t.clock.Mono() - start)}
	if err == nil {
		t.logger.Info("probe", args...)
		return ""
	}
	kind := fault.KindOf[Kind](err)
	t.logger.Info("probe", append(args, "kind", kind, "error", err)...)
	return kind
}

// markUnreachable records that an endpoint could not be reached or timed out.
func (f *Forwarder) markUnreachable(s *placement.State, kind Kind) {
	c := endpoints.ContactLost
	switch kind {
	case KindNotSent:
		c = endpoints.ContactNone
	case KindRefused:
		c = endpoints.ContactRefused
	}
	f.endpoints.MarkUnreachable(s, c, string(kind))
}
