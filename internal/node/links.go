package node

import (
	"cmp"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/rendezvous"
)

const (
	// remoteLinks is the number of other data centres with a link each.
	remoteLinks = 2
	// ringKey is the key under which the hosts of a data centre form a ring.
	ringKey = "ring"
	// watchersPerDataCentre bounds the watches at the platform.
	watchersPerDataCentre = 2
	// randomPeerRounds is the number of gossip rounds between two exchanges with a
	// random address: any member that is not stopping, also a silent one, or an
	// address from the settings. They reconnect a partitioned deployment. A node
	// without links or contact makes one in each round.
	randomPeerRounds = 30
	// watchKey is the key under which watchers are chosen.
	watchKey = "tables"
)

// chooseLinks returns the links of a node: its successor in the ring of its data
// centre, so that every node has a link to it; another node there; and one node
// in each of remoteLinks other data centres. The choice differs between nodes and
// changes little when other nodes start or stop.
func chooseLinks(self Member, live []*Member) []Member {
	byDataCentre := map[string][]string{}
	byHost := map[string]*Member{}
	for _, member := range live {
		byDataCentre[member.dataCentre] = append(byDataCentre[member.dataCentre], member.host)
		byHost[member.host] = member
	}
	hosts := localLinks(self.host, byDataCentre[self.dataCentre])
	var others []string
	for dataCentre := range byDataCentre {
		if dataCentre != self.dataCentre {
			others = append(others, dataCentre)
		}
	}
	for _, dataCentre := range rendezvous.Highest(self.host, others, remoteLinks) {
		hosts = append(hosts, rendezvous.Best(self.host, byDataCentre[dataCentre]))
	}
	links := make([]Member, 0, len(hosts))
	for _, host := range hosts {
		links = append(links, *byHost[host])
	}
	return links
}

// localLinks returns the successor of the host in the ring of its data centre
// and one of the other hosts there.
func localLinks(self string, others []string) []string {
	if len(others) == 0 {
		return nil
	}
	selfScore := rendezvous.Score(ringKey, self)
	distance := func(host string) uint64 { return rendezvous.Score(ringKey, host) - selfScore }
	successor := slices.MinFunc(others, func(a, b string) int { return cmp.Compare(distance(a), distance(b)) })
	remaining := slices.DeleteFunc(slices.Clone(others), func(host string) bool { return host == successor })
	return append([]string{successor}, rendezvous.Highest(self, remaining, 1)...)
}

func isWatcher(self Member, live []*Member) bool {
	hosts := []string{self.host}
	for _, member := range live {
		if member.dataCentre == self.dataCentre {
			hosts = append(hosts, member.host)
		}
	}
	return slices.Contains(rendezvous.Highest(watchKey, hosts, watchersPerDataCentre), self.host)
}

// Partners returns the addresses for this gossip round: one link in rotation, a
// random address every randomPeerRounds rounds, and overdue members.
func (members *Members) Partners() []string {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.clock.Now()
	members.removeExpired(now)
	members.rounds++
	links := members.view.Load().links
	addresses := members.overdueAddresses(now)
	if len(links) == 0 || members.rounds%randomPeerRounds == 0 || now-members.LastContact() > maxPeerSilence {
		addresses = append(addresses, members.randomAddress()...)
	}
	if len(links) > 0 {
		addresses = append(addresses, links[members.rounds%len(links)].address)
	}
	return addresses
}

// overdueAddresses returns the addresses of live members that have started gossip
// rounds with this node, but none for overdueAge. Each is returned once: its member
// responds to the call or counts as silent.
func (members *Members) overdueAddresses(now clock.Millis) []string {
	var addresses []string
	for _, host := range members.hosts {
		record := members.records[host]
		if record.lastRound > 0 && now-record.lastRound > overdueAge && record.member.live() {
			record.lastRound = 0
			addresses = append(addresses, record.member.address)
		}
	}
	return addresses
}

// randomAddress returns the address of a random member or seed, or none if there
// is no other.
func (members *Members) randomAddress() []string {
	self := members.self()
	addresses := slices.DeleteFunc(slices.Clone(members.seeds), func(address string) bool { return address == self.address })
	for _, host := range members.hosts {
		if !members.records[host].member.stopping {
			addresses = append(addresses, members.records[host].member.address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []string{addresses[members.random(len(addresses))]}
}

// removeExpired removes members that have been silent for silentAge or stopping
// for stoppingAge.
func (members *Members) removeExpired(now clock.Millis) {
	remaining := members.hosts[:0]
	for _, host := range members.hosts {
		record := members.records[host]
		age := now - record.changedAt
		if (record.member.silent && age > silentAge) || (record.member.stopping && age > stoppingAge) {
			delete(members.records, host)
			continue
		}
		remaining = append(remaining, host)
	}
	members.hosts = remaining
}

// RecordFailure records a failed call to the address. Retry is set if the call
// should be repeated now over a new connection; urgent is set if the member now
// counts as silent, which must be pushed immediately.
func (members *Members) RecordFailure(address string) (retry, urgent bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.clock.Now()
	for _, host := range members.hosts {
		record := members.records[host]
		if record.member.address != address || !record.member.live() {
			continue
		}
		record.failures++
		if record.failures < failuresToSilent {
			return true, false
		}
		if now-members.LastContact() > maxPeerSilence {
			return false, false
		}
		silent := record.member.WithSilent(true)
		record.member = &silent
		record.changedAt = now
		record.sentCount, record.pushed = 0, false
		members.publish(true)
		return false, true
	}
	return false, false
}
