package entry

import (
	"context"
	"expvar"

	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/evidencecodec"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/quarantine"
)

const (
	// roundInterval is the maximum time between two gossip rounds of a node.
	roundInterval = 1500 * clock.Millisecond
	// pushDelay batches updates, so that a burst is sent in few messages.
	pushDelay = 20 * clock.Millisecond
	// pushInterval is the minimum time between two pushes of a node. It bounds
	// the cost of a storm of updates.
	pushInterval = 200 * clock.Millisecond
	// refreshTimeout bounds the query of members for their tables versions.
	refreshTimeout = clock.Second
	// exchangeLimit bounds a node's concurrent exchanges.
	exchangeLimit = 32
)

// Gossip exchanges updates with peers. node.Members decides which updates go to
// which peer; Gossip runs the timers and the calls.
type Gossip struct {
	clock         *clock.Clock
	members       *node.Members
	seeds         []string
	call          func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error)
	closeIdle     func()
	leaving       func(server string, notice clock.Millis)
	ahead         func()
	quarantine    *quarantine.Quarantine
	counters      *expvar.Map
	pushRequested chan struct{}
}

// NewGossip returns the gossip of a node. call sends a call to a peer and
// closeIdle closes unused links. leaving is called for each leaving backend
// server, and ahead when a member may have newer active tables. The
// quarantine holds the evidence of prompts that crash runners.
func NewGossip(
	clock *clock.Clock,
	members *node.Members,
	seeds []string,
	call func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error),
	closeIdle func(),
	leaving func(server string, notice clock.Millis),
	ahead func(),
	quarantine *quarantine.Quarantine,
	counters *expvar.Map,
) *Gossip {
	return &Gossip{
		clock: clock, members: members, seeds: seeds, call: call, closeIdle: closeIdle, leaving: leaving, ahead: ahead,
		quarantine: quarantine,
		counters:   counters, pushRequested: make(chan struct{}, 1),
	}
}

// Run runs gossip rounds and pushes updates until the context ends.
func (gossip *Gossip) Run(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		gossip.runRounds(ctx)
		return nil
	})
	group.Go(func() error {
		gossip.pushUpdates(ctx)
		return nil
	})
	group.Wait()
}

// runRounds starts a round after at most roundInterval, with jitter. It does not
// wait for the exchanges, so that a silent link does not delay the others.
func (gossip *Gossip) runRounds(ctx context.Context) {
	group, exchanges := errgroup.WithContext(ctx)
	group.SetLimit(exchangeLimit)
	for ctx.Err() == nil {
		for _, address := range gossip.members.Partners() {
			group.TryGo(func() error {
				gossip.exchange(exchanges, address, gossip.members.Digest(), false)
				return nil
			})
		}
		gossip.closeIdle()
		gossip.clock.Wait(ctx, jittered(roundInterval))
	}
	group.Wait()
}

// pushUpdates sends urgent updates to all links concurrently.
func (gossip *Gossip) pushUpdates(ctx context.Context) {
	lastPush := gossip.clock.Now() - pushInterval
	for {
		select {
		case <-gossip.pushRequested:
		case <-ctx.Done():
			return
		}
		gossip.clock.Wait(ctx, max(pushDelay, lastPush+pushInterval-gossip.clock.Now()))
		lastPush = gossip.clock.Now()
		digest, more := gossip.members.Push()
		if more {
			gossip.TriggerPush()
		}
		var addresses []string
		for _, member := range gossip.members.Links() {
			addresses = append(addresses, member.Address())
		}
		gossip.forEach(ctx, addresses, func(ctx context.Context, address string) { gossip.exchange(ctx, address, digest, true) })
		gossip.counters.Add("newsPassedOn", 1)
	}
}

func (gossip *Gossip) forEach(ctx context.Context, addresses []string, call func(ctx context.Context, address string)) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(exchangeLimit)
	for _, address := range addresses {
		group.Go(func() error {
			call(ctx, address)
			return nil
		})
	}
	group.Wait()
}

// TriggerPush requests a push of updates.
func (gossip *Gossip) TriggerPush() {
	select {
	case gossip.pushRequested <- struct{}{}:
	default:
	}
}

// AnnounceLeaving announces to peers that a backend server is leaving.
func (gossip *Gossip) AnnounceLeaving(server string, notice clock.Millis) {
	if gossip.members.AddLeaving(server, notice) {
		gossip.TriggerPush()
	}
}

