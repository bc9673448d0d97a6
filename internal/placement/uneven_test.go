package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
	perMilli   float64
	// slowShare is the share of servers that other work on their hosts slows down.
	slowShare float64
	// figures is the number of figures with which servers report their load, or 0.
	figures int
	// silent tells that nodes don't pass on what they learn of the servers' speeds.
	silent bool

	sent, late, rejected int
	// newPrompt returns the parts of the next prompt, and onBegin is called at its first
	// event. Both may be nil.
	newPrompt func() []runner.Part
	onBegin   func(choice placement.Choice, elapsed clock.Millis)
	// begins holds the times to the first event, in milliseconds.
	begins []int
}

type clusterNode struct {
	fleet     *backend.Fleet
	placement *placement.Placement
	// told is what the node's latest bulletin said of each server.
	told   []clusterWork
	toldAt clock.Millis
}

type clusterWork struct{ attempts, tokens int64 }

type clusterServer struct {
	speed    float64
	slowdown float64
	running  []*clusterRequest
	queue    []*clusterRequest
	// cached holds the sessions used last.
	cached []string
}

type clusterRequest struct {
	node   *clusterNode
	choice placement.Choice
	// left is the work in milliseconds at the usual speed, and after the first event of a
	// stream the time until its end.
	left   float64
	sentAt clock.Millis
	end    func()
	begin  func()
}

const (
	clusterSlots   = 6
	clusterQueue   = 24
	slowPeriod     = 600
	slowFactor     = 2.5
	engineRate     = 36.0
	streamMillis   = 300
	cachedSessions = 12
	serviceMillis  = 60
	serviceTarget  = 300
	applyInterval  = 60
)

func newCluster(kind pool.Kind, nodes int, interval clock.Millis, speeds ...float64) *cluster {
	cluster := &cluster{manual: clock.NewManual(10_000), random: rand.New(rand.NewPCG(3, 5)), interval: interval, poolConfig: pool.New("pool", kind)}
	slots := clusterSlots
	if kind == pool.KindRunner {
		slots = 64
	}
	for _, speed := range speeds {
		cluster.servers = append(cluster.servers, &clusterServer{speed: speed, slowdown: 1})
	}
	for range nodes {
		node := &clusterNode{fleet: backend.NewFleet(), told: make([]clusterWork, len(speeds))}
		var list []backend.Listing
		for i := range speeds {
			entry := backend.NewEntry(fmt.Sprintf("s-%03d", i), "10.0.0.1:80", "lj-a", "pool", 1).WithSlots(slots)
			list = append(list, backend.NewListing(entry.Server(), false))
		}
		node.fleet.Update(list)
		node.placement = placement.New(cluster.manual.Clock(), node.fleet, "lj-a", cluster.random.Float64)
		cluster.nodes = append(cluster.nodes, node)
	}
	return cluster
}

func (node *clusterNode) servers() []*backend.Server { return node.fleet.Current().Pool("pool") }

func (cluster *cluster) play(duration clock.Millis) {
	for range duration {
		cluster.manual.Advance(1)
		now := cluster.manual.Now()
		cluster.gossip(now)
		for _, server := range cluster.servers {
			if now%slowPeriod == 0 {
				server.slowdown = 1
				if cluster.random.Float64() < cluster.slowShare {
					server.slowdown = slowFactor
				}
			}
		}
		for cluster.random.Float64() < cluster.perMilli/(1+cluster.perMilli) {
			cluster.send(cluster.nodes[cluster.random.IntN(len(cluster.nodes))], now)
		}
		for i := range cluster.servers {
			if cluster.poolConfig.Kind() == pool.KindRunner {
				cluster.prefill(i, now)
			}
			cluster.run(i, now)
		}
	}
}

