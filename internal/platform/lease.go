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
	era         int64
	released    bool
}

// NewLeaseRecord returns the record of a holder. The incarnation is unique to
// each start of a process, writeID to each write.
func NewLeaseRecord(holder, incarnation, writeID string, duration clock.Millis) LeaseRecord {
	return LeaseRecord{holder: holder, incarnation: incarnation, writeID: writeID, duration: duration}
}

// Holder returns the name of the host that holds the lease.
func (record LeaseRecord) Holder() string { return record.holder }

// Incarnation returns the incarnation of the process that acquired the lease.
func (record LeaseRecord) Incarnation() string { return record.incarnation }

// WriteID returns the ID of the write that stored the record.
func (record LeaseRecord) WriteID() string { return record.writeID }

// Duration returns the duration of the lease, counted from each renewal.
func (record LeaseRecord) Duration() clock.Millis { return record.duration }

// Era returns the era of the store in which the record was written.
func (record LeaseRecord) Era() int64 { return record.era }

// InEra returns a copy that was written in the era of the store.
func (record LeaseRecord) InEra(era int64) LeaseRecord {
	record.era = era
	return record
}

// Released reports whether the holder released the lease.
func (record LeaseRecord) Released() bool { return record.released }

// WithReleased returns a copy in which Released reports the value.
func (record LeaseRecord) WithReleased(released bool) LeaseRecord {
	record.released = released
	return record
}

// Holding is a period in which one process holds a lease without interruption.
type Holding struct {
	fence int64
	since clock.Millis
	until clock.Millis
}

// Fence returns the fencing token, which is the version of the lease object at
// which the period began. Renewals don't change it.
func (holding Holding) Fence() int64 { return holding.fence }

// Since returns the time at which the process received the result of the write
// that acquired the lease.
func (holding Holding) Since() clock.Millis { return holding.since }

// Until returns the time at which the period ends unless the lease is renewed.
func (holding Holding) Until() clock.Millis { return holding.until }

// HeldFor reports whether the period began at least the duration before now. Before its
// first order to a server that ignores fencing tokens, a holder waits for the
// maximum duration of an order, so that its predecessor's last order has ended.
func (holding Holding) HeldFor(now, duration clock.Millis) bool {
	return now >= holding.since+duration
}

// Lease is one process's view of one lease object.
//
// The clocks of different hosts are never compared. A holder counts the duration
// from just before it sent the write that acquired or renewed the lease. Any
// other process acquires the lease only after it has seen the same version
// unchanged, on its own clock, for the whole duration in the record. As that
// observation begins after the holder's write, the holder's period always ends
// first:
//
//	holder      sends renewal at 0 ms ... holds until 10,000 ms
//	challenger  reads it at 40 ms     ... may acquire it from 10,040 ms
//
// A store that is restored from an older copy loses records. The one that it then has
// was written in an earlier era and shows nothing about who holds the lease, so any
// other process waits the whole duration from when it first saw the new era. The holder
// writes its record again if its period has not ended by then. Versions contain the era,
// so the fencing token of each later holder is higher.
//
// The outcome of a write whose response was lost is found by reading the object
// back. A process may renew an object that has its incarnation at any time, as
// the condition of the write proves that no other process has acquired the lease
// in between. Until that renewal the holder's earlier period stays valid.
//
// AcquireOrRenew and Release are called by one goroutine at a time; Holding and
// Covers are safe for concurrent use.
type Lease struct {
	clock       *clock.Clock
	name        string
	holder      string
	incarnation string
	duration    clock.Millis
	read        func(ctx context.Context, name string) (LeaseRecord, int64, error)
	write       func(ctx context.Context, name string, record LeaseRecord, condition int64) (int64, error)
	holding     atomic.Pointer[Holding]
	record      atomic.Pointer[LeaseRecord]
	// versionKnown is set while version is that of the last object read or written.
	// It is cleared when a write was refused because of another version.
	versionKnown bool
	version      int64
	// observedAt is the time at which version was first read or written.
	observedAt clock.Millis
	// outcomeUnknown is set after a write whose response was lost, until another
	// version is read or written.
	outcomeUnknown bool
	serial         int64
	exclusiveHost  bool
}

// NewLease returns a view that has not read the object yet. The function read
// returns the record and the version of the object, with a version without a revision if
// there is no object; write stores a record under the condition and returns the new
// version. Their errors are those of Store.Get and Store.Put.
func NewLease(
	clock *clock.Clock, name, holder, incarnation string, duration clock.Millis,
	read func(ctx context.Context, name string) (LeaseRecord, int64, error),
	write func(ctx context.Context, name string, record LeaseRecord, condition int64) (int64, error),
) *Lease {
	return &Lease{clock: clock, name: name, holder: holder, incarnation: incarnation, duration: duration, read: read, write: write}
}

// WithExclusiveHost marks the process as the only one on its host and returns the
// lease. An earlier holder on that host has ended, so the process does not wait
// for its lease to expire. It must be called before the lease is in use.
func (lease *Lease) WithExclusiveHost() *Lease {
	lease.exclusiveHost = true
	return lease
}

