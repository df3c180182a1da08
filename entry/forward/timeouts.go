package forward

import (
	"context"

	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// newAttempt returns the attempt to send for a run, with its timeouts.
func (t *task) newAttempt(ctx context.Context, r *run) *Attempt {
	remaining := t.deadline - t.clock.Mono()
	a := &Attempt{
		Request: t.request, Endpoint: r.endpoint, Workspace: t.workspace, Rank: t.rank, Model: t.model,
		Remaining: remaining, HeadTimeout: remaining, LastEventID: t.lastEventID, WeightsVersion: t.weightsVersion, Stream: t.route.Stream,
		EventTimeout: t.eventTimeout(), AtMostOnce: !t.retryable(),
	}
	if t.retryable() && (t.headSent || t.sends <= t.route.Attempts-1) {
		a.HeadTimeout = min(remaining, t.headTimeout())
	}
	r.headTimeout = a.HeadTimeout
	a.StillWanted = func() bool { return t.stillWanted(r) }
	a.Notify = func(notice Notice) { t.notify(r.state, notice) }
	a.KeepWaiting = func() bool { return r.keepWaiting(ctx) }
	return a
}

// keepWaiting decides whether to wait longer after a timeout. An engine that responds
// to other requests is busy with long prompts, not dead. If no other endpoint has room,
// abandoning the attempt or ending the response gains nothing while the endpoint is
// alive.
func (r *run) keepWaiting(ctx context.Context) bool {
	t := r.task
	outcome := attempt.Outcome{Sent: attempt.SentSome}
	denied, wasDead := t.retryDenial(&outcome), r.dead
	r.dead = false
	// A started stream that has used its attempts may still leave an endpoint that
	// died.
	lastAttempt := t.headSent && denied == DenialAttempts
	if !t.retryable() || denied != "" && !lastAttempt || !t.endpoints.HasRetry(t.service.Name) {
		return true
	}
	now := t.clock.Mono()
	since, timeout, limit := r.sentAt, r.headTimeout, t.maxHeadWait(r.headTimeout)
	if r.lastEventAt > 0 {
		since, timeout, limit = r.lastEventAt, t.eventTimeout(), clock.Millis(maxStreamGaps*float64(t.route.GapGoal))
	}
	quiet, keepWaiting := now-t.endpoints.LastActivity(r.state), false
	if now-since < limit || !t.mayAbandon(now-since) || !t.alternativeAvailable(ctx) {
		// A draining endpoint refuses new connections and finishes its in-flight
		// requests, so only KindNotSent counts as dead: if just its process had ended,
		// the host would have closed this connection as well.
		r.dead = quiet >= timeout && t.probe(ctx, r.endpoint) == KindNotSent
		keepWaiting = !r.dead || lastAttempt && !wasDead // A single lost probe must not end the last attempt.
	}
	if !keepWaiting {
		t.logger.Info("silence", "request", t.request.ID, "endpoint", r.endpoint.ID, "quiet-ms", int64(now-since),
			"limit-ms", int64(limit), "heard-ms", int64(quiet), "patience-ms", int64(timeout), "begun", t.headSent, "dead", r.dead)
	}
	return keepWaiting
}

// mayAbandon reports whether the request may leave an endpoint that is alive and has
// been silent for the given time. A started stream reserves its last attempt for an
// endpoint that dies, up to lastAttemptGaps.
func (t *task) mayAbandon(silence clock.Millis) bool {
	if !t.headSent || t.runs+1 < t.route.Attempts {
		return true
	}
	return t.runs < t.route.Attempts && silence >= clock.Millis(lastAttemptGaps*float64(t.route.GapGoal))
}

// alternativeAvailable reports whether another endpoint has room for the request and
// accepts connections. The probe is needed because the view may list a draining
// endpoint as available for a while.
func (t *task) alternativeAvailable(ctx context.Context) bool {
	q, next := t.placementQuery()
	choice := t.endpoints.Peek(next.view, t.service, q)
	if choice.State == nil {
		return false
	}
	kind := t.probe(ctx, choice.Endpoint)
	if kind != "" && ctx.Err() == nil {
		t.markUnreachable(choice.State, kind)
	}
	return kind == ""
}

const (
	// busyReadRate is the number of prompt tokens that a busy engine is assumed to read
	// per millisecond. What is learned about the model scales it.
	busyReadRate = 8.0
	// maxHeadGoals and maxHeadDelayFactor bound the wait for response headers at an
	// engine that responds to other requests, as multiples of the route's goal and of
	// the usual delay. Beyond that the response is more likely lost than late.
	maxHeadGoals       = 1.3
	maxHeadDelayFactor = 5.0
)

// busyReadTime is how long a busy engine takes to read the request's prompt.
func (t *task) busyReadTime() clock.Millis {
	rate := busyReadRate * t.endpoints.ReadScale(t.service.Name, t.model)
	return clock.Millis(float64(placement.Tokens(t.request.PromptParts)) / rate)
}

// maxHeadWait is the longest wait for response headers while another endpoint has room
// and this one is alive.
func (t *task) maxHeadWait(timeout clock.Millis) clock.Millis {
	if t.service.Engine == nil {
		return timeout
	}
	limit := clock.Millis(maxHeadGoals*float64(t.route.FirstByteGoal)) + t.busyReadTime()
	if usualDelay := float64(t.delays.Expected(t.route.Name, t.model)); usualDelay > 0 {
		limit = min(limit, clock.Millis(maxHeadDelayFactor*usualDelay*max(1, t.relativeReadTime())))
	}
	return max(timeout, limit)
}

const (
	// headTimeoutGoals is how many goals response headers may take before a retryable
	// request is sent to another endpoint.
	headTimeoutGoals = 0.4
	// plainHeadTimeoutGoals is the same for plain requests, whose goal is short.
	plainHeadTimeoutGoals = 2.5
	// These are multiples of the route's gap goal, the longest acceptable pause. After
	// eventTimeoutGoals a stream leaves an engine that is silent altogether; after
	// maxStreamGaps, one that responds to other requests; after lastAttemptGaps, such
	// an engine with its last attempt. Callers give up after eight.
	eventTimeoutGoals = 0.45
	maxStreamGaps     = 1.6
	lastAttemptGaps   = 6.0
)

// headTimeout is how long a retryable request first waits for response headers.
func (t *task) headTimeout() clock.Millis {
	goals := plainHeadTimeoutGoals
	if t.route.Stream {
		goals = headTimeoutGoals
	}
	usualDelay := t.delays.Expected(t.route.Name, t.model)
	return max(clock.Millis(goals*float64(t.route.FirstByteGoal)), 4*usualDelay)
}

// eventTimeout is how long a stream first waits for an event.
func (t *task) eventTimeout() clock.Millis {
	if t.route.GapGoal == 0 || !t.route.Resumable {
		return t.route.Timeout
	}
	return clock.Millis(eventTimeoutGoals * float64(t.route.GapGoal))
}
