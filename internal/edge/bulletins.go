package edge

import (
	"context"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/usage"
)

const (
	// minBulletinInterval is the minimum time between two bulletins of a node. In
	// larger deployments the time is bulletinIntervalPerNode for each node, which
	// bounds the datagrams that a node receives in a second.
	minBulletinInterval     = 30 * clock.Millisecond
	bulletinIntervalPerNode = 4 * clock.Millisecond
	// idleIntervalFactor multiplies the interval of a node without requests.
	idleIntervalFactor = 5
)

// bulletinInterval returns the time between two bulletins of a node in a
// deployment with the number of nodes.
func bulletinInterval(nodes int) clock.Millis {
	return max(minBulletinInterval, bulletinIntervalPerNode*clock.Millis(nodes))
}

// sendBulletins sends bulletins until the context ends.
func (edge *Edge) sendBulletins(ctx context.Context) {
	failing := false
	for {
		now := edge.clock.Now()
		addresses := edge.peers.states.View().Addresses(now)
		edge.peers.sequence.Add(1)
		err := edge.peers.socket.Send(edge.newBulletin(), addresses)
		if failed := err != nil; failed != failing {
			failing = failed
			edge.log.Warn().Err(err).Bool("failing", failing).Msg("sending bulletins to peer nodes started or stopped failing")
		}
		wait := bulletinInterval(len(addresses) + 1)
		if edge.inFlight.Load() == 0 {
			wait *= idleIntervalFactor
		}
		if edge.clock.Wait(ctx, wait) != nil {
			return
		}
	}
}

// sendFinalBulletins sends the final counts to peer nodes once sendBulletins
// has ended. It sends them twice, as a datagram may be lost.
func (edge *Edge) sendFinalBulletins() {
	for range 2 {
		edge.peers.sequence.Add(1)
		addresses := edge.peers.states.View().Addresses(edge.clock.Now())
		if err := edge.peers.socket.Send(edge.newBulletin(), addresses); err != nil {
			edge.log.Warn().Err(err).Msg("cannot send the final bulletin to peer nodes")
		}
	}
}

func (edge *Edge) newBulletin() node.Bulletin {
	peers := edge.peers
	var accounts, pools []node.Usage
	edge.meters.forEach(func(account string, used int64) { accounts = append(accounts, node.NewUsage(account, 0, used)) })
	peers.demands.Range(func(pool, value any) bool {
		poolDemand := value.(*demand)
		pools = append(pools, node.NewUsage(pool.(string), poolDemand.requests.Load(), poolDemand.tokens.Load()))
		return true
	})
	var servers []node.ServerWork
	for _, server := range edge.fleet.Current().Servers() {
		if attempts, tokens := server.InFlight(), server.Work().OwnPending(); attempts != 0 || tokens != 0 {
			servers = append(servers, node.NewServerWork(server.Hash(), int(attempts), int(tokens)))
		}
	}
	var windows []node.WindowRuns
	current := usage.WindowAt(edge.trueTime(), edge.settings.Load().Bounds().UsageWindow())
	peers.runs.Each(current, func(window int64, account string, runs int64) {
		windows = append(windows, node.NewWindowRuns(window, account, runs))
	})
	host := edge.settings.Load().Host()
	return node.NewBulletin(host, peers.socket.Address(), peers.incarnation, peers.sequence.Load(), edge.clock.Wall(), edge.stopping.Load()).
		WithConfiguration(edge.configurationVersion()).WithLeaving(edge.leavingServers()).WithUsage(accounts, servers, pools, windows)
}

// leavingServers returns the hashes of leaving servers if this node is a
// designated watcher.
func (edge *Edge) leavingServers() []uint64 {
	if !edge.isDesignatedWatcher() {
		return nil
	}
	var leaving []uint64
	for _, server := range edge.fleet.Current().Servers() {
		if server.Leaving() {
			leaving = append(leaving, server.Hash())
		}
	}
	return leaving
}
