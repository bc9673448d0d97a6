package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// peer is one process of the machine.
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
	greeted     bool
}

func (peer *peer) self() node.Member {
	return node.NewMember(peer.host, peer.host+":1", peer.dataCentre, peer.incarnation).WithState(0, 0, !peer.stopping, peer.stopping)
}

// gossip is several nodes and the digests under way between them. The oracle is
// which peers are up, and which servers any of them knew to be leaving.
type gossip struct {
	manual   *clock.Manual
	random   func(n int) int
	peers    []*peer
	inFlight []func()
	servers  int
}

func newGossip(t *rapid.T) *gossip {
	gossip := &gossip{manual: clock.NewManual(100_000)}
	gossip.random = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
	for i := range 6 {
		peer := &peer{host: fmt.Sprint("host-", i), dataCentre: []string{"lj-a", "lj-b"}[i%2]}
		gossip.peers = append(gossip.peers, peer)
		gossip.start(peer)
	}
	return gossip
}

// start starts the process anew: it knows nothing but the address of a node.
func (gossip *gossip) start(peer *peer) {
	peer.incarnation++
	peer.dead, peer.stopping, peer.paused, peer.greeted, peer.leaving = false, false, false, false, map[string]bool{}
	peer.members = node.NewMembers(gossip.manual.Clock(), peer.self, gossip.random, []string{"host-0:1", "host-1:1"})
}

func (gossip *gossip) at(address string) *peer {
	for _, peer := range gossip.peers {
		if peer.host+":1" == address {
			return peer
		}
	}
	return nil
}

func (peer *peer) take(digest node.Digest, beat bool) {
	urgent, leaving := peer.members.Apply(digest, beat)
	peer.urgent = peer.urgent || urgent
	for _, evidence := range leaving {
		peer.leaving[evidence.Server()] = true
	}
}

// exchange is a call with its retry, as Fellows makes it.
func (gossip *gossip) exchange(from *peer, address string, digest node.Digest) {
	to := gossip.at(address)
	if !to.dead && !to.paused {
		to.take(digest, true)
		reply := to.members.Digest()
		from.take(reply, false)
		if from.members.LacksEvidence(reply) {
			from.take(to.members.Evidence(), false)
		}
		if from.members.LacksMembers(reply) {
			from.take(to.members.All(), false)
		}
		return
	}
	retry, urgent := from.members.RecordFailure(address)
	from.urgent = from.urgent || urgent
	if retry {
		gossip.exchange(from, address, digest)
	}
}

// beat lets a peer do what is due.
func (gossip *gossip) beat(peer *peer) {
	if peer.dead || peer.paused {
		return
	}
	if seed := gossip.peers[0]; !peer.greeted && !seed.paused {
		peer.greeted = true
		gossip.exchange(peer, seed.host+":1", peer.members.SelfDigest())
		peer.take(seed.members.All(), false)
	}
	for _, address := range peer.members.Partners() {
		gossip.exchange(peer, address, peer.members.Digest())
	}
	if peer.urgent {
		peer.urgent = false
		digest, more := peer.members.Push()
		peer.urgent = more
		for _, link := range peer.members.Links() {
			gossip.exchange(peer, link.Address(), digest)
		}
	}
}

// delay sends a digest that arrives late, at another step, once or twice.
func (gossip *gossip) delay(t *rapid.T) {
	from, to := gossip.draw(t, "from"), gossip.draw(t, "to")
	digest := from.members.Digest()
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		gossip.inFlight = append(gossip.inFlight, func() {
			if !to.dead {
				to.take(digest, true)
			}
		})
	}
}

func (gossip *gossip) deliver(t *rapid.T) {
	if len(gossip.inFlight) == 0 {
		t.Skip("nothing under way")
	}
	i := rapid.IntRange(0, len(gossip.inFlight)-1).Draw(t, "digest")
	gossip.inFlight[i]()
	gossip.inFlight = append(gossip.inFlight[:i], gossip.inFlight[i+1:]...)
}

func (gossip *gossip) draw(t *rapid.T, label string) *peer {
	return rapid.SampledFrom(gossip.peers).Draw(t, label)
}

// evidence lets a live peer see that a server is leaving.
func (gossip *gossip) evidence(t *rapid.T) {
	peer := gossip.draw(t, "peer")
	if peer.dead || peer.paused {
		peer = gossip.peers[0]
	}
	gossip.servers++
	server := fmt.Sprint("runner-", gossip.servers)
	peer.leaving[server] = true
	peer.urgent = peer.members.AddLeaving(server, 0) || peer.urgent
}

func (gossip *gossip) round(times int) {
	for range times {
		for _, peer := range gossip.peers {
			gossip.beat(peer)
		}
		gossip.manual.Advance(clock.Second)
	}
}

// settle ends pauses and lets news spread.
func (gossip *gossip) settle() {
	for _, peer := range gossip.peers {
		peer.paused = false
	}
	gossip.round(120)
}

// TestSpread checks that whatever happens on the way, all nodes come to know
// exactly who is live, and every server that leaves.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gossip := newGossip(t)
		gossip.round(5)
		t.Repeat(map[string]func(*rapid.T){
			"beat":     func(t *rapid.T) { gossip.beat(gossip.draw(t, "peer")) },
			"time":     func(t *rapid.T) { gossip.manual.Advance(clock.Millis(rapid.IntRange(1, 3000).Draw(t, "millis"))) },
			"delay":    gossip.delay,
			"deliver":  gossip.deliver,
			"evidence": gossip.evidence,
			"pause": func(t *rapid.T) {
				peer := gossip.draw(t, "peer")
				peer.paused = !peer.paused
			},
			"kill": func(t *rapid.T) {
				if peer := gossip.draw(t, "peer"); peer.host != "host-0" {
					peer.dead = true
				}
			},
			"start": func(t *rapid.T) {
				if peer := gossip.draw(t, "peer"); peer.dead {
					gossip.start(peer)
				}
			},
			"stop": func(t *rapid.T) {
				if peer := gossip.draw(t, "peer"); peer.host != "host-0" {
					peer.stopping = true
				}
			},
		})
		recent := gossip.recent()
		gossip.settle()
		for _, server := range recent {
			gossip.expectKnown(t, server)
		}
		gossip.expectLive(t)
		gossip.evidence(t)
		gossip.round(2)
		gossip.expectKnown(t, fmt.Sprint("runner-", gossip.servers))
	})
}

// recentAge is young enough for evidence to spread before it is forgotten.
const recentAge = 20 * clock.Second

// recent returns the servers of which a peer that is up has recent evidence.
func (gossip *gossip) recent() []string {
	var servers []string
	for _, peer := range gossip.peers {
		for _, evidence := range peer.members.Evidence().Leaving() {
			if !peer.dead && evidence.Age() < recentAge {
				servers = append(servers, evidence.Server())
			}
		}
	}
	return servers
}

func (gossip *gossip) expectKnown(t *rapid.T, server string) {
	for _, peer := range gossip.peers {
		require.True(t, peer.dead || peer.leaving[server], "%s does not know that %s is leaving", peer.host, server)
	}
}

// expectLive checks that each peer knows exactly those that are up. The last one
// can't tell its own cut from the end of all others, so it calls none silent.
func (gossip *gossip) expectLive(t *rapid.T) {
	up := 0
	for _, peer := range gossip.peers {
		if !peer.dead {
			up++
		}
	}
	if up == 1 {
		return
	}
	for _, peer := range gossip.peers {
		wanted, live := []string{}, []string{}
		for _, other := range gossip.peers {
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
