// Package node holds a node's view of its peers and the decisions on it: which
// members are live, with whom to exchange gossip, which version of the tables
// each has active, and which backend servers any of them reports as leaving.
//
// Every node keeps a few links to peers, chosen by rendezvous hashing, and
// exchanges a digest of fixed size with one of them in each gossip round.
// Urgent updates (a node starts, stops or goes silent, or a server is leaving)
// are pushed to all links at once by each node that receives them for the first
// time, so they reach every node in a few hops. A node that activates newer
// tables pushes its own state, and so does each node that fetches them from it.
// All other updates are sent in the gossip rounds, in rotation, which also
// repairs losses: a digest has one sum over the members and one over the evidence
// of leaving servers, and a node whose own sums differ queries for all of them.
//
// No node monitors heartbeats of all others: a node that cannot reach a link
// reports it as silent, with the sequence of its latest known update. Only the
// member itself raises its sequence, when its state changes or when it refutes a
// wrong report that it is silent. For example:
//
//	a can't reach c:        c silent at sequence 4   (pushed by all)
//	c receives the report:  c live at sequence 5     (pushed by all)
//
// Updates of a member are ordered by incarnation and then by sequence, both set
// by the member itself, so an older update never replaces a newer one on any
// path.
package node

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// failuresToSilent is the number of consecutive failed calls, each over another
	// connection, after which a member counts as silent.
	failuresToSilent = 2
	// maxPeerSilence is the maximum time since a node's last contact with a peer at
	// which it may report another one as silent. A node without any contact is
	// probably cut off itself.
	maxPeerSilence = 5 * clock.Second
	// overdueAge is how long a member that used to start gossip rounds with this
	// node may pause before this node calls it.
	overdueAge = 12 * clock.Second
	// silentAge is how long a silent member is kept, so that the parts of a
	// partitioned deployment can reconnect.
	silentAge = 30 * clock.Minute
	// propagationDelay is the time in which an update normally reaches all nodes.
	propagationDelay = 3 * clock.Second
	// memberQueryInterval is the minimum time between two queries for all members.
	memberQueryInterval = 10 * clock.Second
	// stoppingAge is how long a stopping member is kept.
	stoppingAge = 2 * clock.Minute
)

// record is a member with this node's state for its propagation and failures.
type record struct {
	// member is replaced and never changed, as views share it.
	member *Member
	// hash is the hash of the member's host and incarnation.
	hash uint64
	// sentCount counts the digests with the latest update, and pushed is set once
	// it was pushed to all links.
	sentCount int
	pushed    bool
	// changedAt is when the member became live, stopping or silent.
	changedAt clock.Millis
	// lastRound is when the member last started a gossip round with this node, or
	// 0.
	lastRound clock.Millis
	failures  int
}

// Members publishes the known members. Its methods may be called from any
// goroutine; Live and the other views take no lock.
type Members struct {
	clock       *clock.Clock
	self        func() Member
	random      func(n int) int
	seeds       []string
	mutex       sync.Mutex
	records     map[string]*record
	hosts       []string
	cursor      int
	sequence    int64
	lastSelf    Member
	rounds      int
	lastContact atomic.Int64
	leaving     *leavingServers
	view        atomic.Pointer[memberView]
	// changedAt is when this node last applied that a member started, stopped, went
	// silent or came back, and lastQuery when it last queried for all members.
	changedAt clock.Millis
	lastQuery clock.Millis
}

// memberView is an immutable snapshot of the live members.
type memberView struct {
	live    []*Member
	links   []Member
	watcher bool
	// sum is the exclusive or of the hashes of the live members.
	sum uint64
}

// NewMembers returns an empty set. Self returns this node's own state without a
// sequence, random a number from 0 to n-1, and seeds are the addresses of peers
// to begin with.
func NewMembers(clock *clock.Clock, self func() Member, random func(n int) int, seeds []string) *Members {
	members := &Members{clock: clock, self: self, random: random, seeds: seeds, records: map[string]*record{}, leaving: newLeavingServers()}
	members.view.Store(&memberView{watcher: true})
	return members
}

