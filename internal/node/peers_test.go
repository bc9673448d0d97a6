package node_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// newBulletin returns a bulletin of a host whose process has used the tokens of
// client account "garage" and demanded those of pool "runners" since its start.
func newBulletin(host string, incarnation, sequence, used, demanded int64) node.Bulletin {
	return node.NewBulletin(host, "10.0.0.2:7600", incarnation, sequence, 1_000_000, false).
		WithUsage([]node.Usage{node.NewUsage("garage", 0, used)}, nil, []node.Usage{node.NewUsage("runners", 0, demanded)}, nil)
}

func sumTokens(uses []node.Usage) int64 {
	sum := int64(0)
	for _, usage := range uses {
		sum += usage.Tokens()
	}
	return sum
}

// TestLostPeersMeetAgain guards against two nodes that stay apart for good once neither
// has received a bulletin for so long that it sends none.
func TestLostPeersMeetAgain(t *testing.T) {
	const lost = 30 * clock.Second
	peers := node.NewPeers("edge-1")
	peers.Receive(newBulletin("edge-2", 7, 1, 0, 0), 0)
	peers.Publish()
	require.Empty(t, peers.View().Receivers(lost))
	peers.Add("edge-2", "10.0.0.9:7600", lost)
	peers.Publish()
	require.Equal(t, "10.0.0.9:7600", peers.View().Receivers(lost + 1)[0].Address())
	require.Len(t, peers.View().Receivers(lost+1), 1)
	require.Empty(t, peers.View().Receivers(lost+5*clock.Second))
	require.Equal(t, 1, peers.View().Nodes(lost+1))
	require.Empty(t, peers.View().Hosts(lost+1))
	require.Equal(t, []string{"edge-2"}, peers.View().Hosts(10*clock.Second))
	peers.Receive(newBulletin("edge-2", 7, 2, 0, 0), lost+100)
	peers.Publish()
	require.Len(t, peers.View().Live(lost+101), 1)
}

func TestPeersReceive(t *testing.T) {
	type step struct {
		bulletin node.Bulletin
		at       clock.Millis
		used     int64
		demanded int64
	}
	expectReceived := func(t *testing.T, steps ...step) {
		t.Helper()
		peers := node.NewPeers("edge-1")
		for i, step := range steps {
			increase := peers.Receive(step.bulletin, step.at)
			used, demanded := increase.Used(), increase.Demanded()
			require.Equal(t, []int64{step.used, step.demanded}, []int64{sumTokens(used), sumTokens(demanded)}, "step %d", i)
		}
	}
	t.Run("the first bulletin only sets the sums", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 1, 500, 900)})
	})
	t.Run("later bulletins count the increase, also of lost ones", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 1, 500, 900)},
			step{bulletin: newBulletin("edge-2", 7, 4, 800, 1000), at: 200, used: 300, demanded: 100})
	})
	t.Run("an old bulletin changes nothing", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 4, 800, 0)},
			step{bulletin: newBulletin("edge-2", 7, 3, 700, 0), at: 10},
			step{bulletin: newBulletin("edge-2", 6, 9, 9000, 0), at: 20})
	})
	t.Run("a new process counts from 0", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 4, 800, 400)},
			step{bulletin: newBulletin("edge-2", 8, 1, 50, 20), at: 100, used: 50, demanded: 20})
	})
	t.Run("demand during a long silence is left out", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 1, 500, 900)},
			step{bulletin: newBulletin("edge-2", 7, 90, 9000, 90000), at: 12000, used: 8500})
	})
	t.Run("a refund is deducted", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-2", 7, 1, 500, 0)},
			step{bulletin: newBulletin("edge-2", 7, 2, 400, 0), at: 30, used: -100})
	})
	t.Run("the node's own bulletin is left out", func(t *testing.T) {
		expectReceived(t, step{bulletin: newBulletin("edge-1", 7, 1, 500, 0)}, step{bulletin: newBulletin("edge-1", 7, 2, 900, 0)})
	})
}

