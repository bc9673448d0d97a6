// Package cloud holds what the system knows and decides about rented hosts:
// offers by class and data centre, hosts, and reclaim notices.
package cloud

import (
	"fmt"

	"sapphirehead/internal/clock"
)

// Offer is a class of host in a data centre at a price.
type Offer struct {
	dataCentre  string
	hostClass   string
	reclaimable bool
	price       float64
}

// NewOffer returns an offer. The price is for one hour.
func NewOffer(dataCentre, hostClass string, reclaimable bool, price float64) Offer {
	return Offer{dataCentre: dataCentre, hostClass: hostClass, reclaimable: reclaimable, price: price}
}

// DataCentre returns where the hosts are.
func (offer Offer) DataCentre() string { return offer.dataCentre }

// HostClass returns the class of host.
func (offer Offer) HostClass() string { return offer.hostClass }

// Reclaimable reports whether the cloud may take the hosts back.
func (offer Offer) Reclaimable() bool { return offer.reclaimable }

// Price returns the price of one host for one hour.
func (offer Offer) Price() float64 { return offer.price }

// WithPrice returns a copy at another price for one hour.
func (offer Offer) WithPrice(price float64) Offer {
	offer.price = price
	return offer
}

// Kind is what the cloud's behaviour depends on: a class of host, where it
// stands, and whether it can be taken back.
type Kind struct {
	dataCentre  string
	hostClass   string
	reclaimable bool
}

// Kind returns the offer without its price.
func (offer Offer) Kind() Kind {
	return Kind{dataCentre: offer.dataCentre, hostClass: offer.hostClass, reclaimable: offer.reclaimable}
}

// DataCentre returns where the hosts are.
func (kind Kind) DataCentre() string { return kind.dataCentre }

// Host is one rented host.
type Host struct {
	id        string
	pool      string
	offer     Offer
	leaving   bool
	ready     bool
	unmanaged bool
	requestID string
}

// NewHost returns a host of the pool, rented by the offer.
func NewHost(id, pool string, offer Offer, leaving bool) Host {
	return Host{id: id, pool: pool, offer: offer, leaving: leaving}
}

// ID returns the identity of the host, which is also its backend server's.
func (host Host) ID() string { return host.id }

// Pool returns the pool for which the host was started.
func (host Host) Pool() string { return host.pool }

// Offer returns class, data centre and price.
func (host Host) Offer() Offer { return host.offer }

// Leaving reports whether the host is being taken back.
func (host Host) Leaving() bool { return host.leaving }

// Ready reports whether the host serves.
func (host Host) Ready() bool { return host.ready }

// WithReady returns a copy that says whether the host serves.
func (host Host) WithReady(ready bool) Host {
	host.ready = ready
	return host
}

// Unmanaged reports whether the host was started by others, so that it counts but
// is not given back.
func (host Host) Unmanaged() bool { return host.unmanaged }

// WithUnmanaged returns a copy that says whether the host was started by others.
func (host Host) WithUnmanaged(fixed bool) Host {
	host.unmanaged = fixed
	return host
}

// RequestID returns the identity of the call that started the host.
func (host Host) RequestID() string { return host.requestID }

// WithRequestID returns a copy started by the call with the identity.
func (host Host) WithRequestID(requestID string) Host {
	host.requestID = requestID
	return host
}

// Notice announces that a host is taken back.
type Notice struct {
	sequence int64
	hostID   string
	after    clock.Millis
}

// NewNotice returns a notice that the host goes after the given time.
func NewNotice(sequence int64, hostID string, after clock.Millis) Notice {
	return Notice{sequence: sequence, hostID: hostID, after: after}
}

// Sequence returns the notice's place in the cloud's order.
func (notice Notice) Sequence() int64 { return notice.sequence }

// HostID returns which host is taken back.
func (notice Notice) HostID() string { return notice.hostID }

// After returns the time from the notice to the end of the host.
func (notice Notice) After() clock.Millis { return notice.after }

// NoCapacityError says that the cloud refused to start a host.
type NoCapacityError struct {
	dataCentre string
	hostClass  string
}

// NewNoCapacityError returns an error for the class in the data centre.
func NewNoCapacityError(dataCentre, hostClass string) *NoCapacityError {
	return &NoCapacityError{dataCentre: dataCentre, hostClass: hostClass}
}

func (err *NoCapacityError) Error() string {
	return fmt.Sprintf("the cloud has no capacity for class %s in data centre %s", err.hostClass, err.dataCentre)
}
