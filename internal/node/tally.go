package node

import (
	"maps"
	"sync"
)

// retainedWindows is the number of windows whose runs are kept. Older windows can
// no longer be reported.
const retainedWindows = 8

// windowAccount is a client account in a window of true time.
type windowAccount struct {
	window  int64
	account string
}

// tally sums the runs of peers by window and account. The runs of a node that has
// ended remain in the sums. A lock suffices, as only the holder of the lease on
// leader tasks reads the sums, a few times per window.
type tally struct {
	mutex  sync.Mutex
	sums   map[int64]map[string]int64
	newest int64
}

func newTally() *tally { return &tally{sums: map[int64]map[string]int64{}} }

// add adds the runs that one process reported. counted holds its runs that were
// added before, and is updated.
func (tally *tally) add(counted map[windowAccount]int64, reported []WindowRuns) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	before := tally.newest
	for _, runs := range reported {
		key := windowAccount{window: runs.window, account: runs.account}
		if runs.window <= tally.newest-retainedWindows || runs.runs <= counted[key] {
			continue
		}
		if tally.sums[runs.window] == nil {
			tally.sums[runs.window] = map[string]int64{}
		}
		tally.sums[runs.window][runs.account] += runs.runs - counted[key]
		counted[key] = runs.runs
		tally.newest = max(tally.newest, runs.window)
	}
	if tally.newest > before {
		maps.DeleteFunc(tally.sums, func(window int64, _ map[string]int64) bool { return window <= tally.newest-retainedWindows })
	}
	maps.DeleteFunc(counted, func(key windowAccount, _ int64) bool { return key.window <= tally.newest-retainedWindows })
}

func (tally *tally) runs(window int64) map[string]int64 {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if runs := maps.Clone(tally.sums[window]); runs != nil {
		return runs
	}
	return map[string]int64{}
}