// Apply applies a digest. Periodic is set if the sender sent it in a gossip
// round, rather than in reply or as a push. Urgent is set if it holds updates
// that have to be pushed at once; leaving is the evidence that is new to this
// node.
func (members *Members) Apply(digest Digest, periodic bool) (urgent bool, leaving []LeavingEvidence) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.clock.Now()
	structural, newer := members.applyMember(digest.sender, now)
	if sender, ok := members.records[digest.sender.host]; ok {
		members.lastContact.Store(int64(now))
		sender.failures = 0
		if periodic {
			sender.lastRound = now
		}
		if sender.member.silent {
			sender.sentCount, sender.pushed = 0, false
		}
	}
	for _, member := range digest.members {
		isStructural, isNewer := members.applyMember(member, now)
		structural, newer = structural || isStructural, newer || isNewer
	}
	for _, evidence := range digest.leaving {
		if members.leaving.add(evidence, now) {
			leaving = append(leaving, evidence)
		}
	}
	if newer {
		members.publish(structural)
	}
	return structural || len(leaving) > 0, leaving
}

// ApplyAll applies the response to a starting node's query for all members. Its
// updates are not pushed, as the responding node has done so: if each starting
// node pushed all members again, the start of many nodes would load all links.
func (members *Members) ApplyAll(digest Digest) (leaving []LeavingEvidence) {
	_, leaving = members.Apply(digest, false)
	members.mutex.Lock()
	defer members.mutex.Unlock()
	for _, member := range digest.members {
		if existing, ok := members.records[member.host]; ok && !member.newerThan(*existing.member) {
			existing.pushed = true
		}
	}
	return leaving
}

// applyMember applies an update of one member. Structural is set if the member
// started, stopped, went silent or came back, newer if the update was new.
func (members *Members) applyMember(member Member, now clock.Millis) (structural, newer bool) {
	self := members.self()
	if member.host == "" {
		return false, false
	}
	if member.host == self.host {
		return members.refute(member, self), false
	}
	existing, ok := members.records[member.host]
	if !ok {
		if !member.live() {
			return false, false
		}
		existing = &record{member: &Member{}}
		members.records[member.host] = existing
		members.insertHost(member.host)
	} else if !member.newerThan(*existing.member) {
		return false, false
	}
	previous := existing.member
	member.updatedAt = now
	existing.member = &member
	structural = !ok || previous.incarnation != member.incarnation || previous.silent != member.silent || previous.stopping != member.stopping
	if structural {
		existing.hash = member.hash()
		existing.changedAt = now
		existing.failures = 0
	}
	if structural || previous.ready != member.ready {
		existing.sentCount, existing.pushed = 0, !structural
	}
	return structural, true
}

// refute raises this node's sequence if the update reports it as silent. It
// reports whether it did so.
func (members *Members) refute(update, self Member) bool {
	if update.incarnation != self.incarnation || !update.silent || update.sequence < members.sequence {
		return false
	}
	members.sequence = update.sequence + 1
	return true
}

func (members *Members) insertHost(host string) {
	index := sort.SearchStrings(members.hosts, host)
	members.hosts = slices.Insert(members.hosts, index, host)
}

// publish swaps in a new view. The links are chosen again only if the set of
// live members changed.
func (members *Members) publish(structural bool) {
	previous := members.view.Load()
	view := &memberView{live: make([]*Member, 0, len(members.hosts)), links: previous.links, watcher: previous.watcher}
	for _, host := range members.hosts {
		if member := members.records[host].member; member.live() {
			view.live = append(view.live, member)
			view.sum ^= members.records[host].hash
		}
	}
	if structural {
		members.changedAt = members.clock.Now()
		self := members.self()
		view.links = chooseLinks(self, view.live)
		view.watcher = isWatcher(self, view.live)
	}
	members.view.Store(view)
}

// Self returns this node's own state.
func (members *Members) Self() Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.latestSelf()
}

// latestSelf returns this node's own state, with a higher sequence if it has
// changed since the last call.
func (members *Members) latestSelf() Member {
	self, lastSelf := members.self(), members.lastSelf
	if self.tablesVersion != lastSelf.tablesVersion || self.ready != lastSelf.ready || self.stopping != lastSelf.stopping {
		members.sequence++
	}
	members.lastSelf = self
	self.sequence = members.sequence
	return self
}

// Digest returns the digest of a gossip round: the latest updates first, then
// members and evidence in rotation.
func (members *Members) Digest() Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	chosen := members.selectUpdates(digestMembers, func(record *record) bool { return record.sentCount < updateRepeats })
	for range members.hosts {
		if len(chosen) >= digestMembers {
			break
		}
		members.cursor = (members.cursor + 1) % len(members.hosts)
		host := members.hosts[members.cursor]
		if !slices.ContainsFunc(chosen, func(member Member) bool { return member.host == host }) {
			chosen = append(chosen, *members.records[host].member)
		}
	}
	return members.digest(chosen, members.leaving.nextForRound(members.clock.Now()))
}

