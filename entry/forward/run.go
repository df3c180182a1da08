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
	warmingUp := now-r.state.FirstSeen < warmupSpan
	r.learnSpeed(now-r.sentAt, warmingUp)
	t.endpoints.PromptRead(r.state, t.request.PromptParts, r.model, r.prefillTokens)
	r.prefillTokens = 0
	t.delays.RecordRecent(t.route.Name, now-r.sentAt, now)
	r.usualDelay = t.delays.Expected(t.route.Name, r.model)
	judgement := t.delays.Judge(t.route, r.model, now-r.sentAt, r.response.Load, t.arm != ArmNew && !warmingUp)
	if judgement.MeanKnown && !r.slowReported() { // The mean ratio outlasts such a spell by far.
		t.endpoints.RecordLatency(r.state, judgement.Ratio)
	}
	r.delay = t.delayVerdict(judgement.Slow, judgement.Known, warmingUp)
	r.slow = r.delay == delaySlow
	t.lastAnswered = r
}

// slowReport is the reported slowdown from which a response is counted as one of a slow endpoint.
const slowReport = 1.5

// slowReported reports whether the endpoint said with the response that it is slow now.
func (r *run) slowReported() bool {
	return r.response.Load != nil && r.response.Load.Slowdown >= slowReport
}

// learnSpeed learns from a response that has started how fast engines read prompts. A plain
// response starts when it is complete, a resumed stream has read its own events too, a new
// release may be of another speed, and the speed of a model that the caller chose is unknown.
func (r *run) learnSpeed(delay clock.Millis, warmingUp bool) {
	t := r.task
	if r.slowReported() {
		t.deps.Scope.Counter("slow_reports").Inc(1)
	}
	if t.service.Engine == nil || r.model == "" || !t.route.Stream || r.response.Next == nil || t.lastEventID != "" || t.arm == ArmNew || warmingUp {
		return
	}
	rate, learned := t.endpoints.LearnSpeed(endpoints.StartedResponse{
		State: r.state, Service: t.service.Name, Model: r.model, Parts: t.request.PromptParts,
		RelativeCost: t.service.Engine.RelativeCost(r.model), PrefillTokens: r.prefillTokens, Delay: delay, Load: r.response.Load,
	})
	if learned {
		t.deps.Scope.Tagged(map[string]string{"service": string(t.service.Name)}).Gauge("read_rate").Update(rate)
	}
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
	rejected := r.response != nil && r.response.NotRun
	slotTime := r.task.endpoints.AttemptEnded(endpoints.EndedAttempt{
		State: r.state, Service: r.task.service.Name, SentAt: r.sentAt, PrefillTokens: r.prefillTokens, Packable: r.packable, Rejected: rejected,
		Tokens: r.task.request.tokens(), PromptTokens: r.promptTokens,
	})
	if r.response != nil && !rejected { // Without a response it is not known what the attempt occupied.
		r.task.slotTime += slotTime
	}
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
