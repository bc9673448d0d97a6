package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
)

// cluster plays nodes and servers in virtual time. Nodes know of each other's requests
// by figures that are as old as bulletins, and of servers by the heads of responses.
type cluster struct {
	manual     *clock.Manual
	random     *rand.Rand
	poolConfig pool.Pool
	nodes      []*clusterNode
	servers    []*clusterServer
	interval   clock.Millis
	work       float64
	perMilli   float64
	target     clock.Millis
	// slowShare is the share of servers that other work on their hosts slows down.
	slowShare float64
	// reports tells that servers report their load.
	reports bool

	sent, late, rejected int
}

type clusterNode struct {
	fleet     *backend.Fleet
	placement *placement.Placement
	// told is what the node's latest bulletin said of each server.
	told   []int64
	toldAt clock.Millis
}

type clusterServer struct {
	speed    float64
	slowdown float64
	running  []*clusterRequest
	queue    []*clusterRequest
}

type clusterRequest struct {
	node   *clusterNode
	server int
	left   float64
	sentAt clock.Millis
	end    func()
	choice placement.Choice
}

const (
	clusterSlots = 6
	slowPeriod   = 600
	slowFactor   = 2.5
	clusterQueue = 24
)

func newServices(nodes int, interval clock.Millis, speeds ...float64) *cluster {
	cluster := &cluster{
		manual: clock.NewManual(10_000), random: rand.New(rand.NewPCG(3, 5)), interval: interval,
		poolConfig: pool.New("app", pool.KindService), work: 60, target: 300,
	}
	for _, speed := range speeds {
		cluster.servers = append(cluster.servers, &clusterServer{speed: speed, slowdown: 1})
	}
	for range nodes {
		node := &clusterNode{fleet: backend.NewFleet(), told: make([]int64, len(speeds))}
		var list []backend.Listing
		for i := range speeds {
			entry := backend.NewEntry(fmt.Sprint("s-", i), "10.0.0.1:80", "lj-a", "app", 1).WithSlots(clusterSlots)
			list = append(list, backend.NewListing(entry.Server(), false))
		}
		node.fleet.Update(list)
		node.placement = placement.New(cluster.manual.Clock(), node.fleet, "lj-a", cluster.random.Float64)
		cluster.nodes = append(cluster.nodes, node)
	}
	return cluster
}

func (node *clusterNode) server(i int) *backend.Server { return node.fleet.Current().Pool("app")[i] }

func (cluster *cluster) play(duration clock.Millis) {
	for range duration {
		cluster.manual.Advance(1)
		now := cluster.manual.Now()
		cluster.gossip(now)
		if now%slowPeriod == 0 {
			cluster.drawSlowdowns()
		}
		for cluster.random.Float64() < cluster.perMilli/(1+cluster.perMilli) {
			cluster.send(cluster.nodes[cluster.random.IntN(len(cluster.nodes))], now)
		}
		for i, server := range cluster.servers {
			cluster.run(i, server, now)
		}
	}
}

func (cluster *cluster) drawSlowdowns() {
	for _, server := range cluster.servers {
		server.slowdown = 1
		if cluster.random.Float64() < cluster.slowShare {
			server.slowdown = slowFactor
		}
	}
}

// gossip sends the bulletins of this millisecond, and applies those received.
func (cluster *cluster) gossip(now clock.Millis) {
	const applyInterval = 60
	sums, toldAt := make([]int64, len(cluster.servers)), clock.Millis(0)
	for i, node := range cluster.nodes {
		if (now+clock.Millis(i)*cluster.interval/clock.Millis(len(cluster.nodes)))%cluster.interval == 0 {
			node.toldAt = now
			for s := range cluster.servers {
				node.told[s] = node.server(s).InFlight()
			}
		}
		toldAt += node.toldAt
		for s, attempts := range node.told {
			sums[s] += attempts
		}
	}
	for i, node := range cluster.nodes {
		if (now+clock.Millis(i))%min(applyInterval, cluster.interval) == 0 {
			for s := range cluster.servers {
				node.server(s).SetPeerInFlight(sums[s]-node.told[s], toldAt/clock.Millis(len(cluster.nodes)))
			}
		}
	}
}

func (cluster *cluster) send(node *clusterNode, now clock.Millis) {
	cluster.sent++
	var tried []string
	for range 2 {
		choice, ok := node.placement.Choose(cluster.poolConfig, runner.Prompt{}, 0, tried, 0)
		if !ok {
			break
		}
		var index int
		fmt.Sscanf(choice.Server().ID(), "s-%d", &index)
		server := cluster.servers[index]
		if len(server.queue) >= clusterQueue {
			cluster.rejected++
			cluster.report(node, index, now)
			tried = append(tried, choice.Server().Key())
			continue
		}
		server.queue = append(server.queue, &clusterRequest{
			node: node, server: index, left: cluster.work * (0.8 + 0.4*cluster.random.Float64()), sentAt: now, end: choice.Server().Begin(), choice: choice,
		})
		return
	}
	cluster.late++
}

func (cluster *cluster) run(index int, server *clusterServer, now clock.Millis) {
	running := server.running[:0]
	for _, request := range server.running {
		if request.left -= server.speed / server.slowdown; request.left > 0 {
			running = append(running, request)
			continue
		}
		if now-request.sentAt > cluster.target {
			cluster.late++
		}
		cluster.report(request.node, index, now)
		request.node.placement.Speed("app").ObserveResponse(now - request.sentAt)
		request.end()
	}
	server.running = running
	for len(server.running) < clusterSlots && len(server.queue) > 0 {
		server.running, server.queue = append(server.running, server.queue[0]), server.queue[1:]
	}
}

func (cluster *cluster) report(node *clusterNode, index int, now clock.Millis) {
	if !cluster.reports {
		return
	}
	server := cluster.servers[index]
	node.server(index).Report(backend.NewLoad(now, len(server.running), len(server.queue), 0))
}

// TestStaleFigures guards against nodes that all choose the same server, as they act
// on figures that are older than the time that a response takes.
func TestStaleFigures(t *testing.T) {
	expectServed := func(t *testing.T, perMilli, slowShare float64, reports bool, bound float64) {
		t.Helper()
		cluster := newServices(79, 316, 1, 1, 1)
		cluster.perMilli, cluster.slowShare, cluster.reports = perMilli, slowShare, reports
		cluster.play(40 * clock.Second)
		t.Log(cluster.sent, cluster.late, cluster.rejected)
		require.Less(t, float64(cluster.late)/float64(cluster.sent), bound)
		require.Less(t, float64(cluster.rejected)/float64(cluster.sent), bound)
	}
	t.Run("equal servers", func(t *testing.T) { expectServed(t, 0.23, 0, false, 0.002) })
	t.Run("equal servers that report their load", func(t *testing.T) { expectServed(t, 0.23, 0, true, 0.002) })
	t.Run("some servers are slow for a time", func(t *testing.T) { expectServed(t, 0.115, 0.15, false, 0.03) })
	t.Run("some servers are slow for a time, in a burst", func(t *testing.T) { expectServed(t, 0.2, 0.15, false, 0.06) })
}
