package cloud

import "sapphirehead/internal/clock"

const (
	// refusedRetryDelay is the wait before an order is sent again after the cloud had
	// no capacity at the place.
	refusedRetryDelay = 1500 * clock.Millisecond
	// unansweredRetryDelay is the wait before an order without a response is sent
	// again.
	unansweredRetryDelay = 2 * clock.Second
	// scarcityPeriod is how long reclaimable servers count as scarce after a refusal.
	scarcityPeriod = 4 * clock.Second
	// maxOrderDelay is the time within which the cloud may still carry out an order
	// without a response. After it the latest order is sent once more.
	maxOrderDelay = 13 * clock.Second
)

// OrderTracker records the orders for each place and decides when an order is due.
// An order states the total number of servers, so it is idempotent. An order
// without a response may be carried out after newer ones; sending the newest again
// repairs this. An OrderTracker is used by one goroutine.
type OrderTracker struct {
	orders map[Place]*order
}

type order struct {
	count     int
	confirmed bool
	notBefore clock.Millis
	repeatAt  clock.Millis
	// refusedAt is when the cloud last had no capacity at the place.
	refusedAt clock.Millis
}

// NewOrderTracker returns a tracker without orders.
func NewOrderTracker() *OrderTracker { return &OrderTracker{orders: map[Place]*order{}} }

func (orderTracker *OrderTracker) order(place Place) *order {
	if orderTracker.orders[place] == nil {
		orderTracker.orders[place] = &order{}
	}
	return orderTracker.orders[place]
}

// Due reports whether an order for the count is due at the place.
func (orderTracker *OrderTracker) Due(place Place, count int, now clock.Millis) bool {
	order := orderTracker.order(place)
	if now < order.notBefore {
		return false
	}
	return !order.confirmed || order.count != count || (order.repeatAt != 0 && now >= order.repeatAt)
}

// Accepted records that the cloud accepted the order.
func (orderTracker *OrderTracker) Accepted(place Place, count int, now clock.Millis) {
	order := orderTracker.order(place)
	order.count, order.confirmed, order.notBefore = count, true, 0
	if now >= order.repeatAt {
		order.repeatAt = 0
	}
}

// Scarce reports whether reclaimable servers were refused within scarcityPeriod.
func (orderTracker *OrderTracker) Scarce(now clock.Millis) bool {
	for place, order := range orderTracker.orders {
		if place.reclaimable && order.refusedAt != 0 && now-order.refusedAt < scarcityPeriod {
			return true
		}
	}
	return false
}

// Refused records that the cloud has no capacity at the place.
func (orderTracker *OrderTracker) Refused(place Place, now clock.Millis) {
	order := orderTracker.order(place)
	order.confirmed, order.notBefore, order.refusedAt = false, now+refusedRetryDelay, now
}

// Unanswered records that it is unknown whether the cloud accepted the order.
func (orderTracker *OrderTracker) Unanswered(place Place, now clock.Millis) {
	order := orderTracker.order(place)
	order.confirmed, order.notBefore, order.repeatAt = false, now+unansweredRetryDelay, now+maxOrderDelay
}

// Lost records that ordered servers were lost, so that the same number must be
// ordered again.
func (orderTracker *OrderTracker) Lost(place Place) { orderTracker.order(place).confirmed = false }