// gossip sends the bulletins of this millisecond, and applies those received.
func (cluster *cluster) gossip(now clock.Millis) {
	count := clock.Millis(len(cluster.nodes))
	for i, node := range cluster.nodes {
		if (now+clock.Millis(i)*cluster.interval/count)%cluster.interval == 0 {
			node.toldAt = now
			for s, server := range node.servers() {
				node.told[s] = clusterWork{attempts: server.InFlight(), tokens: server.Work().OwnPending()}
			}
			if news := node.placement.News(); !cluster.silent {
				for _, peer := range cluster.nodes {
					if peer != node {
						peer.placement.Merge(fmt.Sprint(i), 1, news)
					}
				}
			}
		}
	}
	if now%min(applyInterval, cluster.interval) != 0 {
		return
	}
	sums, toldAt := make([]clusterWork, len(cluster.servers)), clock.Millis(0)
	for _, node := range cluster.nodes {
		toldAt += node.toldAt
		for s, work := range node.told {
			sums[s].attempts, sums[s].tokens = sums[s].attempts+work.attempts, sums[s].tokens+work.tokens
		}
	}
	for _, node := range cluster.nodes {
		for s, server := range node.servers() {
			server.SetPeerInFlight(sums[s].attempts-node.told[s].attempts, toldAt/count)
			server.Work().SetPeerPending(sums[s].tokens - node.told[s].tokens)
		}
	}
}

// send sends a request, half of which belong to sessions.
func (cluster *cluster) send(node *clusterNode, now clock.Millis) {
	cluster.sent++
	parts := []runner.Part{runner.NewPart("head", 500), runner.NewPart("tail", 1000+cluster.random.IntN(2000))}
	if cluster.random.IntN(2) == 0 {
		session := runner.NewPart(fmt.Sprint("session-", cluster.random.IntN(300)), 1500)
		parts = []runner.Part{parts[0], session, parts[1]}
	}
	if cluster.newPrompt != nil {
		parts = cluster.newPrompt()
	}
	prompt := runner.NewPrompt(parts, 0)
	var tried []string
	for range 2 {
		choice, ok := node.placement.Choose(cluster.poolConfig, prompt, 0, tried, 0)
		if !ok {
			break
		}
		index := slices.Index(node.servers(), choice.Server())
		server, work := cluster.servers[index], serviceMillis*(0.8+0.4*cluster.random.Float64())
		if cluster.poolConfig.Kind() == pool.KindRunner {
			tokens := parts[len(parts)-1].Tokens()
			if len(parts) == 3 && !server.holds(parts[1].ID()) {
				tokens += parts[1].Tokens()
			}
			work = float64(tokens) / engineRate
		} else if len(server.queue) >= clusterQueue {
			cluster.rejected++
			cluster.report(node, index, now)
			tried = append(tried, choice.Server().Key())
			continue
		}
		server.queue = append(server.queue, &clusterRequest{
			node: node, choice: choice, left: work, sentAt: now, end: choice.Server().Begin(), begin: choice.Server().Work().Queue(choice.UncachedTokens()),
		})
		return
	}
	cluster.late++
}

// holds reports whether the session is among those used last, and uses it.
func (server *clusterServer) holds(session string) bool {
	index := slices.Index(server.cached, session)
	if index >= 0 {
		server.cached = slices.Delete(server.cached, index, index+1)
	}
	server.cached = append(server.cached, session)
	server.cached = server.cached[max(0, len(server.cached)-cachedSessions):]
	return index >= 0
}

// prefill works on the first prompt in an engine's queue.
func (cluster *cluster) prefill(index int, now clock.Millis) {
	server := cluster.servers[index]
	if len(server.queue) == 0 {
		return
	}
	first := server.queue[0]
	if first.left -= server.speed / server.slowdown; first.left > 0 {
		return
	}
	server.queue = server.queue[1:]
	cluster.report(first.node, index, now)
	elapsed := now - first.sentAt
	cluster.begins = append(cluster.begins, int(elapsed))
	if cluster.onBegin != nil {
		cluster.onBegin(first.choice, elapsed)
	}
	first.node.placement.ObserveFirstEvent("pool", first.choice, elapsed)
	first.begin()
	first.left = streamMillis
	server.running = append(server.running, first)
}

