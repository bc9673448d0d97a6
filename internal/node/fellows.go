package node

import (
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
)

// fellow is what is known of one fellow node.
type fellow struct {
	latest   Bulletin
	at       clock.Millis
	offset   clock.Millis
	accounts map[string]Usage
	pools    map[string]Usage
	runs     map[windowAccount]int64
}

// Peers is what a node knows of its fellows from their bulletins. Hear, Expect
// and Publish belong to one goroutine; views may be taken from any.
type Peers struct {
	host  string
	known map[string]*fellow
	tally *tally
	view  atomic.Pointer[PeerView]
}

// NewPeers returns the fellows of the node on the host, of whom nothing is
// known yet.
func NewPeers(host string) *Peers {
	peers := &Peers{host: host, known: map[string]*fellow{}, tally: newTally()}
	peers.Publish()
	return peers
}

// Add records that there is a node on the host that hears at the address,
// though it has said nothing yet.
func (peers *Peers) Add(host, address string, now clock.Millis) {
	if peers.known[host] != nil || host == peers.host {
		return
	}
	peers.known[host] = newFellow(Bulletin{host: host, address: address}, now-fellowLive)
}

func newFellow(latest Bulletin, at clock.Millis) *fellow {
	known := &fellow{latest: latest, at: at}
	known.begin()
	return known
}

// begin forgets sums, as those of a new process begin at nothing.
func (known *fellow) begin() {
	known.accounts, known.pools, known.runs = map[string]Usage{}, map[string]Usage{}, map[windowAccount]int64{}
}

// Receive takes in a bulletin that came at the time, and returns what client
// accounts used at the sender since the one before, and what was asked of pools
// there. The first bulletin of a process that this node meets for the first time
// only sets the sums to count from. What was asked during a longer silence is
// left out, as it would look like a burst.
func (peers *Peers) Receive(bulletin Bulletin, now clock.Millis) (used, asked []Usage) {
	if bulletin.host == peers.host {
		return nil, nil
	}
	known, ok := peers.known[bulletin.host]
	if !ok {
		known = newFellow(Bulletin{}, now)
		peers.known[bulletin.host] = known
	}
	if !bulletin.follows(known.latest) {
		return nil, nil
	}
	met, silence := known.latest.incarnation != 0, now-known.at
	if bulletin.incarnation != known.latest.incarnation {
		known.begin()
	}
	used, asked = additions(known.accounts, bulletin.accounts), additions(known.pools, bulletin.pools)
	known.latest, known.at, known.offset = bulletin, now, bulletin.wall-now
	peers.tally.add(known.runs, bulletin.windows)
	if !met {
		return nil, nil
	}
	if silence >= fellowLive {
		asked = nil
	}
	return used, asked
}

// additions returns what was added to the sums, and keeps the new ones.
func additions(sums map[string]Usage, latest []Usage) []Usage {
	var added []Usage
	for _, usage := range latest {
		sum := sums[usage.name]
		if requests, tokens := usage.requests-sum.requests, usage.tokens-sum.tokens; requests != 0 || tokens != 0 {
			added = append(added, NewUsage(usage.name, requests, tokens))
			sums[usage.name] = usage
		}
	}
	return added
}

// Publish puts what was heard in force. It costs as much as there are nodes, so
// bulletins that come together are published together.
func (peers *Peers) Publish() {
	view := &PeerView{fellows: make([]heard, 0, len(peers.known)), tally: peers.tally}
	for _, known := range peers.known {
		view.fellows = append(view.fellows, heard{latest: known.latest, at: known.at, offset: known.offset})
	}
	slices.SortFunc(view.fellows, func(a, b heard) int { return strings.Compare(a.latest.host, b.latest.host) })
	peers.view.Store(view)
}

// View returns what is known now.
func (peers *Peers) View() *PeerView { return peers.view.Load() }

// heard is what a view holds of one fellow node.
type heard struct {
	latest Bulletin
	at     clock.Millis
	offset clock.Millis
}

// PeerView is what was known of fellow nodes at one time.
type PeerView struct {
	fellows []heard
	tally   *tally
}

// Live returns the latest bulletins of the fellow nodes that are live, in order
// of host.
func (view *PeerView) Live(now clock.Millis) []Bulletin {
	var live []Bulletin
	for _, known := range view.fellows {
		if known.isLive(now) {
			live = append(live, known.latest)
		}
	}
	return live
}

func (known heard) isLive(now clock.Millis) bool {
	return now-known.at < fellowLive && !known.latest.stopping
}

// Addresses returns where to tell fellow nodes, including silent ones that may
// come back.
func (view *PeerView) Addresses(now clock.Millis) []string {
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
func (view *PeerView) Nodes(now clock.Millis) int {
	return 1 + view.count(func(known heard) bool { return now-known.at < fellowKept && !known.latest.stopping })
}

// LiveCount returns the number of live nodes, this one included.
func (view *PeerView) LiveCount(now clock.Millis) int {
	return 1 + view.count(func(known heard) bool { return known.isLive(now) })
}

func (view *PeerView) count(matches func(heard) bool) int {
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
func (view *PeerView) TrueTime(now, wall clock.Millis) clock.Millis {
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
// window at fellow nodes, also at those that have ended since. It is up to date
// where the rest of the view is of one moment.
func (view *PeerView) Runs(window int64) map[string]int64 { return view.tally.runs(window) }

// MaxSequence returns how many bulletins the live fellow node has sent that has
// sent most since its start.
func (view *PeerView) MaxSequence(now clock.Millis) int64 {
	most := int64(0)
	for _, known := range view.fellows {
		if known.isLive(now) {
			most = max(most, known.latest.sequence)
		}
	}
	return most
}

// Leaving returns the hashes of the keys of backend servers of which live fellow
// nodes say that they leave.
func (view *PeerView) Leaving(now clock.Millis) map[uint64]bool {
	leaving := map[uint64]bool{}
	for _, known := range view.fellows {
		if known.isLive(now) {
			for _, server := range known.latest.leaving {
				leaving[server] = true
			}
		}
	}
	return leaving
}

// ServerWork returns the attempts and the waiting prompt tokens of live fellow
// nodes, by the hash of a server's key.
func (view *PeerView) ServerWork(now clock.Millis) map[uint64]ServerWork {
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
