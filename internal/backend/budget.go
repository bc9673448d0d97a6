package backend

import "sync/atomic"

// A retry budget keeps a broken pool from being asked many times over. Each
// success pays in a share of a retry, each retry takes a whole one out:
//
//	100 successes pay for 20 retries; the budget holds 200 at most
//
// Attempts that broke off at a server that is leaving are paid back, since a
// wave of reclaims says nothing against the rest of the pool.
const (
	unitsPerRetry = 100
	// unitsPerSuccess is what one success pays in, in hundredths of a retry.
	unitsPerSuccess = 20
	// initialRetries and budgetMost are in retries.
	initialRetries = 20
	maxRetries     = 200
)

// RetryBudget is the budget of one pool at one node.
type RetryBudget struct {
	units atomic.Int64
}

// NewRetryBudget returns a budget for a few retries.
func NewRetryBudget() *RetryBudget {
	budget := &RetryBudget{}
	budget.units.Store(initialRetries * unitsPerRetry)
	return budget
}

// Succeeded pays in for a success.
func (budget *RetryBudget) Succeeded() { budget.add(unitsPerSuccess) }

// Refund pays in for a retry that is nobody's fault.
func (budget *RetryBudget) Refund() { budget.add(unitsPerRetry) }

func (budget *RetryBudget) add(units int64) {
	if budget.units.Add(units) > maxRetries*unitsPerRetry {
		budget.units.Add(-units)
	}
}

// Take takes out a retry, and reports whether there was one.
func (budget *RetryBudget) Take() bool {
	if budget.units.Add(-unitsPerRetry) >= 0 {
		return true
	}
	budget.units.Add(unitsPerRetry)
	return false
}
