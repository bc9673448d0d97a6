package node

import (
	"slices"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// expectedAge is how long a silent peer keeps its share of limits, as a node that is
// cut off from its peers still serves requests.
const expectedAge = 20 * clock.Second

// listedIntervals is the number of intervals of idle nodes for which bulletins are sent
// to a lost peer each time the list of nodes shows it.
const listedIntervals = 2

// peer is the state of one peer, from its bulletins.
type peer struct {
	latest     Bulletin
	receivedAt clock.Millis
	// listedAt is when the list of nodes last showed the peer while it was silent for
	// longer than expectedAge.
	listedAt    clock.Millis
	clockOffset clock.Millis
	accounts    map[string]Usage
	pools       map[string]Usage
	runs        map[windowAccount]int64
	sent        map[uint64]int64
}

// Peers is the state of a node's peers, from their bulletins. Receive, Add and
// Publish belong to one goroutine; views may be taken from any.
type Peers struct {
	host   string
	byHost map[string]*peer
	tally  *tally
	view   atomic.Pointer[PeerView]
}

// NewPeers returns an empty set of peers of the node on the host.
func NewPeers(host string) *Peers {
	peers := &Peers{host: host, byHost: map[string]*peer{}, tally: newTally()}
	peers.Publish()
	return peers
}

// Add adds a listed peer that receives bulletins at the address. A peer that was silent
// for so long that no more bulletins are sent to it gets some again, or two nodes that
// lost contact with each other would never regain it.
func (peers *Peers) Add(host, address string, now clock.Millis) {
	if host == peers.host {
		return
	}
	if known := peers.byHost[host]; known != nil {
		if now-known.receivedAt >= expectedAge {
			known.latest.address, known.listedAt = address, now
		}
		return
	}
	peers.byHost[host] = newPeer(Bulletin{host: host, address: address}, now-peers.liveAge())
}

// liveAge returns the age up to which a peer counts as live.
func (peers *Peers) liveAge() clock.Millis { return LiveAge(len(peers.byHost) + 1) }

func newPeer(latest Bulletin, receivedAt clock.Millis) *peer {
	peer := &peer{latest: latest, receivedAt: receivedAt}
	peer.resetSums()
	return peer
}

// resetSums resets the sums to 0 for a new process of the peer.
func (peer *peer) resetSums() {
	peer.accounts, peer.pools, peer.runs = map[string]Usage{}, map[string]Usage{}, map[windowAccount]int64{}
	peer.sent = map[uint64]int64{}
}

// Increase is what has happened at a peer since its previous bulletin.
type Increase struct {
	used         []Usage
	demanded     []Usage
	sent         map[uint64]int64
	afterSilence bool
}

// Used returns the usage of client accounts.
func (increase Increase) Used() []Usage { return increase.used }

// Demanded returns the demand for pools. Demand during a longer silence is left out, as
// it would look like a burst.
func (increase Increase) Demanded() []Usage { return increase.demanded }

// Sent returns the requests sent to servers with limits, by the hash of their keys, and
// nil if the bulletin is not the sender's latest one.
func (increase Increase) Sent() map[uint64]int64 { return increase.sent }

// AfterSilence reports whether the peer had not counted as live before the bulletin.
func (increase Increase) AfterSilence() bool { return increase.afterSilence }

// Receive applies a bulletin that arrived at the time, and returns the increase since the
// sender's previous one. The first bulletin from a host only sets the sums to count from;
// a new process on a known host counts from 0.
func (peers *Peers) Receive(bulletin Bulletin, now clock.Millis) Increase {
	if bulletin.host == peers.host {
		return Increase{}
	}
	peer, ok := peers.byHost[bulletin.host]
	if !ok {
		peer = newPeer(Bulletin{}, now)
		peers.byHost[bulletin.host] = peer
	}
	seenBefore, silence := peer.latest.incarnation != 0, now-peer.receivedAt
	// A process whose host's clock has jumped back has a lower number than the one before.
	isOtherProcess := bulletin.incarnation != peer.latest.incarnation && silence >= peers.liveAge()
	if !bulletin.newerThan(peer.latest) && !isOtherProcess {
		return Increase{}
	}
	if bulletin.incarnation != peer.latest.incarnation {
		peer.resetSums()
	}
	increase := Increase{
		used: additions(peer.accounts, bulletin.accounts), demanded: additions(peer.pools, bulletin.pools), afterSilence: silence >= peers.liveAge(),
	}
	peer.latest, peer.receivedAt, peer.clockOffset = bulletin, now, bulletin.wall-now
	peers.tally.add(peer.runs, bulletin.windows)
	increase.sent = peer.addSent(bulletin.serverLimits)
	if !seenBefore {
		return Increase{}
	}
	if increase.afterSilence {
		increase.demanded = nil
	}
	return increase
}

// addSent returns the increase of the requests sent to servers with limits, and stores
// the latest sums.
func (peer *peer) addSent(limits []ServerLimit) map[uint64]int64 {
	added := map[uint64]int64{}
	for _, limit := range limits {
		if increase := limit.sent - peer.sent[limit.server]; increase > 0 {
			added[limit.server] = increase
			peer.sent[limit.server] = limit.sent
		}
	}
	return added
}

// additions returns the increase of the latest sums over the stored ones, and
// stores the latest.
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

// Publish makes the received state visible in views. Its cost grows with the
// number of nodes, so bulletins that arrive together are published together.
func (peers *Peers) Publish() {
	view := &PeerView{peers: make([]peerState, 0, len(peers.byHost)), tally: peers.tally, liveAge: peers.liveAge()}
	for _, peer := range peers.byHost {
		view.peers = append(view.peers, peerState{latest: peer.latest, receivedAt: peer.receivedAt, listedAt: peer.listedAt, clockOffset: peer.clockOffset})
	}
	slices.SortFunc(view.peers, func(a, b peerState) int { return strings.Compare(a.latest.host, b.latest.host) })
	peers.view.Store(view)
}

// View returns the latest published view.
func (peers *Peers) View() *PeerView { return peers.view.Load() }

// peerState is the state of one peer in a view.
type peerState struct {
	latest      Bulletin
	receivedAt  clock.Millis
	listedAt    clock.Millis
	clockOffset clock.Millis
}

// PeerView is the state of the peers at one time.
type PeerView struct {
	peers   []peerState
	tally   *tally
	liveAge clock.Millis
}

// peer returns the state of the peer on the host.
func (view *PeerView) peer(host string) (peerState, bool) {
	index, ok := slices.BinarySearchFunc(view.peers, host, func(state peerState, host string) int { return strings.Compare(state.latest.host, host) })
	if !ok {
		return peerState{}, false
	}
	return view.peers[index], true
}

// Live returns the latest bulletins of the live peers, in order of host.
func (view *PeerView) Live(now clock.Millis) []Bulletin {
	var live []Bulletin
	for _, state := range view.peers {
		if view.isLive(state, now) {
			live = append(live, state.latest)
		}
	}
	return live
}

func (view *PeerView) isLive(state peerState, now clock.Millis) bool {
	return now-state.receivedAt < view.liveAge && !state.latest.stopping
}

// Receivers returns the peers to which bulletins are sent, including silent ones that
// may come back, and for a short time lost ones that are still listed.
func (view *PeerView) Receivers(now clock.Millis) []Receiver {
	var receivers []Receiver
	callTime := listedIntervals * BulletinInterval(len(view.peers)+1, true)
	for _, state := range view.peers {
		if now-state.receivedAt < expectedAge || (state.listedAt != 0 && now-state.listedAt < callTime) {
			receivers = append(receivers, NewReceiver(state.latest.host, state.latest.address))
		}
	}
	return receivers
}

// Nodes returns the number of nodes that share limits, this one included: those
// from which a bulletin arrived within expectedAge and that are not stopping.
func (view *PeerView) Nodes(now clock.Millis) int {
	return 1 + view.count(func(state peerState) bool { return now-state.receivedAt < expectedAge && !state.latest.stopping })
}

// Serving returns the number of nodes that may serve requests now, this one included: those
// that share limits, and stopping ones until their bulletins cease.
func (view *PeerView) Serving(now clock.Millis) int {
	return 1 + view.count(func(state peerState) bool { return view.isServing(state, now) })
}

func (view *PeerView) isServing(state peerState, now clock.Millis) bool {
	age := now - state.receivedAt
	return age < view.liveAge || (age < expectedAge && !state.latest.stopping)
}

// ServingHosts returns the hosts of the peers that may serve requests now, as Serving
// counts them.
func (view *PeerView) ServingHosts(now clock.Millis) []string {
	var hosts []string
	for _, state := range view.peers {
		if view.isServing(state, now) {
			hosts = append(hosts, state.latest.host)
		}
	}
	return hosts
}

// Hosts returns the hosts of the peers that share limits with this node, as Nodes counts
// them.
func (view *PeerView) Hosts(now clock.Millis) []string {
	var hosts []string
	for _, state := range view.peers {
		if now-state.receivedAt < expectedAge && !state.latest.stopping {
			hosts = append(hosts, state.latest.host)
		}
	}
	return hosts
}

// LiveCount returns the number of live nodes, this one included.
func (view *PeerView) LiveCount(now clock.Millis) int {
	return 1 + view.count(func(state peerState) bool { return view.isLive(state, now) })
}

// MeanAge returns the mean age of the latest bulletins of the live peers, or 0 if there
// are none. It rises before a peer that fell silent ceases to count as live.
func (view *PeerView) MeanAge(now clock.Millis) clock.Millis {
	live, sum := clock.Millis(0), clock.Millis(0)
	for _, state := range view.peers {
		if view.isLive(state, now) {
			live++
			sum += now - state.receivedAt
		}
	}
	return sum / max(1, live)
}

func (view *PeerView) count(matches func(peerState) bool) int {
	count := 0
	for _, state := range view.peers {
		if matches(state) {
			count++
		}
	}
	return count
}

// HearsAll reports whether there are peers, and a bulletin of each one that shares limits
// with this node arrived within the age.
func (view *PeerView) HearsAll(age, now clock.Millis) bool {
	nodes := view.Nodes(now)
	return nodes > 1 && nodes == 1+view.count(func(state peerState) bool { return now-state.receivedAt < age && !state.latest.stopping })
}

// TrueTime returns the time of day on which most nodes agree, where now is the
// time of this node's monotonic clock and wall its time of day. It adds to now the
// median offset of the live nodes' times of day, which no minority of wrong clocks
// can move.
func (view *PeerView) TrueTime(now, wall clock.Millis) clock.Millis {
	offsets := []clock.Millis{wall - now}
	for _, state := range view.peers {
		if view.isLive(state, now) {
			offsets = append(offsets, state.clockOffset)
		}
	}
	slices.Sort(offsets)
	return now + offsets[len(offsets)/2]
}

// Runs returns the number of requests of each client account that began to run
// in the window at peers, including peers that have ended since. Unlike the rest
// of the view it is always up to date.
func (view *PeerView) Runs(window int64) map[string]int64 { return view.tally.runs(window) }

// MaxUptime returns the longest time that a live peer's process had run when it sent
// its latest bulletin.
func (view *PeerView) MaxUptime(now clock.Millis) clock.Millis {
	longest := clock.Millis(0)
	for _, state := range view.peers {
		if view.isLive(state, now) {
			longest = max(longest, state.latest.uptime)
		}
	}
	return longest
}

// ConfirmsConfiguration reports whether live peers show that the version was the newest
// one at the store not longer than maxAge ago: one has read that no newer one exists,
// and none has a newer one.
func (view *PeerView) ConfirmsConfiguration(version int64, maxAge, now clock.Millis) bool {
	confirmed := false
	for _, state := range view.peers {
		if !view.isLive(state, now) {
			continue
		}
		if state.latest.configuration > version {
			return false
		}
		age := state.latest.configurationAge + now - state.receivedAt
		confirmed = confirmed || (state.latest.configuration == version && age <= maxAge)
	}
	return confirmed
}

// HasNewerConfiguration reports whether a live peer has a newer configuration than the
// version.
func (view *PeerView) HasNewerConfiguration(version int64, now clock.Millis) bool {
	for _, state := range view.peers {
		if view.isLive(state, now) && state.latest.configuration > version {
			return true
		}
	}
	return false
}

// Leaving returns the hashes of the keys of backend servers that live peers
// report as leaving.
func (view *PeerView) Leaving(now clock.Millis) map[uint64]bool {
	leaving := map[uint64]bool{}
	for _, state := range view.peers {
		if view.isLive(state, now) {
			for _, server := range state.latest.leaving {
				leaving[server] = true
			}
		}
	}
	return leaving
}

// Borrowers returns the hosts of those receivers that borrow from the allowances of
// others, by the hash of the server's key.
func (view *PeerView) Borrowers(receivers []Receiver, now clock.Millis) map[uint64][]string {
	borrowers := map[uint64][]string{}
	for _, receiver := range receivers {
		state, ok := view.peer(receiver.host)
		if !ok || !view.isLive(state, now) {
			continue
		}
		for _, limit := range state.latest.serverLimits {
			if limit.borrows {
				borrowers[limit.server] = append(borrowers[limit.server], state.latest.host)
			}
		}
	}
	return borrowers
}

// ServerWork returns the attempts and the waiting prompt tokens of live peers,
// by the hash of a server's key.
func (view *PeerView) ServerWork(now clock.Millis) map[uint64]ServerWork {
	sums := map[uint64]ServerWork{}
	for _, state := range view.peers {
		if !view.isLive(state, now) {
			continue
		}
		for _, work := range state.latest.servers {
			sum := sums[work.server]
			sums[work.server] = NewServerWork(work.server, sum.attempts+work.attempts, sum.tokens+work.tokens)
		}
	}
	return sums
}

// MeanReceivedAt returns the mean time at which the latest bulletins of live peers
// arrived, or now if there are none.
func (view *PeerView) MeanReceivedAt(now clock.Millis) clock.Millis {
	age, live := clock.Millis(0), clock.Millis(0)
	for _, state := range view.peers {
		if view.isLive(state, now) {
			age += now - state.receivedAt
			live++
		}
	}
	return now - age/max(1, live)
}
