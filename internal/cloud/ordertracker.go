package cloud

import "sapphirehead/internal/clock"

const (
	// refusedRetryDelay is how long a place is left alone after the cloud had nothing.
	refusedRetryDelay = 1500 * clock.Millisecond
	// unansweredRetryDelay is how long to wait before an order without an answer is sent
	// again.
	unansweredRetryDelay = 2 * clock.Second
	// scarcityPeriod is how long after a refusal reclaimable servers count as scarce.
	scarcityPeriod = 4 * clock.Second
	// maxOrderDelay is how long an order without an answer may still be carried out.
	// When it is over, the order then in force is sent once more.
	maxOrderDelay = 13 * clock.Second
)

// OrderTracker remembers what was ordered at each place, and says when an order is
// to be sent. An order names the whole number of servers, so sending it again
// does no harm; one that was lost may be carried out after newer ones, which is
// repaired by sending the newest again. An Ordering belongs to one goroutine.
type OrderTracker struct {
	orders map[Place]*order
}

type order struct {
	count     int
	confirmed bool
	notBefore clock.Millis
	repeatAt  clock.Millis
	// refusedAt is when the cloud last had nothing there.
	refusedAt clock.Millis
}

// NewOrderTracker returns an ordering that knows of no orders.
func NewOrderTracker() *OrderTracker { return &OrderTracker{orders: map[Place]*order{}} }

func (orderTracker *OrderTracker) order(place Place) *order {
	if orderTracker.orders[place] == nil {
		orderTracker.orders[place] = &order{}
	}
	return orderTracker.orders[place]
}

// Due reports whether the count is to be ordered at the place now.
func (orderTracker *OrderTracker) Due(place Place, count int, now clock.Millis) bool {
	order := orderTracker.order(place)
	if now < order.notBefore {
		return false
	}
	return !order.confirmed || order.count != count || (order.repeatAt != 0 && now >= order.repeatAt)
}

// Accepted records that the cloud took the order.
func (orderTracker *OrderTracker) Accepted(place Place, count int, now clock.Millis) {
	order := orderTracker.order(place)
	order.count, order.confirmed, order.notBefore = count, true, 0
	if now >= order.repeatAt {
		order.repeatAt = 0
	}
}

// Scarce reports whether reclaimable servers were refused lately.
func (orderTracker *OrderTracker) Scarce(now clock.Millis) bool {
	for place, order := range orderTracker.orders {
		if place.reclaimable && order.refusedAt != 0 && now-order.refusedAt < scarcityPeriod {
			return true
		}
	}
	return false
}

// Refused records that the cloud has no such servers there.
func (orderTracker *OrderTracker) Refused(place Place, now clock.Millis) {
	order := orderTracker.order(place)
	order.confirmed, order.notBefore, order.refusedAt = false, now+refusedRetryDelay, now
}

// Unanswered records that nobody knows whether the cloud took the order.
func (orderTracker *OrderTracker) Unanswered(place Place, now clock.Millis) {
	order := orderTracker.order(place)
	order.confirmed, order.notBefore, order.repeatAt = false, now+unansweredRetryDelay, now+maxOrderDelay
}

// Lost records that servers went that had been ordered, so that the same number
// must be ordered again.
func (orderTracker *OrderTracker) Lost(place Place) { orderTracker.order(place).confirmed = false }