// Name returns the name of the lease object.
func (lease *Lease) Name() string { return lease.name }

// Record returns the record last read or written, and false if there is none.
func (lease *Lease) Record() (LeaseRecord, bool) {
	record := lease.record.Load()
	if record == nil {
		return LeaseRecord{}, false
	}
	return *record, true
}

// Holding returns the current period in which the process holds the lease, and
// false if it does not hold it now.
func (lease *Lease) Holding() (Holding, bool) {
	holding := lease.holding.Load()
	if holding == nil || lease.clock.Now() >= holding.until {
		return Holding{}, false
	}
	return *holding, true
}

// Covers reports whether the period with the fencing token lasts for more than
// the margin from now. Callers check it immediately before they act.
func (lease *Lease) Covers(fence int64, margin clock.Millis) bool {
	holding, held := lease.Holding()
	return held && holding.fence == fence && lease.clock.Now()+margin < holding.until
}

// AcquireOrRenew renews a held lease, or acquires one that has been free for
// takeoverDelay. It returns the platform's error if a call fails; that another
// process holds the lease is not an error.
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
	if held && lease.hasLostRecord(ctx, err) {
		record, sentAt = lease.nextRecord(), lease.clock.Now()
		version, err = lease.write(ctx, lease.name, record, lease.version)
	}
	return lease.handleWriteResult(record, version, sentAt, err)
}

// hasLostRecord reports whether a renewal that ended with the error was refused only
// because the store lost this process's record, while its period goes on. It records
// the object that the store has instead.
func (lease *Lease) hasLostRecord(ctx context.Context, err error) bool {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || lease.outcomeUnknown {
		return false
	}
	record, version, err := lease.read(ctx, lease.name)
	if err != nil || !lease.isRestored(record, version) {
		return false
	}
	lease.observe(record, version)
	_, held := lease.Holding()
	return held
}

// isRestored reports whether the store was restored since this process last read or
// wrote the object, and nobody has written the object since.
func (lease *Lease) isRestored(record LeaseRecord, version int64) bool {
	return lease.versionKnown && EraOf(version) > EraOf(lease.version) && record.era != EraOf(version)
}

// Release releases a held lease, so that a successor need not wait for it to
// expire. Orders under the lease must have ended before.
func (lease *Lease) Release(ctx context.Context) error {
	previous := lease.holding.Swap(nil)
	if previous == nil {
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
	return NewLeaseRecord(lease.holder, lease.incarnation, lease.incarnation+"."+strconv.FormatInt(lease.serial, 10), lease.duration).
		InEra(EraOf(lease.version))
}

// refresh reads the object and finds the outcome of writes whose responses were
// lost.
func (lease *Lease) refresh(ctx context.Context) error {
	record, version, err := lease.read(ctx, lease.name)
	if err != nil {
		return err
	}
	if lease.versionKnown && version == lease.version {
		return nil
	}
	isRestored := lease.isRestored(record, version)
	lease.observe(record, version)
	if record.incarnation != lease.incarnation && !isRestored {
		lease.holding.Store(nil)
	}
	return nil
}

// observe records a version of the object. Writes conditional on an older version
// can no longer take effect.
func (lease *Lease) observe(record LeaseRecord, version int64) {
	lease.versionKnown = true
	lease.version = version
	lease.observedAt = lease.clock.Now()
	lease.outcomeUnknown = false
	lease.record.Store(&record)
}

func (lease *Lease) mayAcquire(takeoverDelay clock.Millis) bool {
	record, _ := lease.Record()
	if !lease.versionKnown {
		return false
	}
	elapsed := lease.clock.Now() - lease.observedAt
	isOver := elapsed >= max(record.duration, lease.duration)+takeoverDelay
	switch {
	case record.era != EraOf(lease.version):
		return isOver
	case RevisionOf(lease.version) == VersionNone || record.released:
		return elapsed >= takeoverDelay
	case record.incarnation == lease.incarnation, lease.exclusiveHost && record.holder == lease.holder:
		return true
	default:
		return isOver
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
		lease.versionKnown = false
		return nil
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown():
		lease.outcomeUnknown = true
	}
	return err
}

// startOrExtend starts a period of holding the lease, or extends the current one.
func (lease *Lease) startOrExtend(version int64, sentAt clock.Millis) {
	next := Holding{fence: version, since: lease.clock.Now(), until: sentAt + lease.duration}
	if current, held := lease.Holding(); held {
		next.fence, next.since = current.fence, current.since
	}
	lease.holding.Store(&next)
}

// HostsLease returns the name of the lease under which the hosts of a pool are
// started and returned.
func HostsLease(pool string) string { return "hosts." + pool }

// OrdersLease returns the name of the lease under which orders are sent to the
// runners of a pool in a data centre.
func OrdersLease(pool, dataCentre string) string { return "orders." + pool + "." + dataCentre }
