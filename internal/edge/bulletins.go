package edge

import (
	"context"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/usage"
)

// sendBulletins sends bulletins until the context ends.
func (edge *Edge) sendBulletins(ctx context.Context) {
	failing := false
	cast, size := &node.Cast{}, 0
	for {
		receivers := edge.peers.states.View().Receivers(edge.clock.Now())
		edge.reviewQuarantine()
		batch := cast.Batch(receivers, size)
		var err error
		size, err = edge.sendBulletin(batch)
		if failed := err != nil; failed != failing {
			failing = failed
			edge.log.Warn().Err(err).Bool("failing", failing).Msg("sending bulletins to peer nodes started or stopped failing")
		}
		busy, idle := cast.Pause(len(batch), len(receivers))
		urgent, err := edge.awaitBulletin(ctx, busy, idle)
		if err != nil {
			return
		}
		if urgent {
			cast.SetUrgent(len(receivers))
		}
	}
}

// sendBulletin sends a bulletin to the receivers and returns its size in bytes.
func (edge *Edge) sendBulletin(receivers []node.Receiver) (size int, err error) {
	edge.peers.sequence.Add(1)
	return edge.peers.socket.Send(edge.newBulletin(receivers), receivers)
}

// awaitBulletin waits until the next bulletin is due, and reports whether urgent news
// ended the wait. A node that gets its first request leaves the longer pause of idle
// nodes, so that its peers learn of the usage as soon as of that of others.
func (edge *Edge) awaitBulletin(ctx context.Context, busy, idle clock.Millis) (urgent bool, err error) {
	urgent, err = edge.waitOrWake(ctx, busy, edge.peers.urgent, nil)
	if err != nil || urgent || edge.inFlight.Load() > 0 {
		return urgent, err
	}
	return edge.waitOrWake(ctx, idle-busy, edge.peers.urgent, edge.peers.busy)
}

// waitOrWake waits for the delay, or until one of the channels, which may be nil,
// receives a value, and reports whether urgent did.
func (edge *Edge) waitOrWake(ctx context.Context, delay clock.Millis, urgent, busy <-chan struct{}) (isUrgent bool, err error) {
	wait, cancel := edge.clock.WithTimeout(ctx, delay)
	defer cancel()
	select {
	case <-urgent:
		return true, nil
	case <-busy:
		return false, nil
	case <-wait.Done():
		return false, ctx.Err()
	}
}

// signal sends to a channel of one value unless it is full.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// finalRounds is the number of times that a peer gets the final counts, as a datagram may
// be lost.
const finalRounds = 2

// sendFinalBulletins sends the final counts to peer nodes once sendBulletins has ended.
func (edge *Edge) sendFinalBulletins() {
	receivers := edge.peers.states.View().Receivers(edge.clock.Now())
	cast, size := &node.Cast{}, 0
	cast.SetUrgent(finalRounds * len(receivers))
	for sent := 0; sent < finalRounds*len(receivers); {
		batch := cast.Batch(receivers, size)
		var err error
		if size, err = edge.sendBulletin(batch); err != nil {
			edge.log.Warn().Err(err).Msg("cannot send the final bulletin to peer nodes")
		}
		sent += len(batch)
		if pause, _ := cast.Pause(len(batch), len(receivers)); sent < finalRounds*len(receivers) {
			// The background context never ends, so the wait can't fail.
			_ = edge.clock.Wait(context.Background(), pause)
		}
	}
}

// newBulletin returns a bulletin that is sent to the receivers.
func (edge *Edge) newBulletin(receivers []node.Receiver) node.Bulletin {
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
	bulletin := node.NewBulletin(host, peers.socket.Address(), peers.incarnation, peers.sequence.Load(), edge.clock.Wall(), edge.stopping.Load()).
		WithUptime(edge.clock.Now()-edge.meters.start).WithReportedWindow(peers.reportedWindow.Load()).
		WithConfiguration(edge.configurationVersion(), ageOf(&edge.storeResponses.configuration, edge.clock.Now())).WithLeaving(edge.leavingServers()).WithUsage(accounts, servers, pools, windows).
		WithServerLimits(edge.serverLimits(receivers, edge.clock.Now())).WithEvidence(edge.quarantine.Evidence(edge.clock.Now())).
		WithReleases(edge.releases.News(edge.clock.Now())).WithListService(edge.provenListService()).WithSpeeds(edge.placement.News()).WithAdmission(edge.admissionSums())
	return edge.addRollouts(bulletin)
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