func (members *Members) digest(chosen []Member, leaving []LeavingEvidence) Digest {
	return NewDigest(members.latestSelf(), chosen, leaving, members.sums())
}

func (members *Members) sums() Sums {
	sum := members.view.Load().sum
	if self := members.self(); self.live() {
		sum ^= self.hash()
	}
	return NewSums(sum, members.leaving.sum)
}

// Push returns the updates to push to all links at once: those never pushed
// before. More is set if some did not fit. Updates are pushed only once, as the
// start of many nodes would otherwise load all links; gossip rounds repeat them.
func (members *Members) Push() (digest Digest, more bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	updates := members.selectUpdates(pushMembers, func(record *record) bool { return !record.pushed })
	for _, member := range updates {
		members.records[member.host].pushed = true
	}
	return members.digest(updates, members.leaving.push(members.clock.Now())), members.unpushed()
}

// SelfDigest returns a digest with this node's own state only.
func (members *Members) SelfDigest() Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.digest(nil, nil)
}

// unpushed reports whether there are updates that were not pushed.
func (members *Members) unpushed() bool {
	for _, record := range members.records {
		if !record.pushed {
			return true
		}
	}
	return members.leaving.unpushed()
}

// selectUpdates returns up to count members that match, those sent least often
// first, and counts them as sent.
func (members *Members) selectUpdates(count int, matches func(record *record) bool) []Member {
	var pending []*record
	for _, host := range members.hosts {
		if record := members.records[host]; matches(record) {
			pending = append(pending, record)
		}
	}
	slices.SortStableFunc(pending, func(a, b *record) int { return a.sentCount - b.sentCount })
	chosen := make([]Member, 0, count)
	for _, record := range pending[:min(count, len(pending))] {
		record.sentCount++
		chosen = append(chosen, *record.member)
	}
	return chosen
}

// All returns every known member and all evidence, for a node that starts.
func (members *Members) All() Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	all := make([]Member, 0, len(members.hosts))
	for _, host := range members.hosts {
		all = append(all, *members.records[host].member)
	}
	return members.digest(all, members.leaving.all(members.clock.Now()))
}

// Evidence returns all evidence of leaving servers, for a node that lacks some.
func (members *Members) Evidence() Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.digest(nil, members.leaving.all(members.clock.Now()))
}

// LacksEvidence reports whether the sender of the digest has evidence of other
// leaving servers than this node.
func (members *Members) LacksEvidence(digest Digest) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return digest.sums.evidence != members.leaving.sum
}

// LacksMembers reports whether to query the sender of the digest for all members:
// its set of live members differs, this node's own set has not changed for
// propagationDelay, so that no update in transit explains the difference, and
// memberQueryInterval has passed since the last query.
func (members *Members) LacksMembers(digest Digest) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.clock.Now()
	if digest.sums.members == members.sums().members || now-members.changedAt < propagationDelay || now-members.lastQuery < memberQueryInterval {
		return false
	}
	members.lastQuery = now
	return true
}

// AddLeaving records this node's own evidence that a backend server is leaving,
// and reports whether it is new and has to be pushed.
func (members *Members) AddLeaving(server string, notice clock.Millis) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.leaving.add(NewLeavingEvidence(server, 0, notice), members.clock.Now())
}

// Live returns the live members, in order of host.
func (members *Members) Live() []Member {
	shared := members.view.Load().live
	live := make([]Member, 0, len(shared))
	for _, member := range shared {
		live = append(live, *member)
	}
	return live
}

// Links returns the members with which this node keeps links.
func (members *Members) Links() []Member { return slices.Clone(members.view.Load().links) }

// IsWatcher reports whether this node is one of the few of its data centre that
// watch the platform's tables.
func (members *Members) IsWatcher() bool { return members.view.Load().watcher }

// LastContact returns when a digest of a peer was last received, or 0.
func (members *Members) LastContact() clock.Millis { return clock.Millis(members.lastContact.Load()) }

// Ahead returns the live member with the highest version of the tables above
// the given one, or of several such members the one updated last.
func (members *Members) Ahead(version int64) (Member, bool) {
	best, found := Member{tablesVersion: version}, false
	for _, member := range members.view.Load().live {
		if member.tablesVersion > best.tablesVersion || (found && member.tablesVersion == best.tablesVersion && member.updatedAt > best.updatedAt) {
			best, found = *member, true
		}
	}
	return best, found
}
