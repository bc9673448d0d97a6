package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/rendezvous"
)

const (
	// longMemory is the time after which a prompt has lost its weight to 1/e in the share
	// of the prefill that is long.
	longMemory = 10 * clock.Second
	// minLongServers is the least number of engines at which long prompts are kept apart: in
	// a smaller pool one engine more or less for them is too large a part.
	minLongServers = 8
	// minLongPart is the least part of one engine's prefill that is long at which long
	// prompts are kept apart.
	minLongPart = 0.5
	// rankingKey is the key of the ranking of engines, by which all nodes choose the same
	// ones for long prompts.
	rankingKey = 0x6c6f6e6770726f6d
)

// LongPrompts says which prompts are long, by pool. It is immutable.
type LongPrompts struct {
	share   float64
	targets map[string]clock.Millis
}

// NewLongPrompts returns the setting with which prompts are long whose own prefill takes
// more than the share of the tightest target of their pool's routes.
func NewLongPrompts(share float64, targets map[string]clock.Millis) *LongPrompts {
	return &LongPrompts{share: share, targets: targets}
}

// bound returns the prefill time above which prompts of the pool are long, or 0 if they are
// not told apart.
func (longPrompts *LongPrompts) bound(pool string) float64 {
	if longPrompts == nil {
		return 0
	}
	return longPrompts.share * float64(longPrompts.targets[pool])
}

// longWork holds, by pool, what a node has learned of long prompts.
type longWork struct {
	setting atomic.Pointer[LongPrompts]
	pools   sync.Map // Name to *longPool.
}

// SetLongPrompts replaces the setting. With nil, or a share of 0, long prompts are placed
// like others.
func (placement *Placement) SetLongPrompts(longPrompts *LongPrompts) {
	placement.longWork.setting.Store(longPrompts)
}

// longPool is what a node has learned of the long prompts of one pool.
type longPool struct {
	state   atomic.Pointer[longState]
	ranking atomic.Pointer[longRanking]
}

// longState holds sums that lose weight with time, as of the time.
type longState struct {
	at clock.Millis
	// tokens and longTokens are the tokens prefilled for all and for long prompts, and
	// longCount is the number of long ones.
	tokens     float64
	longTokens float64
	longCount  float64
	// pending is the mean of the tokens that waited at the first engines.
	pending float64
}

func (state *longState) agedTo(now clock.Millis) longState {
	left := math.Exp(-float64(max(0, now-state.at)) / float64(longMemory))
	return longState{at: max(now, state.at), tokens: left * state.tokens, longTokens: left * state.longTokens, longCount: left * state.longCount, pending: state.pending}
}

// longRanking is the order of a snapshot's engines.
type longRanking struct {
	first  *backend.Server
	length int
	sorted []*backend.Server
}

func rankingScore(server *backend.Server) uint64 {
	return rendezvous.ScoreHashes(rankingKey, server.Hash())
}

// ranked returns the engines in the order that all nodes agree on.
func (longPool *longPool) ranked(servers []*backend.Server) []*backend.Server {
	if ranking := longPool.ranking.Load(); ranking != nil && ranking.first == servers[0] && ranking.length == len(servers) {
		return ranking.sorted
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b *backend.Server) int { return cmp.Compare(rankingScore(a), rankingScore(b)) })
	longPool.ranking.Store(&longRanking{first: servers[0], length: len(servers), sorted: sorted})
	return sorted
}

// longSplit is how long prompts are kept apart in one decision. The zero value keeps none
// apart.
type longSplit struct {
	applies bool
	isLong  bool
	// last is the ranking score of the last of the first engines, at which long prompts
	// are expected.
	last uint64
	// ownMillis is the prefill of the prompt without what its preferred server has cached.
	ownMillis float64
	// meanMillis is the prefill that waits at one of the first engines on average, and
	// longMillis that of one long prompt.
	meanMillis float64
	longMillis float64
}

// splitLong returns how long prompts are kept apart in the decision on the prompt, from
// which it learns if the prompt is sent.
func (placement *Placement) splitLong(poolName string, servers []*backend.Server, aged *agedLoad, prefill *prefill, isSent bool) longSplit {
	bound := placement.longWork.setting.Load().bound(poolName)
	if bound == 0 || len(servers) < minLongServers {
		return longSplit{}
	}
	found, ok := placement.longWork.pools.Load(poolName)
	if !ok {
		created := &longPool{}
		created.state.Store(&longState{at: aged.now})
		found, _ = placement.longWork.pools.LoadOrStore(poolName, created)
	}
	longPool := found.(*longPool)
	own := prefill.uncachedTokens(1)
	split := longSplit{ownMillis: float64(own) * aged.tokenMillis}
	split.isLong = split.ownMillis > bound
	current := longPool.state.Load()
	state := current.agedTo(aged.now)
	state.tokens += float64(own)
	if split.isLong {
		state.longTokens += float64(own)
		state.longCount++
	}
	first, pending := longPool.firstServers(servers, state.longTokens/max(1, state.tokens))
	if first != nil {
		state.pending += meanWeight * (pending - state.pending)
		split.applies, split.last = true, rankingScore(first)
		split.meanMillis = state.pending * aged.tokenMillis
		split.longMillis = state.longTokens / max(1, state.longCount) * aged.tokenMillis
	}
	if isSent {
		longPool.state.CompareAndSwap(current, &state)
	}
	return split
}

// firstServers returns the last of the first engines, as many as the share of the prefill
// that is long needs, and the tokens that wait at each of them on average. It returns nil if
// there are too few engines or long prompts.
func (longPool *longPool) firstServers(servers []*backend.Server, share float64) (last *backend.Server, pending float64) {
	present := 0
	for _, server := range servers {
		if !server.Leaving() {
			present++
		}
	}
	count := int(math.Round(share * float64(present)))
	if present < minLongServers || share*float64(present) < minLongPart || count >= present {
		return nil, 0
	}
	taken := 0
	for _, server := range longPool.ranked(servers) {
		if taken == count {
			break
		}
		if !server.Leaving() {
			taken++
			last = server
			pending += float64(server.Work().Pending())
		}
	}
	return last, pending / float64(max(1, taken))
}

// millis returns what is added to the cost of the engine. A long prompt that goes elsewhere
// costs others its own prefill time. A short one at a first engine waits for the long prompts
// that have probably arrived there since the figures were made, beside those that are known:
//
//	known 0 ms, mean 200 ms, long prompts of 300 ms, figures 10 ms old  -> 7 ms
//	the same with figures 300 ms old                                    -> 125 ms
func (split *longSplit) millis(server *backend.Server, knownMillis float64, isPreferred bool, now clock.Millis) float64 {
	if !split.applies {
		return 0
	}
	isFirst := rankingScore(server) <= split.last
	switch {
	case split.isLong && !isFirst && !isPreferred:
		return split.ownMillis
	case !split.isLong && isFirst:
		return max(0, split.meanMillis-knownMillis) * (1 - ageWeight(now-server.PeersAsOf(), split.longMillis))
	default:
		return 0
	}
}
