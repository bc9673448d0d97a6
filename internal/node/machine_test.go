package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// peer is one process of the cluster.
type peer struct {
	host        string
	dataCentre  string
	incarnation int64
	members     *node.Members
	stopping    bool
	paused      bool
	dead        bool
	leaving     map[string]bool
	urgent      bool
	joined      bool
}

func (peer *peer) self() node.Member {
	return node.NewMember(peer.host, peer.host+":1", peer.dataCentre, peer.incarnation).WithState(0, 0, !peer.stopping, peer.stopping)
}

// cluster is several nodes and the digests in transit between them. The
// expected state is which peers are up, and which servers any of them recorded
// as leaving.
type cluster struct {
	manual   *clock.Manual
	random   func(n int) int
	peers    []*peer
	inFlight []func()
	servers  int
}

func newCluster(t *rapid.T) *cluster {
	cluster := &cluster{manual: clock.NewManual(100_000)}
	cluster.random = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
	for i := range 6 {
		peer := &peer{host: fmt.Sprint("host-", i), dataCentre: []string{"lj-a", "lj-b"}[i%2]}
		cluster.peers = append(cluster.peers, peer)
		cluster.start(peer)
	}
	return cluster
}

// start starts the peer's process anew, with no state but the addresses of two
// seeds.
func (cluster *cluster) start(peer *peer) {
	peer.incarnation++
	peer.dead, peer.stopping, peer.paused, peer.joined, peer.leaving = false, false, false, false, map[string]bool{}
	peer.members = node.NewMembers(cluster.manual.Clock(), peer.self, cluster.random, []string{"host-0:1", "host-1:1"})
}

func (cluster *cluster) peerAt(address string) *peer {
	for _, peer := range cluster.peers {
		if peer.host+":1" == address {
			return peer
		}
	}
	return nil
}

func (peer *peer) apply(digest node.Digest, periodic bool) {
	urgent, leaving := peer.members.Apply(digest, periodic)
	peer.urgent = peer.urgent || urgent
	for _, evidence := range leaving {
		peer.leaving[evidence.Server()] = true
	}
}

// exchange is a call with its retry, as entry.Gossip makes it.
func (cluster *cluster) exchange(from *peer, address string, digest node.Digest) {
	to := cluster.peerAt(address)
	if !to.dead && !to.paused {
		to.apply(digest, true)
		reply := to.members.Digest()
		from.apply(reply, false)
		if from.members.LacksEvidence(reply) {
			from.apply(to.members.Evidence(), false)
		}
		if from.members.LacksMembers(reply) {
			from.apply(to.members.All(), false)
		}
		return
	}
	retry, urgent := from.members.RecordFailure(address)
	from.urgent = from.urgent || urgent
	if retry {
		cluster.exchange(from, address, digest)
	}
}

// runRound runs a gossip round of a peer, and its push if one is due.
func (cluster *cluster) runRound(peer *peer) {
	if peer.dead || peer.paused {
		return
	}
	if seed := cluster.peers[0]; !peer.joined && !seed.paused {
		peer.joined = true
		cluster.exchange(peer, seed.host+":1", peer.members.SelfDigest())
		peer.apply(seed.members.All(), false)
	}
	for _, address := range peer.members.Partners() {
		cluster.exchange(peer, address, peer.members.Digest())
	}
	if peer.urgent {
		peer.urgent = false
		digest, more := peer.members.Push()
		peer.urgent = more
		for _, link := range peer.members.Links() {
			cluster.exchange(peer, link.Address(), digest)
		}
	}
}

// delay sends a digest that is delivered in later steps, once or twice.
func (cluster *cluster) delay(t *rapid.T) {
	from, to := cluster.draw(t, "from"), cluster.draw(t, "to")
	digest := from.members.Digest()
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		cluster.inFlight = append(cluster.inFlight, func() {
			if !to.dead {
				to.apply(digest, true)
			}
		})
	}
}

func (cluster *cluster) deliver(t *rapid.T) {
	if len(cluster.inFlight) == 0 {
		t.Skip("nothing in transit")
	}
	i := rapid.IntRange(0, len(cluster.inFlight)-1).Draw(t, "digest")
	cluster.inFlight[i]()
	cluster.inFlight = append(cluster.inFlight[:i], cluster.inFlight[i+1:]...)
}