// exchange sends a digest and applies the reply. A failed call is retried over
// a new connection before the member counts as silent.
func (gossip *Gossip) exchange(ctx context.Context, address string, digest node.Digest, push bool) bool {
	call := nodepb.Call_builder{Heartbeat: gossip.encode(digest, push)}.Build()
	for {
		reply, err := gossip.call(ctx, address, call)
		if err == nil {
			digest := gossip.decode(reply.GetHeartbeat())
			gossip.apply(digest, false)
			if !push {
				gossip.fetchMissing(ctx, address, digest)
			}
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		gossip.counters.Add("heartbeatsFailed", 1)
		retry, urgent := gossip.members.RecordFailure(address)
		if urgent {
			gossip.TriggerPush()
		}
		if !retry {
			return false
		}
	}
}

func (gossip *Gossip) apply(digest node.Digest, periodic bool) {
	urgent, leaving := gossip.members.Apply(digest, periodic)
	if urgent {
		gossip.TriggerPush()
	}
	gossip.handleLeaving(leaving)
}

// handleLeaving reports new evidence of leaving servers, and starts a check for
// members with newer tables.
func (gossip *Gossip) handleLeaving(leaving []node.LeavingEvidence) {
	for _, evidence := range leaving {
		gossip.leaving(evidence.Server(), evidence.Remaining())
	}
	gossip.ahead()
}

// Join fetches all members from the seed addresses, and reports whether at
// least one of them responded.
func (gossip *Gossip) Join(ctx context.Context) bool {
	responded := make(chan struct{}, len(gossip.seeds))
	gossip.forEach(ctx, gossip.seeds, func(ctx context.Context, address string) {
		if !gossip.exchange(ctx, address, gossip.members.SelfDigest(), true) {
			return
		}
		if gossip.fetchMembers(ctx, address) {
			responded <- struct{}{}
		}
	})
	return len(responded) > 0
}

// fetchMembers fetches all members from a peer, and reports whether it
// responded.
func (gossip *Gossip) fetchMembers(ctx context.Context, address string) bool {
	reply, err := gossip.call(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	if err != nil {
		return false
	}
	gossip.handleLeaving(gossip.members.ApplyAll(nodelink.DecodeDigest(reply.GetHeartbeat())))
	return true
}

// fetchMissing fetches the evidence and members that this node lacks from a
// peer.
func (gossip *Gossip) fetchMissing(ctx context.Context, address string, digest node.Digest) {
	if gossip.members.LacksEvidence(digest) {
		gossip.query(ctx, address, nodepb.Call_builder{EvidenceQuery: &nodepb.EvidenceQuery{}}.Build())
	}
	if gossip.members.LacksMembers(digest) {
		gossip.query(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	}
}

// query applies the digest in the reply to a call, and reports whether the call
// succeeded.
func (gossip *Gossip) query(ctx context.Context, address string, call *nodepb.Call) bool {
	reply, err := gossip.call(ctx, address, call)
	if err == nil {
		gossip.apply(nodelink.DecodeDigest(reply.GetHeartbeat()), false)
	}
	return err == nil
}

// Refresh exchanges digests with the live members that are not known to have
// reached the tables version.
func (gossip *Gossip) Refresh(ctx context.Context, version int64) {
	ctx, cancel := gossip.clock.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var behind []string
	for _, member := range gossip.members.Live() {
		if member.TablesVersion() < version {
			behind = append(behind, member.Address())
		}
	}
	digest := gossip.members.SelfDigest()
	gossip.forEach(ctx, behind, func(ctx context.Context, address string) { gossip.exchange(ctx, address, digest, true) })
}

// Heartbeat handles a heartbeat from a peer.
func (gossip *Gossip) Heartbeat(heartbeat *nodepb.Heartbeat) *nodepb.Reply {
	gossip.apply(gossip.decode(heartbeat), !heartbeat.GetPush())
	if heartbeat.GetPush() {
		return gossip.reply(gossip.members.SelfDigest())
	}
	return gossip.reply(gossip.members.Digest())
}

// encode returns the heartbeat for a digest, with this node's evidence of crashes.
func (gossip *Gossip) encode(digest node.Digest, push bool) *nodepb.Heartbeat {
	heartbeat := nodelink.EncodeDigest(digest, push)
	heartbeat.SetCrashEvidence(evidencecodec.Encode(gossip.quarantine.Evidence(gossip.clock.Now())))
	return heartbeat
}

// decode returns the digest of a heartbeat, and merges the evidence of crashes.
func (gossip *Gossip) decode(heartbeat *nodepb.Heartbeat) node.Digest {
	evidence, err := evidencecodec.Decode(heartbeat.GetCrashEvidence())
	if err != nil {
		gossip.counters.Add("evidenceMalformed", 1)
		return nodelink.DecodeDigest(heartbeat)
	}
	gossip.quarantine.Merge(evidence, gossip.clock.Now())
	return nodelink.DecodeDigest(heartbeat)
}

// reply returns the reply to a heartbeat.
func (gossip *Gossip) reply(digest node.Digest) *nodepb.Reply {
	return nodepb.Reply_builder{Heartbeat: gossip.encode(digest, false)}.Build()
}

// Members returns the reply to a query for all members.
func (gossip *Gossip) Members() *nodepb.Reply { return digestReply(gossip.members.All()) }

// Evidence returns the reply to a query for all evidence of leaving servers.
func (gossip *Gossip) Evidence() *nodepb.Reply { return digestReply(gossip.members.Evidence()) }

func digestReply(digest node.Digest) *nodepb.Reply {
	return nodepb.Reply_builder{Heartbeat: nodelink.EncodeDigest(digest, false)}.Build()
}