// run works on the requests in a server's slots.
func (cluster *cluster) run(index int, now clock.Millis) {
	server := cluster.servers[index]
	isEngine := cluster.poolConfig.Kind() == pool.KindRunner
	running := server.running[:0]
	for _, request := range server.running {
		if request.left -= server.speed / server.slowdown; request.left > 0 {
			running = append(running, request)
			continue
		}
		elapsed := now - request.sentAt
		if !isEngine {
			if elapsed > serviceTarget {
				cluster.late++
			}
			cluster.report(request.node, index, now)
			request.node.placement.ObserveResponse("pool", request.choice, elapsed)
			request.begin()
		}
		request.end()
	}
	server.running = running
	for !isEngine && len(server.running) < clusterSlots && len(server.queue) > 0 {
		server.running, server.queue = append(server.running, server.queue[0]), server.queue[1:]
	}
}

func (cluster *cluster) report(node *clusterNode, index int, now clock.Millis) {
	server := cluster.servers[index]
	if cluster.figures == 0 {
		return
	}
	load := backend.NewLoad(now, len(server.running), len(server.queue), 0)
	if cluster.figures == 4 {
		load = load.WithSlowdown(server.slowdown)
	}
	node.servers()[index].Report(load)
}

// percentile returns a percentile of the times to the first event.
func (cluster *cluster) percentile(percent int) int {
	slices.Sort(cluster.begins)
	return cluster.begins[len(cluster.begins)*percent/100]
}

// repeatSpeeds returns the speeds of a number of servers, in turn.
func repeatSpeeds(count int, speeds ...float64) []float64 {
	var all []float64
	for i := range count {
		all = append(all, speeds[i%len(speeds)])
	}
	return all
}

// TestStaleFigures guards against nodes that all choose the same server, as they act
// on figures that are older than the time that a response takes.
func TestStaleFigures(t *testing.T) {
	expectServed := func(t *testing.T, perMilli, slowShare float64, figures int, bound float64) {
		t.Helper()
		cluster := newCluster(pool.KindService, 79, 316, 1, 1, 1)
		cluster.perMilli, cluster.slowShare, cluster.figures = perMilli, slowShare, figures
		cluster.play(20 * clock.Second)
		t.Log(cluster.sent, cluster.late, cluster.rejected)
		require.Less(t, float64(cluster.late)/float64(cluster.sent), bound)
		require.Less(t, float64(cluster.rejected)/float64(cluster.sent), bound)
	}
	t.Run("equal servers", func(t *testing.T) { expectServed(t, 0.23, 0, 0, 0.002) })
	t.Run("equal servers that report their load", func(t *testing.T) { expectServed(t, 0.23, 0, 3, 0.002) })
	t.Run("some servers are slow for a time", func(t *testing.T) { expectServed(t, 0.115, 0.15, 0, 0.03) })
	t.Run("some servers are slow for a time, in a burst", func(t *testing.T) { expectServed(t, 0.2, 0.15, 0, 0.06) })
	t.Run("and report it", func(t *testing.T) { expectServed(t, 0.2, 0.15, 4, 0.06) })
}

// TestCutOff guards against a node that hears no peer and so takes one server for the best.
func TestCutOff(t *testing.T) {
	const never = clock.Hour
	cluster := newCluster(pool.KindService, 8, never, 1, 1, 1)
	cluster.perMilli, cluster.figures, cluster.silent = 0.2, 3, true
	cluster.play(20 * clock.Second)
	t.Log(cluster.sent, cluster.late, cluster.rejected)
	require.Zero(t, cluster.late)
	require.Zero(t, cluster.rejected)
}

