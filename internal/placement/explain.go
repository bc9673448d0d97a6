package placement

import (
	"math"
	"slices"
	"strings"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/release"
	"sapphirehead/internal/runner"
)

// Exclusion is the reason for which a server is not a candidate.
type Exclusion int

// The reasons.
const (
	// ExclusionNone: the server is a candidate.
	ExclusionNone Exclusion = iota
	// ExclusionLeaving: the server takes no new requests.
	ExclusionLeaving
	// ExclusionTried: an earlier attempt of the request was sent to the server.
	ExclusionTried
	// ExclusionRelease: the request takes up a stream that another release began.
	ExclusionRelease
	// ExclusionLimit: the server is at the limit that it named, or asked for a pause.
	ExclusionLimit
	// ExclusionCircuit: the server's circuit is open.
	ExclusionCircuit
)

// String returns the name of the reason, empty for ExclusionNone.
func (exclusion Exclusion) String() string {
	return [...]string{"", "leaving", "tried", "otherRelease", "limit", "circuitOpen"}[exclusion]
}

// exclusionOf returns the reason for which the server is left out without regard to its load.
func exclusionOf(server *backend.Server, exclude []string, only release.ID) Exclusion {
	switch {
	case server.Leaving():
		return ExclusionLeaving
	case slices.Contains(exclude, server.Key()):
		return ExclusionTried
	case only != 0 && release.Of(server) != only:
		return ExclusionRelease
	default:
		return ExclusionNone
	}
}

// Candidate is a server of the pool with the estimates for a request.
type Candidate struct {
	choice    Choice
	exclusion Exclusion
	wait      clock.Millis
}

// Choice returns the estimates. Of a server that was left out for another reason than its
// circuit it holds only the server.
func (candidate Candidate) Choice() Choice { return candidate.choice }

// Exclusion returns the reason for which the server was left out. A server whose circuit
// is open is a candidate if there is no other.
func (candidate Candidate) Exclusion() Exclusion { return candidate.exclusion }

// Wait returns the time until the server's limit allows the request, or 0.
func (candidate Candidate) Wait() clock.Millis { return candidate.wait }

// Explanation says how the server for a request is chosen. The walk over the servers fills
// it; its unexported methods do nothing on a nil explanation, that of a request which is sent.
type Explanation struct {
	choice     Choice
	found      bool
	candidates []Candidate
	leftOut    []Candidate
}

// Explain makes the decision of ChooseWithin and returns its inputs. It takes nothing from
// limits, and a server that asks for requests to be lent to it is not told of it.
func (placement *Placement) Explain(poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID, slack clock.Millis) *Explanation {
	explanation := &Explanation{}
	explanation.choice, explanation.found = placement.choose(placement.fleet.Current().Pool(poolConfig.Name()), poolConfig, prompt, rank, exclude, only, slack, explanation)
	explanation.sort()
	return explanation
}

// Choice returns the result of ChooseWithin.
func (explanation *Explanation) Choice() (Choice, bool) {
	return explanation.choice, explanation.found
}

// Candidates returns the servers in the order in which they would be chosen, each if those
// before it were left out. Between nearly equal servers the order is partly random.
func (explanation *Explanation) Candidates() []Candidate { return explanation.candidates }

// LeftOut returns the other servers in order of id.
func (explanation *Explanation) LeftOut() []Candidate { return explanation.leftOut }

func (explanation *Explanation) add(choice Choice) {
	if explanation != nil {
		explanation.candidates = append(explanation.candidates, Candidate{choice: choice})
	}
}

func (explanation *Explanation) leaveOut(choice Choice, exclusion Exclusion, wait clock.Millis) {
	if explanation != nil {
		explanation.leftOut = append(explanation.leftOut, Candidate{choice: choice, exclusion: exclusion, wait: wait})
	}
}

// limitWait returns the time until the server's limit allows a request. Only that of a
// request which is sent counts as a need for a loan of peers.
func (explanation *Explanation) limitWait(server *backend.Server, rank int, now clock.Millis) clock.Millis {
	if explanation == nil {
		return server.RateLimit().Wait(rank, now)
	}
	return server.RateLimit().Left(rank, now)
}

// least returns the bound above which the order of a server need not be computed.
func (explanation *Explanation) least(best *Choice) float64 {
	if explanation == nil {
		return best.least()
	}
	return math.Inf(1)
}

// sort puts the candidates in the order in which they would be chosen.
func (explanation *Explanation) sort() {
	slices.SortFunc(explanation.leftOut, func(a, b Candidate) int { return strings.Compare(a.choice.server.ID(), b.choice.server.ID()) })
	slices.SortStableFunc(explanation.candidates, func(a, b Candidate) int {
		switch {
		case a.choice.order < b.choice.order:
			return -1
		case a.choice.order > b.choice.order:
			return 1
		default:
			return 0
		}
	})
	// The preferred server is compared by its cost.
	for from, candidate := range explanation.candidates {
		if candidate.choice.savesTokens {
			rest := slices.Delete(explanation.candidates, from, from+1)
			to := slices.IndexFunc(rest, func(other Candidate) bool { return candidate.choice.cost <= other.choice.cost })
			if to < 0 {
				to = len(rest)
			}
			explanation.candidates = slices.Insert(rest, to, candidate)
			break
		}
	}
	explanation.moveChosen()
}

// moveChosen moves the chosen server to the front: it may be one that is tried again, or
// one whose circuit is open.
func (explanation *Explanation) moveChosen() {
	isChosen := func(candidate Candidate) bool { return candidate.choice.server == explanation.choice.server }
	for _, list := range []*[]Candidate{&explanation.candidates, &explanation.leftOut} {
		if at := slices.IndexFunc(*list, isChosen); explanation.found && at >= 0 {
			chosen := (*list)[at]
			*list = slices.Delete(*list, at, at+1)
			explanation.candidates = slices.Insert(explanation.candidates, 0, chosen)
			return
		}
	}
}

// CachedShare returns the share of the session's parts expected in the engine's cache.
func (choice Choice) CachedShare() float64 { return choice.cachedShare }

// Estimated reports whether the choice holds estimates.
func (choice Choice) Estimated() bool { return choice.rateFactor > 0 }
