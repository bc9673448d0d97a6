package backend

import "sync/atomic"

// A retry budget bounds the retries to a failing pool. Each success adds 0.2
// retries, and each retry costs one:
//
//	100 successes add 20 retries; the budget holds at most 200
//
// Retries of attempts that failed at a leaving server are refunded, since a wave
// of reclaims is no sign of faults in the rest of the pool.
const (
	unitsPerRetry = 100
	// unitsPerSuccess is the income of one success: 0.2 retries.
	unitsPerSuccess = 20
	initialRetries  = 20
	maxRetries      = 200
)

// RetryBudget is the retry budget of one pool at one node.
type RetryBudget struct {
	units atomic.Int64
}

// NewRetryBudget returns a budget of initialRetries.
func NewRetryBudget() *RetryBudget {
	budget := &RetryBudget{}
	budget.units.Store(initialRetries * unitsPerRetry)
	return budget
}

// Succeeded adds the income of one success, up to maxRetries.
func (budget *RetryBudget) Succeeded() { budget.add(unitsPerSuccess) }

// Refund gives a retry back to the budget if its cause was no fault of the pool.
func (budget *RetryBudget) Refund() { budget.add(unitsPerRetry) }

func (budget *RetryBudget) add(units int64) {
	for {
		current := budget.units.Load()
		if budget.units.CompareAndSwap(current, min(current+units, maxRetries*unitsPerRetry)) {
			return
		}
	}
}

// Take takes one retry and reports whether the budget had one.
func (budget *RetryBudget) Take() bool {
	if budget.units.Add(-unitsPerRetry) >= 0 {
		return true
	}
	budget.units.Add(unitsPerRetry)
	return false
}