// TestUnevenEngines guards against queues at engines that all nodes choose at once, and at
// slow ones. The times are those to the first event at 0.7 of the capacity.
func TestUnevenEngines(t *testing.T) {
	expectBegun := func(t *testing.T, perMilli, slowShare float64, p50, p90 int, speeds ...float64) {
		t.Helper()
		cluster := newCluster(pool.KindRunner, 79, 316, repeatSpeeds(60, speeds...)...)
		cluster.perMilli, cluster.slowShare, cluster.figures = perMilli, slowShare, 4
		cluster.play(10 * clock.Second)
		cluster.begins = nil
		cluster.play(5 * clock.Second)
		t.Log(len(cluster.begins), cluster.percentile(50), cluster.percentile(90), cluster.percentile(99))
		require.Less(t, cluster.percentile(50), p50)
		require.Less(t, cluster.percentile(90), p90)
	}
	t.Run("equal", func(t *testing.T) { expectBegun(t, 0.72, 0, 130, 300, 1) })
	t.Run("0.6, 1.0 and 1.6", func(t *testing.T) { expectBegun(t, 0.77, 0, 150, 340, 0.6, 1, 1.6) })
	t.Run("0.6, 1.0 and 1.6, and slow for a time", func(t *testing.T) { expectBegun(t, 0.7, 0.15, 180, 450, 0.6, 1, 1.6) })
}

// rates returns the mean of the learned factors at all nodes, by server, and the extremes.
func (cluster *cluster) rates() (means []float64, least, most float64) {
	least, most = math.Inf(1), 0
	for i := range cluster.servers {
		sum := 0.0
		for _, node := range cluster.nodes {
			factor, _ := node.servers()[i].Rate().Factor(cluster.manual.Now())
			sum, least, most = sum+factor, min(least, factor), max(most, factor)
		}
		means = append(means, sum/float64(len(cluster.nodes)))
	}
	return means, least, most
}

// TestLearnedRates guards against rates that don't follow the servers' speeds, and against
// differences that are found among equal servers.
func TestLearnedRates(t *testing.T) {
	play := func(kind pool.Kind, perMilli, slowShare float64, figures int, speeds ...float64) *cluster {
		cluster := newCluster(kind, 7, 30, repeatSpeeds(12, speeds...)...)
		cluster.perMilli, cluster.slowShare, cluster.figures = perMilli, slowShare, figures
		cluster.play(40 * clock.Second)
		return cluster
	}
	expectUneven := func(t *testing.T, cluster *cluster, leastRatio float64) {
		t.Helper()
		means, _, _ := cluster.rates()
		t.Log(means[:3])
		require.Greater(t, means[0], means[1])
		require.Greater(t, means[1], means[2])
		require.Greater(t, means[0]/means[2], leastRatio, "2.7 is true")
	}
	expectEqual := func(t *testing.T, cluster *cluster) {
		t.Helper()
		means, least, most := cluster.rates()
		t.Log(means, least, most)
		for _, mean := range means {
			require.InDelta(t, 1, mean, 0.06)
		}
		require.Greater(t, least, 0.7)
		require.Less(t, most, 1.4)
	}
	t.Run("engines", func(t *testing.T) { expectUneven(t, play(pool.KindRunner, 0.1, 0.15, 4, 0.6, 1, 1.6), 1.4) })
	t.Run("engines with three figures", func(t *testing.T) { expectUneven(t, play(pool.KindRunner, 0.1, 0, 3, 0.6, 1, 1.6), 1.3) })
	t.Run("services", func(t *testing.T) { expectUneven(t, play(pool.KindService, 0.6, 0.15, 4, 0.6, 1, 1.6), 1.8) })
	t.Run("equal services", func(t *testing.T) { expectEqual(t, play(pool.KindService, 0.8, 0.15, 4, 1)) })
	t.Run("equal engines", func(t *testing.T) {
		cluster := play(pool.KindRunner, 0.144, 0, 3, 1)
		expectEqual(t, cluster)
		// Without learned rates it is 151 and 308 ms.
		t.Log(cluster.percentile(50), cluster.percentile(90))
		require.Less(t, cluster.percentile(50), 160)
		require.Less(t, cluster.percentile(90), 325)
	})
}

