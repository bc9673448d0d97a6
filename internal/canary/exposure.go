package canary

import "sync/atomic"

const (
	// credit is the price of one canary request. A node earns the share of it with each
	// request that reaches the pool.
	credit = 1_000_000
	// maxCredit bounds what a node may save up, so that a node that sends no canary
	// requests for a while doesn't send many at once later.
	maxCredit = 3 * credit
	// sessionCredit must be there before a request of a session becomes a canary
	// request: others come first, but a pool with sessions only is tried as well.
	sessionCredit = 2 * credit
	// canaryPart is the part of the bound that the canary share takes up; the rest is
	// for the time after promotion until a fault is noticed.
	canaryPart = 0.8
)

// exposure is the credit of one node for canary requests in one run of an order. It
// starts at 0, so the canary requests of all nodes stay below the share of all requests,
// whichever nodes start again or are cut off.
type exposure struct {
	left atomic.Int64
}

func (exposure *exposure) add(amount int64) {
	for {
		left := exposure.left.Load()
		if exposure.left.CompareAndSwap(left, min(left+amount, maxCredit)) {
			return
		}
	}
}

// earn adds the share of a credit.
func (exposure *exposure) earn(share float64) { exposure.add(int64(share * credit)) }

// spend takes a credit if there is one.
func (exposure *exposure) spend(session bool) bool {
	needed := int64(credit)
	if session {
		needed = sessionCredit
	}
	for {
		left := exposure.left.Load()
		if left < needed {
			return false
		}
		if exposure.left.CompareAndSwap(left, left-credit) {
			return true
		}
	}
}
