package forward

import (
	"context"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

const (
	// firstRest is how long a begun stream without a place waits before it looks
	// again; the wait doubles up to longestRest, as what an endpoint turns away counts
	// for the budget.
	firstRest   = 50 * clock.Millis(1)
	longestRest = 400 * clock.Millis(1)
)

// reasonBudget means that this instance's part of the fleet's budget is used up.
const reasonBudget routing.Reason = "budget"

// place finds an endpoint for the next attempt. A stream that has begun waits for one,
// and for the budget, while its time lasts: what its caller has is lost if it is cut,
// and endpoints fill, leave and come back within that time. Those of a release that an
// order has ended do not.
func (t *task) place(ctx context.Context) placement.Choice {
	if t.next != nil {
		choice := *t.next
		t.next = nil
		return choice
	}
	// Beyond the sends that any request has, one that was turned away rests first.
	rests := t.begun && t.refused >= t.route.Attempts+extraSends
	for waited := clock.Millis(0); ; waited += t.rest {
		choice := placement.Choice{Reason: reasonBudget}
		if !rests && (!t.owes || !t.begun || t.endpoints.hasRetry(t.service.Name)) {
			choice = t.find()
		}
		if choice.State != nil && t.owes {
			t.owes = false
			t.endpoints.takeRetry(t.service.Name)
		}
		hopeless := choice.Considered == 0 && choice.Reason != reasonBudget && t.releases.ended(t.view, t.service.Name, t.release)
		if choice.State != nil || !t.begun || t.late() || hopeless {
			if waited > 0 {
				t.logger.Info("resume-waited", "request", t.request.ID, "ms", int64(waited), "found", choice.State != nil)
			}
			return choice
		}
		if waited == 0 {
			t.logger.Info("resume-waits", "request", t.request.ID, "reason", choice.Reason, "verdicts", choice.Rejections.String(),
				"release", t.release, "runs", t.runs, "unsent", t.unsent, "left-ms", int64(t.deadline-t.clock.Mono()))
		}
		t.rest = min(longestRest, max(firstRest, 2*t.rest))
		if t.clock.Sleep(ctx, min(t.rest, t.deadline-t.clock.Mono())) != nil {
			return choice
		}
		rests = false
		t.tried = nil // What turned it away may have room by now.
	}
}
