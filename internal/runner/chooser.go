// Package runner decides about model runners: the placement of requests by prefix
// cache and load, and the rollout of models.
package runner

import (
	"slices"

	"sapphirehead/internal/backend"
)

// Chooser chooses the backend server for an attempt by load.
type Chooser struct {
	fleet           *backend.Fleet
	dataCentre      string
	random          func(n int) int
	failuresToAvoid int64
	remotePenalty   float64
}

// failuresToAvoid is the number of consecutive failures from which a server is
// chosen only if there is no other.
const failuresToAvoid = 3

// NewChooser returns a chooser for a node in the data centre. The function random
// returns a number from 0 to n-1.
func NewChooser(fleet *backend.Fleet, dataCentre string, random func(n int) int) *Chooser {
	return &Chooser{fleet: fleet, dataCentre: dataCentre, random: random, failuresToAvoid: failuresToAvoid, remotePenalty: 1}
}

// Choose returns the server of the pool with the lowest load, and false if there is
// none. It skips leaving servers and those whose ids are excluded.
func (chooser *Chooser) Choose(pool string, exclude []string) (*backend.Server, bool) {
	servers := chooser.fleet.Current().Pool(pool)
	var best *backend.Server
	bestScore := 0.0
	if len(servers) == 0 {
		return nil, false
	}
	start := chooser.random(len(servers))
	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if server.Leaving() || slices.Contains(exclude, server.ID()) {
			continue
		}
		if score := chooser.score(server); best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best, best != nil
}

func (chooser *Chooser) score(server *backend.Server) float64 {
	score := float64(server.InFlight())
	if load := server.Load(); load != nil {
		score = max(score, float64(load.Running()+load.Queued()))
	}
	if server.DataCentre() != chooser.dataCentre {
		score += chooser.remotePenalty
	}
	if server.Failures() >= chooser.failuresToAvoid {
		score += 1000
	}
	return score
}
