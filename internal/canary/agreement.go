package canary

import "sapphirehead/internal/clock"

// Agreement is what live nodes report about a pool's order.
type Agreement struct {
	nodes      int
	knowing    int
	halted     int
	inProgress int
}

// NewAgreement returns the number of nodes that serve requests, of those that know the
// order's newest state, of those that stopped using the version by themselves, and the
// attempts that all have in progress at servers of other versions.
func NewAgreement(nodes, knowing, halted, inProgress int) Agreement {
	return Agreement{nodes: nodes, knowing: knowing, halted: halted, inProgress: inProgress}
}

// Nodes returns the number of nodes that serve requests.
func (agreement Agreement) Nodes() int { return agreement.nodes }

// Knowing returns the number of nodes that know the order's newest state.
func (agreement Agreement) Knowing() int { return agreement.knowing }

// Halted returns the number of nodes that stopped using the version by themselves.
func (agreement Agreement) Halted() int { return agreement.halted }

// InProgress returns the attempts in progress at servers of other versions.
func (agreement Agreement) InProgress() int { return agreement.inProgress }

// IsDrained reports whether no node sends requests to other versions or has any in
// progress there.
func (agreement Agreement) IsDrained() bool {
	return agreement.knowing >= agreement.nodes && agreement.inProgress == 0
}

// Agreement returns what this node, which has the number of attempts in progress at other
// versions, and the peers report about the order. Peers are all that serve requests,
// including those that have been silent lately: they count as not knowing the order.
func (tracker *Tracker) Agreement(order Order, inProgress int, peers []string, now clock.Millis) Agreement {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	agreement := Agreement{nodes: len(peers) + 1, inProgress: inProgress}
	own := tracker.orders[order.pool].order
	agreement.add(order, own, tracker.versions[poolVersion{order.pool, own.version}].halted)
	for _, peer := range peers {
		latest, ok := tracker.peers[peer]
		if !ok || now-latest.receivedAt > contactTime {
			continue
		}
		for _, reported := range latest.report.orders {
			if reported.order.pool == order.pool {
				agreement.add(order, reported.order, reported.halted)
				agreement.inProgress += reported.inProgress
			}
		}
	}
	return agreement
}

// add adds what a node knows.
func (agreement *Agreement) add(order, known Order, halted bool) {
	if known.run() != order.run() || known.withdrawn {
		return
	}
	if halted {
		agreement.halted++
		return
	}
	if known.state == order.state && known.IsPromoted() == order.IsPromoted() {
		agreement.knowing++
	}
}
