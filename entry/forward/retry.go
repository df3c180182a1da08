package forward

import (
	"foxtailbridge/policy/attempt"
)

// RetryDenial says why a request may not be retried.
type RetryDenial string

// Reasons to deny a retry.
const (
	DenialDeadline    RetryDenial = "time"
	DenialSends       RetryDenial = "sends"
	DenialUnreachable RetryDenial = "out-of-reach"
	DenialAttempts    RetryDenial = "attempts"
	DenialBudget      RetryDenial = "budget"
)

const (
	// extraSends is how many endpoints beyond the route's attempts may reject a request
	// without running it.
	extraSends = 2
	// maxUnsent is how many attempts may fail to reach an endpoint. With half of the
	// endpoints down, 12 tries are all but certain to find one that is up.
	maxUnsent = 12
)

// canRetry reports whether attempts, time and retry budget allow another attempt.
func (t *task) canRetry(outcome *attempt.Outcome) bool {
	t.retryDenied = t.retryDenial(outcome)
	return t.retryDenied == ""
}

// retryDenial returns why an attempt may not be followed by another, or "".
func (t *task) retryDenial(outcome *attempt.Outcome) RetryDenial {
	switch {
	case t.outOfTime():
		return DenialDeadline
	case t.runs >= t.route.Attempts:
		return DenialAttempts
	case t.headSent:
		return "" // Any other obstacle is temporary; nextEndpoint waits for it to pass.
	case t.sends >= t.route.Attempts+extraSends:
		return DenialSends
	case t.unsent >= maxUnsent:
		return DenialUnreachable
	case outcome.Sent != attempt.SentNothing && !t.endpoints.HasRetry(t.service.Name):
		return DenialBudget
	}
	return ""
}
