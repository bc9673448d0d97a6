package platform

import (
	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// renewalsPerLease is how often a holder renews within one duration.
const renewalsPerLease = 3

// fallbackRanks is the number of ranks over which processes that know no others
// spread themselves.
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

// Candidacy is the place of one process among those that may hold a lease. Any
// process may take any lease, and the conditional write alone decides. The
// standing only spreads the leases evenly and keeps the calls to the platform
// few: the wait between two looks at another's lease grows with the square of
// the rank, so all processes together look less than twice for each renewal,
// however many there are (the sum of 1/n^2 is 1.65).
//
//	rank 0  looks each 5 s, takes a free lease at once
//	rank 1  looks each 20 s, takes one that has been free for 5 s
//	rank 9  looks each 500 s, takes one that has been free for 45 s
type Candidacy struct {
	rank     int
	duration clock.Millis
}

// NewCandidacy ranks a process for a lease of the duration. Processes in the
// data centre that the lease is about go before others; among equals the
// rendezvous hash of host and lease decides.
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

// Rank returns the place, counted from 0.
func (candidacy Candidacy) Rank() int { return candidacy.rank }

// RenewInterval returns the time between two renewals of a held lease.
func (candidacy Candidacy) RenewInterval() clock.Millis { return candidacy.duration / renewalsPerLease }

// PollInterval returns the time between two looks at a lease that another holds.
func (candidacy Candidacy) PollInterval() clock.Millis {
	position := clock.Millis(candidacy.rank + 1)
	return candidacy.RenewInterval() * position * position
}

// TakeoverDelay returns for how long a lease must have been free before it is taken.
func (candidacy Candidacy) TakeoverDelay() clock.Millis {
	return candidacy.RenewInterval() * clock.Millis(candidacy.rank)
}