// TestStoppingPeersServe guards against nodes that don't reckon with the requests which
// stopping peers still admit.
func TestStoppingPeersServe(t *testing.T) {
	const liveAge, expectedAge = 1500 * clock.Millisecond, 20 * clock.Second
	peers := node.NewPeers("edge-1")
	for host, stopping := range map[string]bool{"edge-2": false, "edge-3": true, "edge-4": true} {
		peers.Receive(node.NewBulletin(host, "10.0.0.2:7600", 1, 1, 0, stopping), 0)
	}
	peers.Publish()
	expectServing := func(t *testing.T, now clock.Millis, serving int) {
		t.Helper()
		require.Equal(t, serving, peers.View().Serving(now))
	}
	t.Run("they stop", func(t *testing.T) { expectServing(t, liveAge-1, 4) })
	t.Run("they have ended", func(t *testing.T) { expectServing(t, liveAge, 2) })
	t.Run("a silent peer that doesn't stop", func(t *testing.T) { expectServing(t, expectedAge-1, 2) })
	t.Run("a lost peer", func(t *testing.T) { expectServing(t, expectedAge, 1) })
	t.Run("limits are shared without them", func(t *testing.T) { require.Equal(t, 2, peers.View().Nodes(0)) })
}

// TestOlderIncarnation guards against a peer that is ignored since its clock had jumped back
// when its process started.
func TestOlderIncarnation(t *testing.T) {
	const liveAge = 1500 * clock.Millisecond
	expectUsed := func(t *testing.T, peers *node.Peers, bulletin node.Bulletin, now clock.Millis, tokens int64) {
		t.Helper()
		used := peers.Receive(bulletin, now).Used()
		require.Equal(t, tokens, sumTokens(used))
	}
	newPeers := func() *node.Peers {
		peers := node.NewPeers("edge-1")
		peers.Receive(newBulletin("edge-2", 9000, 1, 100, 0), 0)
		return peers
	}
	t.Run("a late bulletin of the process before", func(t *testing.T) {
		expectUsed(t, newPeers(), newBulletin("edge-2", 5000, 1, 30, 0), liveAge-1, 0)
	})
	t.Run("a new process after the silence of the one before", func(t *testing.T) {
		peers := newPeers()
		expectUsed(t, peers, newBulletin("edge-2", 5000, 1, 30, 0), liveAge, 30)
		expectUsed(t, peers, newBulletin("edge-2", 5000, 2, 50, 0), liveAge+100, 20)
	})
}

func TestPeerView(t *testing.T) {
	expectCounts := func(t *testing.T, peers *node.Peers, now clock.Millis, live, nodes int) {
		t.Helper()
		peers.Publish()
		require.Equal(t, []int{live, nodes}, []int{peers.View().LiveCount(now), peers.View().Nodes(now)})
	}
	t.Run("a silent node keeps its share for a while", func(t *testing.T) {
		peers := node.NewPeers("edge-1")
		peers.Receive(newBulletin("edge-2", 7, 1, 0, 0), 1000)
		expectCounts(t, peers, 1100, 2, 2)
		expectCounts(t, peers, 2500, 1, 2)
		expectCounts(t, peers, 21000, 1, 1)
	})
	t.Run("a stopping node gives up its share", func(t *testing.T) {
		peers := node.NewPeers("edge-1")
		peers.Receive(node.NewBulletin("edge-2", "10.0.0.2:7600", 7, 1, 0, true), 1000)
		expectCounts(t, peers, 1100, 1, 1)
	})
	t.Run("a discovered node without a bulletin", func(t *testing.T) {
		peers := node.NewPeers("edge-1")
		peers.Add("edge-2", "10.0.0.2:7600", 1000)
		peers.Add("edge-1", "10.0.0.1:7600", 1000)
		expectCounts(t, peers, 1100, 1, 2)
		require.Equal(t, []node.Receiver{node.NewReceiver("edge-2", "10.0.0.2:7600")}, peers.View().Receivers(1100))
	})
	t.Run("runs of a node that died count", func(t *testing.T) {
		peers := node.NewPeers("edge-1")
		for incarnation := int64(7); incarnation <= 8; incarnation++ {
			peers.Receive(node.NewBulletin("edge-2", "10.0.0.2:7600", incarnation, 1, 0, false).
				WithUsage(nil, nil, nil, []node.WindowRuns{node.NewWindowRuns(50, "garage", 3)}), 1000)
		}
		peers.Publish()
		require.Equal(t, map[string]int64{"garage": 6}, peers.View().Runs(50))
		require.Empty(t, peers.View().Runs(51))
	})
	t.Run("work at a server is added up", func(t *testing.T) {
		peers := node.NewPeers("edge-1")
		for _, host := range []string{"edge-2", "edge-3"} {
			peers.Receive(node.NewBulletin(host, "10.0.0.2:7600", 7, 1, 0, false).
				WithUsage(nil, []node.ServerWork{node.NewServerWork(9, 2, 4000)}, nil, nil), 1000)
		}
		peers.Publish()
		require.Equal(t, node.NewServerWork(9, 4, 8000), peers.View().ServerWork(1100)[9])
		require.Empty(t, peers.View().ServerWork(9000))
	})
}

