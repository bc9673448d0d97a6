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
	budgetUnit = 100
	// successShare is what one success pays in, in hundredths of a retry.
	successShare = 20
	// budgetStart and budgetMost are in retries.
	budgetStart = 20
	budgetMost  = 200
)

// RetryBudget is the budget of one pool at one node.
type RetryBudget struct {
	units atomic.Int64
}

// NewRetryBudget returns a budget for a few retries.
func NewRetryBudget() *RetryBudget {
	budget := &RetryBudget{}
	budget.units.Store(budgetStart * budgetUnit)
	return budget
}

// Succeeded pays in for a success.
func (budget *RetryBudget) Succeeded() { budget.pay(successShare) }

// Refund pays in for a retry that is nobody's fault.
func (budget *RetryBudget) Refund() { budget.pay(budgetUnit) }

func (budget *RetryBudget) pay(units int64) {
	if budget.units.Add(units) > budgetMost*budgetUnit {
		budget.units.Add(-units)
	}
}

// Take takes out a retry, and reports whether there was one.
func (budget *RetryBudget) Take() bool {
	if budget.units.Add(-budgetUnit) >= 0 {
		return true
	}
	budget.units.Add(budgetUnit)
	return false
}
