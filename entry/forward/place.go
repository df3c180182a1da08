package forward

import (
	"context"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/rollout"
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

const (
	// plainQueueLimit and engineQueueLimit are the utilizations up to which requests
	// may queue at an endpoint. A plain endpoint frees a slot within about 10 ms, so
	// its queue may be longer.
	plainQueueLimit  = 2.5
	engineQueueLimit = 1.3
	// queueLimitPerRank is added for each rank of urgency above the lowest.
	queueLimitPerRank = 0.12
	lowestRank        = 3
)

// baseQueueLimit returns the queue limit of requests of the lowest rank.
func (t *task) baseQueueLimit() float64 {
	if t.service.Engine != nil {
		return engineQueueLimit
	}
	return plainQueueLimit
}

// placementQuery returns a query for an endpoint against the current view, and the
// assignment to use if an attempt is sent by it. It leaves the task's own assignment
// alone, as a running attempt is counted under the assignment with which it was sent.
func (t *task) placementQuery() (*placement.Query, assignment) {
	next := assignment{view: t.deps.Registry.View(), arm: t.arm, progress: t.progress}
	var accept func(*catalog.Endpoint) bool
	if t.boundRelease != "" {
		accept = func(e *catalog.Endpoint) bool { return e.Release == t.boundRelease && next.view.Usable(e) }
	} else {
		next.arm, accept, next.progress = t.releases.pickArm(next.view, t.service.Name, t.route.Name, t.sessionKey())
	}
	queueLimit := t.baseQueueLimit() + queueLimitPerRank*float64(max(0, lowestRank-t.rank))
	var pack *placement.Pack
	if t.boundRelease == "" && next.arm == ArmNew && next.progress.phaseOn(t.route.Name).PacksEndpoints() {
		// Packing requests onto few endpoints shows early whether a release fails under load.
		pack = &placement.Pack{Key: string(next.progress.order.Target)}
		if next.progress.schedule.LightLoad == nil {
			share := next.progress.schedule.Share(t.route.Name, next.progress.elapsed, t.limits.Load().Exposure)
			pack.LoadShare = share * t.endpoints.PackableShare(t.service.Name)
		}
	}
	return &placement.Query{
		Pack:             pack,
		Zone:             t.limits.Load().Zone,
		Parts:            t.request.PromptParts,
		Model:            t.model,
		RelativeCost:     t.relativeCost(),
		FirstEventGoal:   t.route.FirstByteGoal,
		CrossZoneBytes:   len(t.request.Body),
		Accept:           accept,
		Tried:            t.tried,
		Homes:            t.homes,
		Memory:           placement.Memory{Tokens: t.request.tokens()},
		MaxUtilization:   queueLimit,
		AllowUnconfirmed: t.retryable() && t.sends == 0,
	}, next
}

// findEndpoint picks an endpoint and counts the request there. If the new release has
// no room, it falls back to the old one, except for a session that already ran on the
// new one. If it finds none, the choice describes the release that was preferred, or
// the old one if the preferred release has no endpoints.
func (t *task) findEndpoint() placement.Choice {
	if t.outOfTime() {
		return placement.Choice{Reason: routing.Reason(ReasonDeadlinePassed)}
	}
	if t.quarantined() {
		return placement.Choice{Reason: reasonQuarantined}
	}
	var q *placement.Query
	q, t.assignment = t.placementQuery()
	type candidate struct {
		arm    Arm
		accept func(*catalog.Endpoint) bool
		pack   *placement.Pack
	}
	candidates := []candidate{{t.arm, q.Accept, q.Pack}}
	if t.boundRelease == "" && t.arm == ArmNew && !t.pinnedToNew() {
		candidates = append(candidates, candidate{ArmOld, t.releases.oldReleaseFilter(t.view, t.progress), nil})
	}
	var refusal placement.Choice
	keptAway := false
	for _, allowUnconfirmed := range []bool{false, true} {
		if q.AllowUnconfirmed && !allowUnconfirmed {
			continue // A first pass without unconfirmed endpoints would gain nothing.
		}
		q.AllowUnconfirmed = allowUnconfirmed
		for _, c := range candidates {
			q.Accept, q.Pack = c.accept, c.pack
			q.Model, q.RelativeCost = t.model, t.relativeCost()
			if c.pack != nil && t.fillsWithLargest() {
				q.Model = t.route.Models[len(t.route.Models)-1]
				q.RelativeCost = t.service.Engine.RelativeCost(q.Model)
			}
			choice := t.endpoints.Choose(t.view, t.service, q)
			if choice.KeptAway > 0 && !keptAway {
				keptAway = true
				t.deps.Scope.Counter("kept_away").Inc(1)
			}
			if choice.ShortOfMemory > 0 {
				t.deps.Scope.Counter("memory_short").Inc(1)
			}
			if choice.State != nil {
				t.arm = c.arm
				t.model = q.Model
				t.countZone(choice)
				t.countPrompt(choice.Prompt)
				return choice
			}
			if refusal.Considered == 0 {
				refusal = choice
			}
		}
	}
	return refusal
}

// countPrompt counts and keeps what a prompt's length decided; nil means nothing.
func (t *task) countPrompt(choice *placement.PromptChoice) {
	if t.promptChoice = choice; choice == nil {
		return
	}
	t.deps.Scope.Tagged(map[string]string{"prompt": promptLength(choice), "placement": string(choice.Placement)}).Counter("prompts_placed").Inc(1)
}

// promptLength returns the length of a placed prompt for logs and metrics.
func promptLength(choice *placement.PromptChoice) string {
	if choice.Long {
		return "long"
	}
	return "short"
}

// fillsWithLargest reports whether the request runs on the largest model at once because it
// fills an endpoint under light load: it keeps a slot busy for longer and is not run twice, so
// that fewer requests are exposed to the new release.
func (t *task) fillsWithLargest() bool {
	return t.model != "" && t.service.Engine != nil && t.progress.schedule.LightLoad != nil && t.progress.phaseOn(t.route.Name) == rollout.PhaseLoad
}

// pinnedToNew reports whether the request's session is pinned to the new release.
func (t *task) pinnedToNew() bool {
	last, pinned := t.releases.pinnedRelease(t.sessionKey())
	return pinned && last == t.progress.order.Target
}