// TestUnevenServices guards against requests to slow servers while fast ones are free.
func TestUnevenServices(t *testing.T) {
	// 0.6 of the capacity, with slowdowns 0.67.
	cluster := newCluster(pool.KindService, 79, 316, repeatSpeeds(12, 0.6, 1, 1.6)...)
	cluster.perMilli, cluster.slowShare, cluster.figures = 0.77, 0.15, 4
	cluster.play(20 * clock.Second)
	t.Log(cluster.sent, cluster.late, cluster.rejected)
	require.Less(t, float64(cluster.late)/float64(cluster.sent), 0.006)
}

// TestSlowdown guards against slowdowns that count for longer than they last, or for nothing.
func TestSlowdown(t *testing.T) {
	cluster := newCluster(pool.KindService, 1, 30, 1, 1)
	cluster.perMilli, cluster.figures = 0.1, 4
	node := cluster.nodes[0]
	shareOfSlow := func(age clock.Millis) float64 {
		node.servers()[0].Report(backend.NewLoad(cluster.manual.Now(), 0, 0, 0).WithSlowdown(2.5))
		node.servers()[1].Report(backend.NewLoad(cluster.manual.Now(), 0, 0, 0).WithSlowdown(1))
		cluster.manual.Advance(age)
		slow := 0
		for range 2000 {
			choice, ok := node.placement.Choose(cluster.poolConfig, runner.Prompt{}, 0, nil, 0)
			require.True(t, ok)
			if choice.Server() == node.servers()[0] {
				slow++
			}
		}
		return float64(slow) / 2000
	}
	require.Less(t, shareOfSlow(20), 0.15)
	require.InDelta(t, 0.5, shareOfSlow(3*clock.Second), 0.05)
}

// TestExploration guards against slow servers that are never tried again, and against
// callers who pay for the trial.
func TestExploration(t *testing.T) {
	shareOfSlow := func(slack clock.Millis, slowServers int) float64 {
		cluster := newCluster(pool.KindRunner, 1, 30, repeatSpeeds(1+slowServers, 1)...)
		node := cluster.nodes[0]
		for _, server := range node.servers()[1:] {
			for range 40 {
				server.Rate().Observe(math.Log(2), 0.3, cluster.manual.Now())
			}
		}
		cluster.manual.Advance(6 * clock.Second)
		slow := 0
		for range 2000 {
			choice, ok := node.placement.ChooseWithin(cluster.poolConfig, runner.NewPrompt(nil, 1500), 0, nil, 0, slack)
			require.True(t, ok)
			if choice.Server() != node.servers()[0] {
				slow++
			}
		}
		return float64(slow) / 2000
	}
	require.InDelta(t, 0.05, shareOfSlow(500, 1), 0.02)
	require.InDelta(t, 0.05, shareOfSlow(500, 20), 0.02)
	require.Zero(t, shareOfSlow(100, 1))
	require.Zero(t, shareOfSlow(0, 1))
}

// BenchmarkChoose measures one decision among 240 servers with four figures and rates.
func BenchmarkChoose(b *testing.B) {
	for name, kind := range map[string]pool.Kind{"engines": pool.KindRunner, "services": pool.KindService} {
		b.Run(name, func(b *testing.B) {
			cluster := newCluster(kind, 1, 30, repeatSpeeds(240, 1)...)
			node := cluster.nodes[0]
			for i, server := range node.servers() {
				server.Report(backend.NewLoad(cluster.manual.Now(), 2, 1, 0).WithSlowdown(1.5))
				server.SetPeerInFlight(int64(i%7), cluster.manual.Now()-200)
				server.Work().SetPeerPending(int64(1000 * (i % 3)))
				for range 40 {
					server.Rate().Observe(float64(i%3)*0.4-0.4, 0.3, cluster.manual.Now())
				}
			}
			parts := []runner.Part{runner.NewPart("head", 500), runner.NewPart("session", 1500), runner.NewPart("tail", 1000)}
			prompt := runner.NewPrompt(parts, 0)
			for b.Loop() {
				node.placement.Choose(cluster.poolConfig, prompt, 0, nil, 0)
			}
		})
	}
}
