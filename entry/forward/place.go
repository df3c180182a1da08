package forward

import (
	"context"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

const (
	// minResumeBackoff is the first wait of a started stream that has no endpoint. It
	// doubles up to maxResumeBackoff, as attempts that endpoints reject count against
	// the retry budget.
	minResumeBackoff = 50 * clock.Millis(1)
	maxResumeBackoff = 400 * clock.Millis(1)
)

// reasonRetryBudget means that this instance's part of the fleet's retry budget is used
// up.
const reasonRetryBudget routing.Reason = "budget"

// nextEndpoint finds an endpoint for the next attempt. A started stream waits for an
// endpoint, and for the retry budget, until its deadline: the caller would lose the
// partial response if it was aborted, and endpoints fill up, drain and come back within
// that time. It does not wait for a release that a finished order has removed, as those
// endpoints never come back.
func (t *task) nextEndpoint(ctx context.Context) placement.Choice {
	if t.reserved != nil {
		choice := *t.reserved
		t.reserved = nil
		return choice
	}
	// A stream that was rejected as often as any request may be backs off before each
	// further attempt.
	backOffFirst := t.headSent && t.rejections >= t.route.Attempts+extraSends
	for waited := clock.Millis(0); ; waited += t.resumeBackoff {
		choice := placement.Choice{Reason: reasonRetryBudget}
		if !backOffFirst && (!t.chargeRetry || !t.headSent || t.endpoints.HasRetry(t.service.Name)) {
			choice = t.findEndpoint()
		}
		if choice.State != nil && t.chargeRetry {
			t.chargeRetry = false
			t.endpoints.TakeRetry(t.service.Name)
		}
		retired := choice.Considered == 0 && choice.Reason != reasonRetryBudget && t.releases.releaseRetired(t.view, t.service.Name, t.boundRelease)
		if choice.State != nil || !t.headSent || t.outOfTime() || retired || choice.Reason == reasonQuarantined {
			if waited > 0 {
				t.logger.Info("resume-waited", "request", t.request.ID, "ms", int64(waited), "found", choice.State != nil)
			}
			return choice
		}
		if waited == 0 {
			t.logger.Info("resume-waits", "request", t.request.ID, "reason", choice.Reason, "verdicts", choice.Rejections.String(),
				"release", t.boundRelease, "runs", t.runs, "unsent", t.unsent, "left-ms", int64(t.deadline-t.clock.Mono()))
		}
		t.resumeBackoff = min(maxResumeBackoff, max(minResumeBackoff, 2*t.resumeBackoff))
		if t.clock.Sleep(ctx, min(t.resumeBackoff, t.deadline-t.clock.Mono())) != nil {
			return choice
		}
		backOffFirst = false
		t.tried = nil // Endpoints that rejected the request may have room by now.
	}
}
