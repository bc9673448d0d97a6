package node

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// fellowLive is the age of a fellow node's latest bulletin up to which it
	// counts as live: several bulletins may be lost.
	fellowLive = 1500 * clock.Millisecond
	// fellowKept is how long a silent fellow node is still expected back, and its
	// share of limits left to it. A node that is cut off goes on serving.
	fellowKept = 20 * clock.Second
	// windowsKept is the number of windows of which runs are remembered.
	windowsKept = 8
)

// fellow is what is known of one fellow node.
type fellow struct {
	latest Bulletin
	at     clock.Millis
	offset clock.Millis
}

// windowKey is one process's count for an account in a window.
type windowKey struct {
	window      int64
	host        string
	incarnation int64
	account     string
}

// Fellows is what a node knows of its fellows from their bulletins. Hear and
// Expect belong to one goroutine; views may be taken from any.
type Fellows struct {
	host    string
	known   map[string]fellow
	windows map[windowKey]int64
	newest  int64
	view    atomic.Pointer[View]
}

// NewFellows returns the fellows of the node on the host, of whom nothing is
// known yet.
func NewFellows(host string) *Fellows {
	fellows := &Fellows{host: host, known: map[string]fellow{}, windows: map[windowKey]int64{}}
	fellows.view.Store(&View{})
	return fellows
}

// Expect records that there is a node on the host that hears at the address,
// though it has said nothing yet.
func (fellows *Fellows) Expect(host, address string, now clock.Millis) {
	if _, known := fellows.known[host]; known || host == fellows.host {
		return
	}
	fellows.known[host] = fellow{latest: Bulletin{host: host, address: address}, at: now - fellowLive}
	fellows.publish()
}

// Hear takes in a bulletin that came at the time, and returns what client
// accounts used at the sender since the one before, and what was asked of pools
// there. The first bulletin of a process that this node meets for the first time
// only sets the sums to count from. What was asked during a longer silence is
// left out, as it would look like a burst.
func (fellows *Fellows) Hear(bulletin Bulletin, now clock.Millis) (used, asked []Use) {
	known, ok := fellows.known[bulletin.host]
	older := ok && (bulletin.incarnation < known.latest.incarnation ||
		(bulletin.incarnation == known.latest.incarnation && bulletin.sequence <= known.latest.sequence))
	if bulletin.host == fellows.host || older {
		return nil, nil
	}
	if ok && known.latest.incarnation != 0 {
		same := known.latest.incarnation == bulletin.incarnation
		used = differences(known.latest.accounts, bulletin.accounts, same)
		if now-known.at < fellowLive {
			asked = differences(known.latest.pools, bulletin.pools, same)
		}
	}
	fellows.known[bulletin.host] = fellow{latest: bulletin, at: now, offset: bulletin.wall - now}
	fellows.hearWindows(bulletin)
	fellows.publish()
	return used, asked
}

// differences returns what was added to the sums, which began anew if they are
// not of the same process.
func differences(before, after []Use, same bool) []Use {
	sums := map[string]Use{}
	if same {
		for _, use := range before {
			sums[use.name] = use
		}
	}
	var added []Use
	for _, use := range after {
		sum := sums[use.name]
		if requests, tokens := use.requests-sum.requests, use.tokens-sum.tokens; requests != 0 || tokens != 0 {
			added = append(added, NewUse(use.name, requests, tokens))
		}
	}
	return added
}

func (fellows *Fellows) hearWindows(bulletin Bulletin) {
	for _, runs := range bulletin.windows {
		key := windowKey{window: runs.window, host: bulletin.host, incarnation: bulletin.incarnation, account: runs.account}
		fellows.windows[key] = max(fellows.windows[key], runs.runs)
		if runs.window > fellows.newest {
			fellows.newest = runs.window
			maps.DeleteFunc(fellows.windows, func(key windowKey, _ int64) bool {
				return key.window <= fellows.newest-windowsKept
			})
		}
	}
}

func (fellows *Fellows) publish() {
	view := &View{windows: maps.Clone(fellows.windows)}
	for _, known := range fellows.known {
		view.fellows = append(view.fellows, known)
	}
	slices.SortFunc(view.fellows, func(a, b fellow) int { return strings.Compare(a.latest.host, b.latest.host) })
	fellows.view.Store(view)
}

// View returns what is known now.
func (fellows *Fellows) View() *View { return fellows.view.Load() }

// View is what was known of fellow nodes at one time.
type View struct {
	fellows []fellow
	windows map[windowKey]int64
}

// Live returns the latest bulletins of the fellow nodes that are live, in order
// of host.
func (view *View) Live(now clock.Millis) []Bulletin {
	var live []Bulletin
	for _, known := range view.fellows {
		if known.isLive(now) {
			live = append(live, known.latest)
		}
	}
	return live
}

func (known fellow) isLive(now clock.Millis) bool {
	return now-known.at < fellowLive && !known.latest.stopping
}

// Addresses returns where to tell fellow nodes, including silent ones that may
// come back.
func (view *View) Addresses(now clock.Millis) []string {
	var addresses []string
	for _, known := range view.fellows {
		if now-known.at < fellowKept {
			addresses = append(addresses, known.latest.address)
		}
	}
	return addresses
}

// Nodes returns the number of nodes that share limits, this one included: all
// that are live or may come back.
func (view *View) Nodes(now clock.Millis) int {
	return 1 + view.count(func(known fellow) bool { return now-known.at < fellowKept && !known.latest.stopping })
}

// Heard returns the number of live nodes, this one included.
func (view *View) Heard(now clock.Millis) int {
	return 1 + view.count(func(known fellow) bool { return known.isLive(now) })
}

func (view *View) count(matches func(fellow) bool) int {
	count := 0
	for _, known := range view.fellows {
		if matches(known) {
			count++
		}
	}
	return count
}

// TrueTime returns the time of day on which most nodes agree, at the moment
// now of this node's clock, whose own time of day is wall. Each node's time of
// day is an offset to this node's clock; the median of them is taken, so that
// no minority of false clocks moves it.
func (view *View) TrueTime(now, wall clock.Millis) clock.Millis {
	offsets := []clock.Millis{wall - now}
	for _, known := range view.fellows {
		if known.isLive(now) {
			offsets = append(offsets, known.offset)
		}
	}
	slices.Sort(offsets)
	return now + offsets[len(offsets)/2]
}

// Runs returns how many requests of each client account began to run in the
// window at fellow nodes, also at those that have ended since.
func (view *View) Runs(window int64) map[string]int64 {
	runs := map[string]int64{}
	for key, count := range view.windows {
		if key.window == window {
			runs[key.account] += count
		}
	}
	return runs
}

// WorkAt returns the attempts and the waiting prompt tokens of live fellow
// nodes, by the hash of a server's key.
func (view *View) WorkAt(now clock.Millis) map[uint64]ServerWork {
	sums := map[uint64]ServerWork{}
	for _, known := range view.fellows {
		if !known.isLive(now) {
			continue
		}
		for _, work := range known.latest.servers {
			sum := sums[work.server]
			sums[work.server] = NewServerWork(work.server, sum.attempts+work.attempts, sum.tokens+work.tokens)
		}
	}
	return sums
}
