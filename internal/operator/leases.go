package operator

import "sapphirehead/internal/clock"

// LeaseStatus is the report of a steward or an entry host about one lease.
type LeaseStatus struct {
	name      string
	holder    string
	held      bool
	fence     int64
	remaining clock.Millis
	rank      int
}

// NewLeaseStatus returns the report about a lease that the host holds according to
// the reporting steward or entry host.
func NewLeaseStatus(name, holder string, rank int) LeaseStatus {
	return LeaseStatus{name: name, holder: holder, rank: rank}
}

// WithHolding returns a copy for a lease that the reporting steward holds itself with
// the fencing token, and which ends after the remaining time unless it is renewed.
func (status LeaseStatus) WithHolding(fence int64, remaining clock.Millis) LeaseStatus {
	status.held, status.fence, status.remaining = true, fence, remaining
	return status
}

// WithFence returns a copy with the fencing token of the stored lease.
func (status LeaseStatus) WithFence(fence int64) LeaseStatus {
	status.fence = fence
	return status
}

// Name returns the name of the lease.
func (status LeaseStatus) Name() string { return status.name }

// Holder returns the name of the host that holds the lease, or an empty string.
func (status LeaseStatus) Holder() string { return status.holder }

// Held reports whether the reporting steward holds the lease.
func (status LeaseStatus) Held() bool { return status.held }

// Fence returns the fencing token of the lease, or 0 if it is not known.
func (status LeaseStatus) Fence() int64 { return status.fence }

// Remaining returns the time until a held lease ends unless it is renewed.
func (status LeaseStatus) Remaining() clock.Millis { return status.remaining }

// Rank returns the steward's rank among the candidates for the lease.
func (status LeaseStatus) Rank() int { return status.rank }
