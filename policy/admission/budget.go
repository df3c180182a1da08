package admission

const (
	// retryShare is the number of retries earned by one success.
	retryShare = 0.1
	// maxRetries bounds the retries that can be saved up.
	maxRetries = 10
)

// RetryBudget allows retries as a share of successes, so that a failing
// back end does not multiply its own load. It is not safe for concurrent use.
type RetryBudget struct {
	saved float64
}

// NewRetryBudget returns a budget with a few retries saved up.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: maxRetries}
}

// RecordSuccess earns a share of a retry.
func (b *RetryBudget) RecordSuccess() {
	b.saved = min(b.saved+retryShare, maxRetries)
}

// Take spends one retry and reports whether there was one.
func (b *RetryBudget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
