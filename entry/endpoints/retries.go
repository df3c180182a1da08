package endpoints

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// RetryLimits bound a service's retries on all instances together, within Window: a share of
// its requests, plus a fixed number.
type RetryLimits struct {
	Ratio  float64
	Slack  float64
	Window clock.Millis
}

// retryBudget is this instance's part of the retry budget of a service.
type retryBudget struct {
	share.RetryBudget
}

// retryRatioShare is share.FleetShare for a limit proportional to the number of requests.
// The requests of all instances add up exactly and only the windows differ, so the
// margin is smaller.
const retryRatioShare = 0.9

func newRetryBudget(limits RetryLimits, rounding float64) retryBudget {
	return retryBudget{share.RetryBudget{Ratio: limits.Ratio * retryRatioShare, WindowLength: limits.Window, Rounding: rounding}}
}

// withSlack returns the budget with this instance's current part of the fleet's slack.
func (b *retryBudget) withSlack(limits RetryLimits, instances int) *share.RetryBudget {
	b.Slack = limits.Slack * share.FleetShare / float64(max(1, instances))
	return &b.RetryBudget
}

// TakeRetry takes one retry from this instance's part of the fleet's budget.
func (t *Tracker) TakeRetry(service ticket.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries(service).Take(t.deps.Clock.Mono())
}

// HasRetry reports whether TakeRetry would succeed.
func (t *Tracker) HasRetry(service ticket.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries(service).Available(t.deps.Clock.Mono())
}

// RetryBudgetLeft returns the share of this instance's retry budget that is left.
func (t *Tracker) RetryBudgetLeft(service ticket.ServiceName) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries(service).Remaining(t.deps.Clock.Mono())
}

// retries returns a service's retry budget with this instance's current part of the fleet's
// slack; the caller holds the lock.
func (t *Tracker) retries(service ticket.ServiceName) *share.RetryBudget {
	return t.states.pool(service).retries.withSlack(t.deps.RetryLimits(), t.deps.Instances())
}
