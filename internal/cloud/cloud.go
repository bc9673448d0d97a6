// Package cloud models rented hosts (offers by class and data centre, hosts, and
// reclaim notices) and decides which hosts to rent and to drain.
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

// DataCentre returns the data centre of the hosts.
func (offer Offer) DataCentre() string { return offer.dataCentre }

// HostClass returns the class of host.
func (offer Offer) HostClass() string { return offer.hostClass }

// Reclaimable reports whether the cloud may reclaim the hosts.
func (offer Offer) Reclaimable() bool { return offer.reclaimable }

// Price returns the price of one host for one hour.
func (offer Offer) Price() float64 { return offer.price }

// WithPrice returns a copy at another price for one hour.
func (offer Offer) WithPrice(price float64) Offer {
	offer.price = price
	return offer
}

// Kind is a class of host in a data centre, reclaimable or not. Capacity and
// reclaims of the cloud are tracked by kind.
type Kind struct {
	dataCentre  string
	hostClass   string
	reclaimable bool
}

// Kind returns the offer without its price.
func (offer Offer) Kind() Kind {
	return Kind{dataCentre: offer.dataCentre, hostClass: offer.hostClass, reclaimable: offer.reclaimable}
}

// DataCentre returns the data centre of the hosts.
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

// NewHost returns a host of the pool, rented through the offer.
func NewHost(id, pool string, offer Offer, leaving bool) Host {
	return Host{id: id, pool: pool, offer: offer, leaving: leaving}
}

// ID returns the id of the host, which is also that of its backend server.
func (host Host) ID() string { return host.id }

// Pool returns the pool for which the host was started.
func (host Host) Pool() string { return host.pool }

// Offer returns the host's class, data centre and price.
func (host Host) Offer() Offer { return host.offer }

// Leaving reports whether the host is being reclaimed.
func (host Host) Leaving() bool { return host.leaving }

// Ready reports whether the host serves requests.
func (host Host) Ready() bool { return host.ready }

// WithReady returns a copy marked as serving requests or not.
func (host Host) WithReady(ready bool) Host {
	host.ready = ready
	return host
}

// Unmanaged reports whether the host was not started by this system, so that it
// counts towards the need but is never drained.
func (host Host) Unmanaged() bool { return host.unmanaged }

// WithUnmanaged returns a copy marked as unmanaged or not.
func (host Host) WithUnmanaged(unmanaged bool) Host {
	host.unmanaged = unmanaged
	return host
}

// RequestID returns the id of the call that started the host.
func (host Host) RequestID() string { return host.requestID }

// WithRequestID returns a copy started by the call with the id.
func (host Host) WithRequestID(requestID string) Host {
	host.requestID = requestID
	return host
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	sequence int64
	hostID   string
	after    clock.Millis
}

// NewNotice returns a notice that the host is reclaimed after the given time.
func NewNotice(sequence int64, hostID string, after clock.Millis) Notice {
	return Notice{sequence: sequence, hostID: hostID, after: after}
}

// Sequence returns the cloud's sequence number of the notice.
func (notice Notice) Sequence() int64 { return notice.sequence }

// HostID returns the id of the reclaimed host.
func (notice Notice) HostID() string { return notice.hostID }

// After returns the time from the notice to the shutdown of the host.
func (notice Notice) After() clock.Millis { return notice.after }

// NoCapacityError reports that the cloud refused to start a host for lack of
// capacity.
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
