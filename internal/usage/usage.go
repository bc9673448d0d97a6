// Package usage counts the requests for which client accounts are charged: those
// that began to run in each window of true time. Every node counts its own
// requests; the lease holder adds up the counts and reports each window once.
//
// A repeated report must not differ from an earlier one of the same window. So a
// lease holder commits a window's counts to the platform before it sends them, and
// its successor sends the committed counts:
//
//	A commits window 7 {garage: 412}, sends it, gets no response, crashes
//	B reads window 7 {garage: 412}, sends the same, continues with window 8
package usage

import (
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// settleDelay is the time from a window's end until its counts are added up. It
// leaves time for the bulletins of all nodes to arrive.
const settleDelay = 1200 * clock.Millisecond

// retainedWindows is the number of windows whose counts a node keeps and reports
// to its peers.
const retainedWindows = 4

// WindowAt returns the number of the window that contains the time.
func WindowAt(trueTime, length clock.Millis) int64 { return int64(trueTime / length) }

// LatestSettled returns the latest window that may have been reported by the time: one
// whose runs all nodes have had time to tell.
func LatestSettled(trueTime, length clock.Millis) int64 {
	return WindowAt(trueTime-settleDelay, length) - 1
}

// IsPlausible reports whether the window can have been reported by the time, of which the
// nodes may be a window apart. A wrong clock must not end the reports of all nodes.
func IsPlausible(window int64, trueTime, length clock.Millis) bool {
	return window <= WindowAt(trueTime, length)
}

// NextDue returns the first window after the last reported one that can be
// reported at the time, and false if there is none. Windows whose report would be
// later than maxDelay are skipped.
func NextDue(last int64, trueTime, length, maxDelay clock.Millis) (int64, bool) {
	newest := LatestSettled(trueTime, length)
	oldest := WindowAt(trueTime-maxDelay, length)
	next := max(last+1, oldest)
	return next, next <= newest
}

type counterKey struct {
	window  int64
	account string
}

// Counter counts the runs of one node. It is safe for concurrent use.
type Counter struct {
	runs sync.Map // key to *atomic.Int64.
}

// NewCounter returns a counter without runs.
func NewCounter() *Counter { return &Counter{} }

// Count counts a request of the account that began to run in the window.
func (counter *Counter) Count(window int64, account string) {
	key := counterKey{window: window, account: account}
	runs, ok := counter.runs.Load(key)
	if !ok {
		runs, _ = counter.runs.LoadOrStore(key, &atomic.Int64{})
	}
	runs.(*atomic.Int64).Add(1)
}

// Each calls visit for each account and retained window, and drops older windows.
// The number of the current window is current.
func (counter *Counter) Each(current int64, visit func(window int64, account string, runs int64)) {
	counter.runs.Range(func(key, runs any) bool {
		pair := key.(counterKey)
		if pair.window <= current-retainedWindows {
			counter.runs.Delete(key)
			return true
		}
		visit(pair.window, pair.account, runs.(*atomic.Int64).Load())
		return true
	})
}

// Record is the latest window with committed counts.
type Record struct {
	window int64
	counts map[string]int64
}

// NewRecord returns the record of a window.
func NewRecord(window int64, counts map[string]int64) Record {
	return Record{window: window, counts: counts}
}

// Window returns the number of the window.
func (record Record) Window() int64 { return record.window }

// Counts returns the runs by account. Callers must not change the map.
func (record Record) Counts() map[string]int64 { return record.counts }
