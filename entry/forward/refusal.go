package forward

import (
	"context"
	"errors"
	"net/http"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

// noEndpoint returns the result of a request for which there is no endpoint.
func (t *task) noEndpoint(ctx context.Context, choice placement.Choice) Result {
	if ctx.Err() != nil {
		return t.canceled(ctx)
	}
	outOfTime := choice.Reason == routing.Reason(ReasonDeadlinePassed)
	t.logger.Info("no-endpoint", "request", t.request.ID, "reason", choice.Reason, "considered", choice.Considered,
		"verdicts", choice.Rejections.String(), "free", choice.FreeSlots, "slots", choice.Slots, "waiting", choice.Waiting, "runs", t.runs,
		"begun", t.headSent, "release", t.boundRelease, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
	switch {
	case choice.Reason == reasonQuarantined && t.headSent:
		return Result{Reason: ReasonQuarantined, Abort: true}
	case choice.Reason == reasonQuarantined:
		return localReply(http.StatusBadGateway, ReasonQuarantined, 0)
	case t.headSent:
		return t.abort()
	case t.mayHaveRun && outOfTime:
		return localReply(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0)
	case t.mayHaveRun:
		return localReply(http.StatusBadGateway, ReasonOutcomeUnknown, 0)
	case outOfTime:
		return localReply(http.StatusServiceUnavailable, ReasonDeadlinePassed, fairshare.MinReturn)
	case choice.Reason == routing.ReasonFull:
		return localReply(http.StatusServiceUnavailable, ReasonEndpointsFull, t.estimateRetryAfter(choice))
	}
	return localReply(http.StatusServiceUnavailable, ReasonNoEndpoint, t.estimateRetryAfter(choice))
}

// ShutdownRetryAfter is the Retry-After of a request that is refused because the instance
// shuts down. Others can serve it at once.
const ShutdownRetryAfter = 50 * clock.Millis(1)

// estimateRetryAfter estimates when an endpoint will have room for a request that found none.
func (t *task) estimateRetryAfter(choice placement.Choice) clock.Millis {
	now := t.clock.Mono()
	if choice.Slots == 0 && choice.HeldOffUntil > 0 {
		return max(fairshare.MinReturn, min(choice.HeldOffUntil-now, fairshare.LongestReturn(t.deadline-now)))
	}
	if choice.Slots == 0 {
		return min(clock.Second, fairshare.LongestReturn(t.deadline-now))
	}
	return t.returnTime()
}

// callerDisconnected returns the result of a request whose caller disconnected.
func (t *task) callerDisconnected() Result {
	return Result{Reason: ReasonCallerGone, LocalReply: true, Abort: t.headSent}
}

// canceled returns the result of a request whose context is done: the caller disconnected, or
// the instance shuts down and still owes the caller a response.
func (t *task) canceled(ctx context.Context) Result {
	switch {
	case !errors.Is(context.Cause(ctx), ErrShutdown):
		return t.callerDisconnected()
	case t.headSent:
		return Result{Reason: ReasonShutdown, Abort: true}
	case t.mayHaveRun:
		return localReply(http.StatusBadGateway, ReasonShutdown, 0)
	}
	return localReply(http.StatusServiceUnavailable, ReasonShutdown, ShutdownRetryAfter)
}

// abort returns the result of a started response that cannot be completed.
func (t *task) abort() Result {
	if t.outOfTime() {
		return Result{Reason: ReasonDeadlinePassed, Abort: true}
	}
	return Result{Reason: ReasonStreamCut, Abort: true}
}
