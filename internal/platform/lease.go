package platform

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// LeaseRecord is the body of a lease object.
type LeaseRecord struct {
	holder      string
	incarnation string
	writeID     string
	duration    clock.Millis
	released    bool
}

// NewLeaseRecord returns the record of a holder. The incarnation differs with
// each start of a process, and write with each write.
func NewLeaseRecord(holder, incarnation, write string, duration clock.Millis) LeaseRecord {
	return LeaseRecord{holder: holder, incarnation: incarnation, writeID: write, duration: duration}
}

// Holder returns the name of the host that holds the lease.
func (record LeaseRecord) Holder() string { return record.holder }

// Incarnation returns which start of the holder's process took the lease.
func (record LeaseRecord) Incarnation() string { return record.incarnation }

// WriteID returns the identity of the write that stored the record.
func (record LeaseRecord) WriteID() string { return record.writeID }

// Duration returns how long the lease lasts from each renewal.
func (record LeaseRecord) Duration() clock.Millis { return record.duration }

// Released reports whether the holder gave the lease back.
func (record LeaseRecord) Released() bool { return record.released }

// WithReleased returns a copy that says whether the lease was given back.
func (record LeaseRecord) WithReleased(released bool) LeaseRecord {
	record.released = released
	return record
}

// Holding is a period over which one process holds a lease without a break.
type Holding struct {
	fence int64
	since clock.Millis
	until clock.Millis
}

// Fence returns the fencing number, which is the version of the lease object
// at which the period began. It stays the same over renewals.
func (holding Holding) Fence() int64 { return holding.fence }

// Since returns when the process learned that it holds the lease.
func (holding Holding) Since() clock.Millis { return holding.since }

// Until returns when the holding ends unless it is renewed.
func (holding Holding) Until() clock.Millis { return holding.until }

// HeldFor reports whether the holding began at least longest ago. A holder waits
// for the longest order before its first one to a peer that ignores fencing
// numbers, so that a predecessor's last order has ended by then.
func (holding Holding) HeldFor(now, duration clock.Millis) bool {
	return now >= holding.since+duration
}

// Lease is one process's view of one lease object.
//
// No clock is compared between hosts. A holder counts its lease from the
// moment before it sent the write that took or renewed it. Anyone else takes
// the lease only after seeing the same version unchanged, on its own clock,
// for the whole duration that the record names. As the other's observation
// begins after the holder's write, the holder's count always ends first:
//
//	holder      sends renewal at 0 ms ... holds until 10,000 ms
//	challenger  sees it at 40 ms      ... may take it from 10,040 ms
//
// A write whose answer was lost is settled by reading back. An object that
// carries this process's incarnation may be renewed by it at any time, as the
// condition of the write proves that nobody took the lease in between. Until
// that renewal the holder goes by its earlier count.
//
// Keep and Release are called by one goroutine at a time; Holding and Covers
// by any.
type Lease struct {
	clock          *clock.Clock
	name           string
	holder         string
	incarnation    string
	duration       clock.Millis
	read           func(ctx context.Context, name string) (LeaseRecord, int64, error)
	write          func(ctx context.Context, name string, record LeaseRecord, condition int64) (int64, error)
	holding        atomic.Pointer[Holding]
	record         atomic.Pointer[LeaseRecord]
	known          bool
	version        int64
	observedAt     clock.Millis
	outcomeUnknown bool
	serial         int64
	exclusiveHost  bool
}

// NewLease returns a view that has observed nothing yet. The function read
// returns the record and the version of the object, with VersionNone if there
// is no object; write stores a record under the condition and returns the new
// version. Their errors are those of Store.Get and Store.Put.
func NewLease(
	clock *clock.Clock, name, holder, incarnation string, duration clock.Millis,
	read func(ctx context.Context, name string) (LeaseRecord, int64, error),
	write func(ctx context.Context, name string, record LeaseRecord, condition int64) (int64, error),
) *Lease {
	return &Lease{clock: clock, name: name, holder: holder, incarnation: incarnation, duration: duration, read: read, write: write}
}

// WithExclusiveHost returns the lease of a process that is the only one on its host:
// whatever held the lease there before has ended, so it need not be waited for.
// It is called before the lease is in use.
func (lease *Lease) WithExclusiveHost() *Lease {
	lease.exclusiveHost = true
	return lease
}

// Name returns the name of the lease object.
func (lease *Lease) Name() string { return lease.name }

