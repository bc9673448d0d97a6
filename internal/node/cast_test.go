package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// slowLink is a link with a queue that drops what finds it full.
type slowLink struct {
	bytesPerMilli int
	capacity      int
	queued        int
	drainedAt     clock.Millis
}

// send reports whether the link takes the datagram.
func (link *slowLink) send(bytes int, now clock.Millis) bool {
	link.queued = max(0, link.queued-link.bytesPerMilli*int(now-link.drainedAt))
	link.drainedAt = now
	if link.queued+bytes > link.capacity {
		return false
	}
	link.queued += bytes
	return true
}

// expectReached sends bulletins over a link of 10 Mbit/s for a minute, and checks that
// every peer gets one before it takes the node for dead.
func expectReached(t *testing.T, nodes, bytes int) {
	t.Helper()
	link := &slowLink{bytesPerMilli: 1250, capacity: 2 * 32 << 10}
	receivers := make([]node.Receiver, nodes-1)
	for i := range receivers {
		receivers[i] = node.NewReceiver(fmt.Sprint("edge-", i), "")
	}
	cast, reachedAt := &node.Cast{}, map[string]clock.Millis{}
	for now := clock.Millis(0); now < clock.Minute; {
		batch := cast.Batch(receivers, bytes)
		for _, receiver := range batch {
			if link.send(bytes, now) {
				require.Less(t, now-reachedAt[receiver.Host()], node.LiveAge(nodes))
				reachedAt[receiver.Host()] = now
			}
		}
		busy, idle := cast.Pause(len(batch), len(receivers))
		require.LessOrEqual(t, busy, idle)
		now += busy
	}
	require.Len(t, reachedAt, nodes-1)
}

// TestSlowLinkDropsTheSamePeers guards against bursts that overflow a link's queue, so
// that the last peers never get a bulletin (incident LIMIT, 295 nodes).
func TestSlowLinkDropsTheSamePeers(t *testing.T) {
	t.Run("7 nodes", func(t *testing.T) { expectReached(t, 7, 2000) })
	t.Run("72 nodes", func(t *testing.T) { expectReached(t, 72, 2000) })
	t.Run("295 nodes", func(t *testing.T) { expectReached(t, 295, 2000) })
	t.Run("295 nodes, long bulletins", func(t *testing.T) { expectReached(t, 295, 4000) })
}

func TestCastPauses(t *testing.T) {
	receivers := make([]node.Receiver, 294)
	t.Run("a round takes the interval", func(t *testing.T) {
		cast, sent, elapsed := &node.Cast{}, 0, clock.Millis(0)
		for sent < len(receivers) {
			batch := cast.Batch(receivers, 2000)
			busy, _ := cast.Pause(len(batch), len(receivers))
			sent, elapsed = sent+len(batch), elapsed+busy
		}
		require.InEpsilon(t, float64(node.BulletinInterval(295, false)), float64(elapsed), 0.1)
	})
	t.Run("urgent news reaches all within half a second", func(t *testing.T) {
		cast, sent, elapsed := &node.Cast{}, 0, clock.Millis(0)
		for cast.SetUrgent(len(receivers)); sent < len(receivers); {
			batch := cast.Batch(receivers, 2000)
			busy, idle := cast.Pause(len(batch), len(receivers))
			sent, elapsed = sent+len(batch), elapsed+busy
			require.LessOrEqual(t, busy, idle)
		}
		require.Less(t, elapsed, 500*clock.Millisecond)
	})
	t.Run("urgent news in two rounds reaches each peer twice", func(t *testing.T) {
		cast, sent, reached := &node.Cast{}, 0, map[string]int{}
		named := make([]node.Receiver, 30)
		for i := range named {
			named[i] = node.NewReceiver(fmt.Sprint("edge-", i), "")
		}
		for cast.SetUrgent(2 * len(named)); sent < 2*len(named); {
			batch := cast.Batch(named, 3000)
			for _, receiver := range batch {
				reached[receiver.Host()]++
			}
			busy, _ := cast.Pause(len(batch), len(named))
			sent += len(batch)
			require.True(t, sent >= 2*len(named) || busy < 100)
		}
		for _, receiver := range named {
			require.GreaterOrEqual(t, reached[receiver.Host()], 2)
		}
	})
	t.Run("no peers", func(t *testing.T) {
		cast := &node.Cast{}
		require.Empty(t, cast.Batch(nil, 2000))
		busy, idle := cast.Pause(0, 0)
		require.Positive(t, busy)
		require.LessOrEqual(t, busy, idle)
	})
}