func (cluster *cluster) draw(t *rapid.T, label string) *peer {
	return rapid.SampledFrom(cluster.peers).Draw(t, label)
}

// addEvidence gives a live peer evidence that a server is leaving.
func (cluster *cluster) addEvidence(t *rapid.T) {
	peer := cluster.draw(t, "peer")
	if peer.dead || peer.paused {
		peer = cluster.peers[0]
	}
	cluster.servers++
	server := fmt.Sprint("runner-", cluster.servers)
	peer.leaving[server] = true
	peer.urgent = peer.members.AddLeaving(server, 0) || peer.urgent
}

func (cluster *cluster) runRounds(times int) {
	for range times {
		for _, peer := range cluster.peers {
			cluster.runRound(peer)
		}
		cluster.manual.Advance(clock.Second)
	}
}

// settle ends pauses and runs rounds until updates have spread.
func (cluster *cluster) settle() {
	for _, peer := range cluster.peers {
		peer.paused = false
	}
	cluster.runRounds(120)
}

// TestConvergence checks that after random delays, duplicates, pauses, deaths,
// starts and stops, all nodes agree on exactly the live members and have evidence
// of every leaving server.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(t)
		cluster.runRounds(5)
		t.Repeat(map[string]func(*rapid.T){
			"beat":     func(t *rapid.T) { cluster.runRound(cluster.draw(t, "peer")) },
			"time":     func(t *rapid.T) { cluster.manual.Advance(clock.Millis(rapid.IntRange(1, 3000).Draw(t, "millis"))) },
			"delay":    cluster.delay,
			"deliver":  cluster.deliver,
			"evidence": cluster.addEvidence,
			"pause": func(t *rapid.T) {
				peer := cluster.draw(t, "peer")
				peer.paused = !peer.paused
			},
			"kill": func(t *rapid.T) {
				if peer := cluster.draw(t, "peer"); peer.host != "host-0" {
					peer.dead = true
				}
			},
			"start": func(t *rapid.T) {
				if peer := cluster.draw(t, "peer"); peer.dead {
					cluster.start(peer)
				}
			},
			"stop": func(t *rapid.T) {
				if peer := cluster.draw(t, "peer"); peer.host != "host-0" {
					peer.stopping = true
				}
			},
		})
		servers := cluster.recentEvidence()
		cluster.settle()
		for _, server := range servers {
			cluster.expectEvidence(t, server)
		}
		cluster.expectLive(t)
		cluster.addEvidence(t)
		cluster.runRounds(2)
		cluster.expectEvidence(t, fmt.Sprint("runner-", cluster.servers))
	})
}

// recentAge is the age up to which evidence still spreads before it expires.
const recentAge = 20 * clock.Second

// recentEvidence returns the servers of whose leaving a peer that is up has recent
// evidence.
func (cluster *cluster) recentEvidence() []string {
	var servers []string
	for _, peer := range cluster.peers {
		for _, evidence := range peer.members.Evidence().Leaving() {
			if !peer.dead && evidence.Age() < recentAge {
				servers = append(servers, evidence.Server())
			}
		}
	}
	return servers
}

func (cluster *cluster) expectEvidence(t *rapid.T, server string) {
	for _, peer := range cluster.peers {
		require.True(t, peer.dead || peer.leaving[server], "%s has no evidence that %s is leaving", peer.host, server)
	}
}

// expectLive checks that the live members of each peer are exactly those that are
// up. It checks nothing if only one is: as that peer cannot distinguish a partition
// from the end of all others, it reports none as silent.
func (cluster *cluster) expectLive(t *rapid.T) {
	up := 0
	for _, peer := range cluster.peers {
		if !peer.dead {
			up++
		}
	}
	if up == 1 {
		return
	}
	for _, peer := range cluster.peers {
		wanted, live := []string{}, []string{}
		for _, other := range cluster.peers {
			if other != peer && !other.dead && !other.stopping {
				wanted = append(wanted, other.host)
			}
		}
		for _, member := range peer.members.Live() {
			live = append(live, member.Host())
		}
		if !peer.dead {
			require.Equal(t, wanted, live, "members live to %s", peer.host)
		}
	}
}