// Record returns the record last observed, and false if there was none.
func (lease *Lease) Record() (LeaseRecord, bool) {
	record := lease.record.Load()
	if record == nil {
		return LeaseRecord{}, false
	}
	return *record, true
}

// Holding returns the current period of holding, and false if the lease is not
// held at this moment.
func (lease *Lease) Holding() (Holding, bool) {
	holding := lease.holding.Load()
	if holding == nil || lease.clock.Now() >= holding.until {
		return Holding{}, false
	}
	return *holding, true
}

// Covers reports whether the period with the fencing number goes on for at
// least the margin from this moment. It is asked at the very moment of acting.
func (lease *Lease) Covers(fence int64, margin clock.Millis) bool {
	holding, held := lease.Holding()
	return held && holding.fence == fence && lease.clock.Now()+margin < holding.until
}

// AcquireOrRenew renews a held lease, or takes one that has been free for holdBack. It
// returns the platform's error if the outcome is not known; a lease that
// another process has is no error.
func (lease *Lease) AcquireOrRenew(ctx context.Context, takeoverDelay clock.Millis) error {
	_, held := lease.Holding()
	if !held || lease.outcomeUnknown {
		if err := lease.refresh(ctx); err != nil {
			return err
		}
		_, held = lease.Holding()
	}
	if !held && !lease.mayAcquire(takeoverDelay) {
		return nil
	}
	record := lease.nextRecord()
	sentAt := lease.clock.Now()
	version, err := lease.write(ctx, lease.name, record, lease.version)
	return lease.handleWriteResult(record, version, sentAt, err)
}

// Release gives a held lease back, so that a successor need not wait. Orders
// under the lease must have ended before.
func (lease *Lease) Release(ctx context.Context) error {
	held := lease.holding.Swap(nil)
	if held == nil {
		return nil
	}
	record := lease.nextRecord().WithReleased(true)
	version, err := lease.write(ctx, lease.name, record, lease.version)
	if err != nil {
		return err
	}
	lease.observe(record, version)
	return nil
}

func (lease *Lease) nextRecord() LeaseRecord {
	lease.serial++
	return NewLeaseRecord(lease.holder, lease.incarnation, lease.incarnation+"."+strconv.FormatInt(lease.serial, 10), lease.duration)
}

// refresh reads the object and settles writes whose answers were lost.
func (lease *Lease) refresh(ctx context.Context) error {
	record, version, err := lease.read(ctx, lease.name)
	if err != nil {
		return err
	}
	if lease.known && version == lease.version {
		return nil
	}
	lease.observe(record, version)
	if record.incarnation != lease.incarnation {
		lease.holding.Store(nil)
	}
	return nil
}

// observe takes in a version of the object. Writes under an older version can
// no longer take effect.
func (lease *Lease) observe(record LeaseRecord, version int64) {
	lease.known = true
	lease.version = version
	lease.observedAt = lease.clock.Now()
	lease.outcomeUnknown = false
	lease.record.Store(&record)
}

func (lease *Lease) mayAcquire(takeoverDelay clock.Millis) bool {
	record, _ := lease.Record()
	if !lease.known {
		return false
	}
	elapsed := lease.clock.Now() - lease.observedAt
	switch {
	case lease.version == VersionNone || record.released:
		return elapsed >= takeoverDelay
	case record.incarnation == lease.incarnation, lease.exclusiveHost && record.holder == lease.holder:
		return true
	default:
		return elapsed >= max(record.duration, lease.duration)+takeoverDelay
	}
}

func (lease *Lease) handleWriteResult(record LeaseRecord, version int64, sentAt clock.Millis, err error) error {
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		lease.observe(record, version)
		lease.startOrExtend(version, sentAt)
	case errors.As(err, &conflict) && !lease.outcomeUnknown:
		lease.holding.Store(nil)
		lease.known = false
		return nil
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown():
		lease.outcomeUnknown = true
	}
	return err
}

// startOrExtend starts a period of holding, or extends one that has not ended.
func (lease *Lease) startOrExtend(version int64, sentAt clock.Millis) {
	next := Holding{fence: version, since: lease.clock.Now(), until: sentAt + lease.duration}
	if current, held := lease.Holding(); held {
		next.fence, next.since = current.fence, current.since
	}
	lease.holding.Store(&next)
}

// HostsLease returns the name of the lease under which the hosts of a pool are
// started and given back.
func HostsLease(pool string) string { return "hosts." + pool }

// OrdersLease returns the name of the lease under which the runners of a pool
// in a data centre get orders.
func OrdersLease(pool, dataCentre string) string { return "orders." + pool + "." + dataCentre }
