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
	// beatInterval is the longest time between two heartbeats of a node.
	beatInterval = 1500 * clock.Millisecond
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
	clock     *clock.Clock
	members   *node.Members
	seeds     []string
	call      func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error)
	closeIdle func()
	leaving   func(server string, notice clock.Millis)
	ahead     func()
	counters  *expvar.Map
	news      chan struct{}
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
		counters: counters, news: make(chan struct{}, 1),
	}
}

// Run exchanges heartbeats and passes on news until the context ends.
func (fellows *Gossip) Run(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		fellows.beat(ctx)
		return nil
	})
	group.Go(func() error {
		fellows.push(ctx)
		return nil
	})
	group.Wait()
}

// beat does not wait for the exchanges, so a silent link delays no other.
func (fellows *Gossip) beat(ctx context.Context) {
	group, exchanges := errgroup.WithContext(ctx)
	group.SetLimit(exchangeLimit)
	for ctx.Err() == nil {
		for _, address := range fellows.members.Partners() {
			group.TryGo(func() error {
				fellows.exchange(exchanges, address, fellows.members.Digest(), false)
				return nil
			})
		}
		fellows.closeIdle()
		fellows.clock.Wait(ctx, jittered(beatInterval))
	}
	group.Wait()
}

// push tells all links at once of news that matters.
func (fellows *Gossip) push(ctx context.Context) {
	last := fellows.clock.Now() - pushInterval
	for {
		select {
		case <-fellows.news:
		case <-ctx.Done():
			return
		}
		fellows.clock.Wait(ctx, max(pushDelay, last+pushInterval-fellows.clock.Now()))
		last = fellows.clock.Now()
		digest, more := fellows.members.Push()
		if more {
			fellows.TriggerPush()
		}
		var addresses []string
		for _, member := range fellows.members.Links() {
			addresses = append(addresses, member.Address())
		}
		fellows.each(ctx, addresses, func(ctx context.Context, address string) { fellows.exchange(ctx, address, digest, true) })
		fellows.counters.Add("newsPassedOn", 1)
	}
}

func (fellows *Gossip) each(ctx context.Context, addresses []string, do func(ctx context.Context, address string)) {
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
func (fellows *Gossip) TriggerPush() {
	select {
	case fellows.news <- struct{}{}:
	default:
	}
}

// AnnounceLeaving tells fellow nodes that a backend server is leaving.
func (fellows *Gossip) AnnounceLeaving(server string, notice clock.Millis) {
	if fellows.members.AddLeaving(server, notice) {
		fellows.TriggerPush()
	}
}

// exchange sends a digest and takes in the reply. A failed call is repeated
// over a new connection before the member counts as silent.
func (fellows *Gossip) exchange(ctx context.Context, address string, digest node.Digest, push bool) bool {
	call := nodepb.Call_builder{Heartbeat: nodelink.EncodeDigest(digest, push)}.Build()
	for {
		reply, err := fellows.call(ctx, address, call)
		if err == nil {
			digest := nodelink.DecodeDigest(reply.GetHeartbeat())
			fellows.take(digest, false)
			if !push {
				fellows.fetchLacking(ctx, address, digest)
			}
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		fellows.counters.Add("heartbeatsFailed", 1)
		retry, urgent := fellows.members.RecordFailure(address)
		if urgent {
			fellows.TriggerPush()
		}
		if !retry {
			return false
		}
	}
}

func (fellows *Gossip) take(digest node.Digest, beat bool) {
	urgent, leaving := fellows.members.Apply(digest, beat)
	if urgent {
		fellows.TriggerPush()
	}
	fellows.heed(leaving)
}

// heed acts on new evidence and on members that may be ahead.
func (fellows *Gossip) heed(leaving []node.LeavingEvidence) {
	for _, evidence := range leaving {
		fellows.leaving(evidence.Server(), evidence.Remaining())
	}
	fellows.ahead()
}

// Join asks the addresses from the settings for all members, and reports
// whether one of them answered.
func (fellows *Gossip) Join(ctx context.Context) bool {
	answered := make(chan struct{}, len(fellows.seeds))
	fellows.each(ctx, fellows.seeds, func(ctx context.Context, address string) {
		if !fellows.exchange(ctx, address, fellows.members.SelfDigest(), true) {
			return
		}
		if fellows.takeAll(ctx, address) {
			answered <- struct{}{}
		}
	})
	return len(answered) > 0
}

// takeAll asks a fellow node for all members, and reports whether it answered.
func (fellows *Gossip) takeAll(ctx context.Context, address string) bool {
	reply, err := fellows.call(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	if err != nil {
		return false
	}
	fellows.heed(fellows.members.ApplyAll(nodelink.DecodeDigest(reply.GetHeartbeat())))
	return true
}

// fetchLacking asks a fellow node for what this node has not heard.
func (fellows *Gossip) fetchLacking(ctx context.Context, address string, digest node.Digest) {
	if fellows.members.LacksEvidence(digest) {
		fellows.query(ctx, address, nodepb.Call_builder{EvidenceQuery: &nodepb.EvidenceQuery{}}.Build())
	}
	if fellows.members.LacksMembers(digest) {
		fellows.query(ctx, address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
	}
}

// query takes in the digest that answers a call, and reports whether it came.
func (fellows *Gossip) query(ctx context.Context, address string, call *nodepb.Call) bool {
	reply, err := fellows.call(ctx, address, call)
	if err == nil {
		fellows.take(nodelink.DecodeDigest(reply.GetHeartbeat()), false)
	}
	return err == nil
}

// Refresh asks those live members that are not known to have the version in
// force for their news.
func (fellows *Gossip) Refresh(ctx context.Context, version int64) {
	ctx, cancel := fellows.clock.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var behind []string
	for _, member := range fellows.members.Live() {
		if member.TablesVersion() < version {
			behind = append(behind, member.Address())
		}
	}
	greeting := fellows.members.SelfDigest()
	fellows.each(ctx, behind, func(ctx context.Context, address string) { fellows.exchange(ctx, address, greeting, true) })
}

// Heartbeat answers a heartbeat of a fellow node.
func (fellows *Gossip) Heartbeat(beat *nodepb.Heartbeat) *nodepb.Reply {
	fellows.take(nodelink.DecodeDigest(beat), !beat.GetPush())
	if beat.GetPush() {
		return digestReply(fellows.members.SelfDigest())
	}
	return digestReply(fellows.members.Digest())
}

// Members answers a query for all members.
func (fellows *Gossip) Members() *nodepb.Reply { return digestReply(fellows.members.All()) }

// Evidence answers a query for all evidence of leaving servers.
func (fellows *Gossip) Evidence() *nodepb.Reply { return digestReply(fellows.members.Evidence()) }

func digestReply(digest node.Digest) *nodepb.Reply {
	return nodepb.Reply_builder{Heartbeat: nodelink.EncodeDigest(digest, false)}.Build()
}
