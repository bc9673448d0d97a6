package entry

import (
	"context"
	"expvar"

	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
)

const (
	// roundInterval is the longest time between two heartbeats of a node.
	roundInterval = 1500 * clock.Millisecond
	// pushDelay collects news, so that a burst is passed on in few messages.
	pushDelay = 20 * clock.Millisecond
	// pushInterval is the least time between two pushes of a node, which bounds
	// what a storm of news may cost.
	pushInterval = 200 * clock.Millisecond
	// refreshTimeout bounds the asking of members for their versions.
	refreshTimeout = clock.Second
	// exchangeLimit bounds the exchanges of a node at the same time.
	exchangeLimit = 32
)

// Gossip exchanges news with fellow nodes. What to tell whom is decided by
// node.Members; here are the timers and the calls.
type Gossip struct {
	clock         *clock.Clock
	members       *node.Members
	seeds         []string
	call          func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error)
	closeIdle     func()
	leaving       func(server string, notice clock.Millis)
	ahead         func()
	counters      *expvar.Map
	pushRequested chan struct{}
}

// NewGossip returns the exchange of a node. Call reaches a fellow node,
// closeIdle ends unused links; leaving is told of leaving servers and ahead of
// members that may have newer tables in force.
func NewGossip(
	clock *clock.Clock,
	members *node.Members,
	seeds []string,
	call func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error),
	closeIdle func(),
	leaving func(server string, notice clock.Millis),
	ahead func(),
	counters *expvar.Map,
) *Gossip {
	return &Gossip{
		clock: clock, members: members, seeds: seeds, call: call, closeIdle: closeIdle, leaving: leaving, ahead: ahead,
		counters: counters, pushRequested: make(chan struct{}, 1),
	}
}

// Run exchanges heartbeats and passes on news until the context ends.
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

// runRounds does not wait for the exchanges, so a silent link delays no other.
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

// pushUpdates tells all links at once of news that matters.
func (gossip *Gossip) pushUpdates(ctx context.Context) {
	last := gossip.clock.Now() - pushInterval
	for {
		select {
		case <-gossip.pushRequested:
		case <-ctx.Done():
			return
		}
		gossip.clock.Wait(ctx, max(pushDelay, last+pushInterval-gossip.clock.Now()))
		last = gossip.clock.Now()
		digest, more := gossip.members.Push()
		if more {
			gossip.TriggerPush()
		}
		var addresses []string
		for _, member := range gossip.members.Links() {
			addresses = append(addresses, member.Address())
		}
		gossip.each(ctx, addresses, func(ctx context.Context, address string) { gossip.exchange(ctx, address, digest, true) })
		gossip.counters.Add("newsPassedOn", 1)
	}
}

func (gossip *Gossip) each(ctx context.Context, addresses []string, do func(ctx context.Context, address string)) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(exchangeLimit)
	for _, address := range addresses {
		group.Go(func() error {
			do(ctx, address)
			return nil
		})
	}
	group.Wait()
}

// TriggerPush wakes the passing on of news.
func (gossip *Gossip) TriggerPush() {
	select {
	case gossip.pushRequested <- struct{}{}:
	default:
	}
}

// AnnounceLeaving tells fellow nodes that a backend server is leaving.
func (gossip *Gossip) AnnounceLeaving(server string, notice clock.Millis) {
	if gossip.members.AddLeaving(server, notice) {
		gossip.TriggerPush()
	}
}

// exchange sends a digest and takes in the reply. A failed call is repeated
// over a new connection before the member counts as silent.
func (gossip *Gossip) exchange(ctx context.Context, address string, digest node.Digest, push bool) bool {
	call := nodepb.Call_builder{Heartbeat: nodelink.EncodeDigest(digest, push)}.Build()
	for {
		reply, err := gossip.call(ctx, address, call)
		if err == nil {
			digest := nodelink.DecodeDigest(reply.GetHeartbeat())
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

// handleLeaving acts on new evidence and on members that may be ahead.
func (gossip *Gossip) handleLeaving(leaving []node.LeavingEvidence) {
	for _, evidence := range leaving {
		gossip.leaving(evidence.Server(), evidence.Remaining())
	}
	gossip.ahead()
}

// Join asks the addresses from the settings for all members, and reports
// whether one of them answered.
func (gossip *Gossip) Join(ctx context.Context) bool {
	responded := make(chan struct{}, len(gossip.seeds))
	gossip.each(ctx, gossip.seeds, func(ctx context.Context, address string) {
		if !gossip.exchange(ctx, address, gossip.members.SelfDigest(), true) {
			return
		}
		if gossip.fetchMembers(ctx, address) {
			responded <- struct{}{}
		}
	})
	return len(responded) > 0
}

// fetchMembers asks a fellow node for all members, and reports whether it answered.
func (gossip *Gossip) fetchMembers(ctx context.Context, address string) bool {
	reply, err := gossip.call(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	if err != nil {
		return false
	}
	gossip.handleLeaving(gossip.members.ApplyAll(nodelink.DecodeDigest(reply.GetHeartbeat())))
	return true
}

// fetchMissing asks a fellow node for what this node has not heard.
func (gossip *Gossip) fetchMissing(ctx context.Context, address string, digest node.Digest) {
	if gossip.members.LacksEvidence(digest) {
		gossip.query(ctx, address, nodepb.Call_builder{EvidenceQuery: &nodepb.EvidenceQuery{}}.Build())
	}
	if gossip.members.LacksMembers(digest) {
		gossip.query(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	}
}

// query takes in the digest that answers a call, and reports whether it came.
func (gossip *Gossip) query(ctx context.Context, address string, call *nodepb.Call) bool {
	reply, err := gossip.call(ctx, address, call)
	if err == nil {
		gossip.apply(nodelink.DecodeDigest(reply.GetHeartbeat()), false)
	}
	return err == nil
}

// Refresh asks those live members that are not known to have the version in
// force for their news.
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
	gossip.each(ctx, behind, func(ctx context.Context, address string) { gossip.exchange(ctx, address, digest, true) })
}

// Heartbeat answers a heartbeat of a fellow node.
func (gossip *Gossip) Heartbeat(heartbeat *nodepb.Heartbeat) *nodepb.Reply {
	gossip.apply(nodelink.DecodeDigest(heartbeat), !heartbeat.GetPush())
	if heartbeat.GetPush() {
		return digestReply(gossip.members.SelfDigest())
	}
	return digestReply(gossip.members.Digest())
}

// Members answers a query for all members.
func (gossip *Gossip) Members() *nodepb.Reply { return digestReply(gossip.members.All()) }

// Evidence answers a query for all evidence of leaving servers.
func (gossip *Gossip) Evidence() *nodepb.Reply { return digestReply(gossip.members.Evidence()) }

func digestReply(digest node.Digest) *nodepb.Reply {
	return nodepb.Reply_builder{Heartbeat: nodelink.EncodeDigest(digest, false)}.Build()
}
