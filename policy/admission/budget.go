package admission

const (
	// retriesPerSuccess is the number of retries that one success adds to the budget.
	retriesPerSuccess = 0.1
	// maxSavedRetries is the maximum number of retries in the budget.
	maxSavedRetries = 10
)

// RetryBudget limits retries to a share of successes, so that retries do not multiply
// the load on a failing endpoint. It is not safe for concurrent use.
type RetryBudget struct {
	saved float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: maxSavedRetries}
}

// RecordSuccess adds retriesPerSuccess to the budget.
func (b *RetryBudget) RecordSuccess() {
	b.saved = min(b.saved+retriesPerSuccess, maxSavedRetries)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
