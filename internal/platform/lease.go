package platform

import "sapphirehead/internal/clock"

// Lease is one process's view of one lease object.
//
// No clock is compared between hosts. A holder counts its lease from the
// moment before it sent the write that took or renewed it. Anyone else takes
// the lease only after seeing the same version unchanged for a whole duration
// on its own clock. As the other's observation begins after the holder's
// write, the holder's count always ends first:
//
//	holder      send renewal 0 ms ... holds until 10,000 ms
//	challenger  sees it at 40 ms  ... may take it from 10,040 ms
//
// The version of the lease object is the fencing number of orders.
type Lease struct {
	clock    *clock.Clock
	name     string
	duration clock.Millis
	holder   string
	version  int64
	observed clock.Millis
	fence    int64
	until    clock.Millis
}

// NewLease returns a view that has observed nothing yet.
func NewLease(clock *clock.Clock, name, holder string, duration clock.Millis) *Lease {
	return &Lease{clock: clock, name: name, duration: duration, holder: holder, version: -1}
}

// Name returns the name of the lease object.
func (lease *Lease) Name() string { return lease.name }

// Holder returns the name under which this process takes the lease.
func (lease *Lease) Holder() string { return lease.holder }

// Version returns the version of the object last observed.
func (lease *Lease) Version() int64 { return lease.version }

// Observe takes in the version read from the platform.
func (lease *Lease) Observe(version int64) {
	if version != lease.version {
		lease.version = version
		lease.observed = lease.clock.Now()
	}
}

// MayTake reports whether the lease is free as far as this process can tell.
func (lease *Lease) MayTake() bool {
	if lease.version == VersionNone {
		return true
	}
	return lease.version > 0 && lease.clock.Now()-lease.observed >= lease.duration
}

// Taken reports that a write sent at the given time committed the version.
func (lease *Lease) Taken(version int64, sentAt clock.Millis) {
	lease.version = version
	lease.observed = lease.clock.Now()
	lease.fence = version
	lease.until = sentAt + lease.duration
}

// Lost reports that the lease is no longer held or that nobody knows.
func (lease *Lease) Lost() { lease.until = 0 }

// Held reports whether the lease is held for at least the margin from now on.
func (lease *Lease) Held(margin clock.Millis) bool {
	return lease.until > 0 && lease.clock.Now()+margin < lease.until
}

// Fence returns the fencing number for orders under this lease.
func (lease *Lease) Fence() int64 { return lease.fence }
