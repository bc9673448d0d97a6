package platform

import (
	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// renewalsPerLease is the number of renewals within one lease duration.
const renewalsPerLease = 3

// fallbackRanks is the number of ranks among which processes without known other
// candidates are distributed.
const fallbackRanks = 4

// Candidate is a process that may hold leases.
type Candidate struct {
	host       string
	dataCentre string
}

// NewCandidate returns a candidate on the host in the data centre.
func NewCandidate(host, dataCentre string) Candidate {
	return Candidate{host: host, dataCentre: dataCentre}
}

// Candidacy is the rank of one process among the candidates for a lease. Any
// process may acquire any lease; only the conditional write decides. The rank
// distributes the leases evenly and limits the calls to the platform: the
// interval between two polls of a lease that another process holds grows with
// the square of the rank counted from 1, so that all processes together poll
// less than twice per renewal, regardless of their number (the sum of 1/n^2 is 1.65).
// With a lease duration of 15 s:
//
//	rank 0  polls every 5 s, acquires a free lease at once
//	rank 1  polls every 20 s, acquires one that has been free for 5 s
//	rank 9  polls every 500 s, acquires one that has been free for 45 s
type Candidacy struct {
	rank     int
	duration clock.Millis
}

// NewCandidacy ranks the process self among the others for a lease of the
// duration. Processes in the data centre of the lease come before others; ties
// are resolved by the rendezvous hash of host and lease.
func NewCandidacy(lease, dataCentre string, self Candidate, others []Candidate, duration clock.Millis) Candidacy {
	ownWeight := weight(lease, self.host)
	if len(others) == 0 {
		return Candidacy{rank: int(ownWeight % fallbackRanks), duration: duration}
	}
	rank := 0
	for _, other := range others {
		selfLocal, otherLocal := self.dataCentre == dataCentre, other.dataCentre == dataCentre
		switch {
		case other.host == self.host:
		case selfLocal != otherLocal:
			if otherLocal {
				rank++
			}
		case weight(lease, other.host) > ownWeight:
			rank++
		}
	}
	return Candidacy{rank: rank, duration: duration}
}

func weight(lease, host string) uint64 {
	return xxhash.Sum64String(lease + "\x00" + host)
}

// Rank returns the rank, counted from 0.
func (candidacy Candidacy) Rank() int { return candidacy.rank }

// RenewInterval returns the time between two renewals of a held lease.
func (candidacy Candidacy) RenewInterval() clock.Millis { return candidacy.duration / renewalsPerLease }

// PollInterval returns the time between two reads of a lease that another process
// holds.
func (candidacy Candidacy) PollInterval() clock.Millis {
	position := clock.Millis(candidacy.rank + 1)
	return candidacy.RenewInterval() * position * position
}

// TakeoverDelay returns how long a lease must have been free before this process
// acquires it.
func (candidacy Candidacy) TakeoverDelay() clock.Millis {
	return candidacy.RenewInterval() * clock.Millis(candidacy.rank)
}
