package canary

import "sync/atomic"

const (
	// credit is the price of one canary request. A node earns the share of it with each
	// request that reaches the pool.
	credit = 1_000_000
	// maxCredit bounds what a node may save up, so that a node that sends no canary
	// requests for a while doesn't send many at once later.
	maxCredit = 3 * credit
	// reservedCredit must be there beyond the price before a request of a session, or of a
	// route that has had more than its part of the canary requests, becomes one. Others
	// come first, but a pool with sessions only is tried as well. The reserve grows up to
	// its size with the node's first canary requests, as a node of a large deployment may
	// send only a few altogether.
	reservedCredit = credit
	reserveGrowth  = 8
	// canaryPart is the part of the bound that the canary share takes up; the rest is
	// for the time after promotion until a fault is noticed.
	canaryPart = 0.8
)

// exposure is the credit of one node for canary requests in one run of an order. It
// starts at 0, so the canary requests of all nodes stay below the share of all requests,
// whichever nodes start again or are cut off.
type exposure struct {
	left atomic.Int64
	// sent is the number of canary requests.
	sent atomic.Int64
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

// spend takes a credit if there is one. A request that should wait for others leaves the
// reserve.
func (exposure *exposure) spend(isSecond bool) bool {
	needed := int64(credit)
	if isSecond {
		needed += reservedCredit * min(exposure.sent.Load(), reserveGrowth) / reserveGrowth
	}
	for {
		left := exposure.left.Load()
		if left < needed {
			return false
		}
		if exposure.left.CompareAndSwap(left, left-credit) {
			exposure.sent.Add(1)
			return true
		}
	}
}