// TestTrueTime checks that no minority of wrong clocks moves the time.
func TestTrueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const truth, now = 1_700_000_000_000, 5000
		count := rapid.IntRange(3, 9).Draw(t, "nodes")
		falseClocks := rapid.IntRange(0, (count-1)/2).Draw(t, "false clocks")
		wall := func(i int) clock.Millis {
			if i < falseClocks {
				return truth + clock.Millis(rapid.Int64Range(-3_600_000, 3_600_000).Draw(t, "jump"))
			}
			return truth + clock.Millis(rapid.Int64Range(-50, 50).Draw(t, "error"))
		}
		selfWall := wall(0)
		peers := node.NewPeers("edge-0")
		for i := 1; i < count; i++ {
			peers.Receive(node.NewBulletin("edge-"+string(rune('0'+i)), "10.0.0.2:7600", 7, 1, wall(i), false), now)
		}
		peers.Publish()
		require.InDelta(t, truth, int64(peers.View().TrueTime(now, selfWall)), 50)
	})
}

// TestConfirmsConfiguration checks when peers show that a node's configuration is the
// newest one.
func TestConfirmsConfiguration(t *testing.T) {
	expectConfirmed := func(t *testing.T, confirmed bool, now clock.Millis, peerVersions ...node.Bulletin) {
		t.Helper()
		peers := node.NewPeers("edge-1")
		for _, bulletin := range peerVersions {
			peers.Receive(bulletin, 0)
		}
		peers.Publish()
		require.Equal(t, confirmed, peers.View().ConfirmsConfiguration(5, 7*clock.Second, now))
	}
	with := func(host string, version int64, age clock.Millis) node.Bulletin {
		return newBulletin(host, 7, 1, 0, 0).WithConfiguration(version, age)
	}
	t.Run("no peers", func(t *testing.T) { expectConfirmed(t, false, 0) })
	t.Run("a peer has just read it", func(t *testing.T) { expectConfirmed(t, true, 100, with("a", 5, 600)) })
	t.Run("all peers lost the store", func(t *testing.T) {
		expectConfirmed(t, false, 100, with("a", 5, 8000), with("b", 5, 7000))
	})
	t.Run("a peer has a newer one", func(t *testing.T) {
		expectConfirmed(t, false, 100, with("a", 5, 600), with("b", 6, 600))
	})
	t.Run("the only fresh peer is behind", func(t *testing.T) { expectConfirmed(t, false, 100, with("a", 4, 600)) })
	t.Run("the peer is silent", func(t *testing.T) { expectConfirmed(t, false, 5*clock.Second, with("a", 5, 0)) })
}

func hostName(i int) string { return "peer-" + strconv.Itoa(i) }
