package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// crashMemory is how long a crash counts against its suspects.
	crashMemory = 5 * clock.Minute
	// maxCrashes, maxTraits and maxBlocks bound the state.
	maxCrashes = 64
	maxTraits  = 256
	maxBlocks  = 64
	// crashSpan is the time within which losses at one server belong to one crash. No
	// server is back sooner.
	crashSpan = 1500 * clock.Millisecond
	// timeMargin is the error of times that peers report: their bulletins are under way
	// and applied in batches.
	timeMargin = 250 * clock.Millisecond
)

// state is immutable.
type state struct {
	// crashes are in order of time.
	crashes []crash
	blocks  []Block
	// peerAnswers are the latest answers at peers, for the traits and servers of crashes
	// and for quarantined traits.
	peerAnswers map[uint64]clock.Millis
}

// crash is one crash of a server with its suspects.
type crash struct {
	server uint64
	at     clock.Millis
	// traits are the suspects, sorted, and own those that this node saw: parts of prompts
	// and whole requests.
	traits []uint64
	own    []uint64
	// repeated are the whole requests that were suspects when they were sent to the
	// server, sorted.
	repeated []uint64
	// survived is set if the server answered too soon after it for a crash.
	survived bool
}

// withCrash returns the state with a loss of requests at a server.
func (current *state) withCrash(seen crash) *state {
	next := *current
	for i, known := range current.crashes {
		if known.server != seen.server || max(known.at-seen.at, seen.at-known.at) > crashSpan {
			continue
		}
		if containsAll(known.traits, seen.traits) && containsAll(known.own, seen.own) && containsAll(known.repeated, seen.repeated) {
			return current
		}
		known.traits, known.own = union(known.traits, seen.traits), union(known.own, seen.own)
		known.repeated = union(known.repeated, seen.repeated)
		next.crashes = slices.Clone(current.crashes)
		next.crashes[i] = known
		return &next
	}
	seen.traits, seen.own, seen.repeated = union(seen.traits, nil), union(seen.own, nil), union(seen.repeated, nil)
	next.crashes = append(slices.Clone(current.crashes), seen)
	slices.SortStableFunc(next.crashes, func(a, b crash) int { return int(a.at - b.at) })
	next.crashes = next.crashes[max(0, len(next.crashes)-maxCrashes):]
	return &next
}

func union(traits, added []uint64) []uint64 {
	all := sorted(append(slices.Clone(traits), added...))
	return all[:min(len(all), maxTraits)]
}

// withPeerAnswers returns the state with answers at a peer. Those for traits and servers
// that matter to no crash and no quarantine are left out.
func (current *state) withPeerAnswers(reports []AnswerReport, now clock.Millis) *state {
	next, copied := *current, false
	for _, report := range reports {
		at := now - report.age
		if known, ok := next.peerAnswers[report.hash]; (ok && known >= at) || !current.refersTo(report.hash) {
			continue
		}
		if !copied {
			next.peerAnswers, copied = maps.Clone(current.peerAnswers), true
		}
		if next.peerAnswers == nil {
			next.peerAnswers = map[uint64]clock.Millis{}
		}
		next.peerAnswers[report.hash] = at
	}
	if !copied {
		return current
	}
	return &next
}

func (current *state) refersTo(hash uint64) bool {
	return slices.ContainsFunc(current.crashes, func(crash crash) bool { return crash.server == hash || contains(crash.traits, hash) }) ||
		slices.ContainsFunc(current.blocks, func(block Block) bool { return contains(block.traits, hash) })
}

// countCrashes returns the number of crashes with the trait.
func (current *state) countCrashes(hash uint64) int {
	count := 0
	for _, crash := range current.crashes {
		if !crash.survived && contains(crash.traits, hash) {
			count++
		}
	}
	return count
}

// lastAnswer returns when the latest answer for a trait, or of a server, began.
type lastAnswer func(hash uint64) (at clock.Millis, ok bool)

// view is what a review sees besides the state.
type view struct {
	last lastAnswer
	// uptime is the time since the start of the node, and delay the time until the
	// evidence of peers is known.
	uptime clock.Millis
	delay  clock.Millis
	now    clock.Millis
}

// review returns the state with the conclusions from the evidence, and the quarantines
// that began and ended.
func (current *state) review(view view) (next *state, began, ended []Block) {
	if len(current.crashes) == 0 && len(current.blocks) == 0 {
		return current, nil, nil
	}
	next = &state{peerAnswers: current.peerAnswers}
	for _, crash := range current.crashes {
		if view.now-crash.at > crashMemory {
			continue
		}
		if at, ok := view.last(crash.server); ok && at > crash.at+timeMargin && at < crash.at+crashSpan {
			crash.survived = true
		}
		next.crashes = append(next.crashes, crash)
	}
	for _, block := range current.blocks {
		if remaining := block.remaining(view.last); len(remaining) > 0 {
			block.traits = remaining
			next.blocks = append(next.blocks, block)
		} else {
			ended = append(ended, block)
		}
	}
	for {
		block, found := conclude(next.unexplained(), next.blocks, view)
		if !found || !next.addBlock(block) {
			break
		}
		began = append(began, block)
	}
	next.peerAnswers = maps.Clone(current.peerAnswers)
	maps.DeleteFunc(next.peerAnswers, func(hash uint64, _ clock.Millis) bool { return !next.refersTo(hash) })
	return next, began, ended
}

// addBlock adds a quarantine to a state that isn't published yet, unless another one
// covers it, and removes those that it covers.
func (current *state) addBlock(added Block) (isNew bool) {
	if slices.ContainsFunc(current.blocks, func(block Block) bool { return containsAll(added.traits, block.traits) }) {
		return false
	}
	kept := slices.DeleteFunc(slices.Clone(current.blocks), func(block Block) bool { return containsAll(block.traits, added.traits) })
	kept = append(kept, added)
	current.blocks = kept[max(0, len(kept)-maxBlocks):]
	return true
}

// explanation returns a quarantine whose traits are all among the sorted ones.
func (current *state) explanation(traits []uint64) (Block, bool) {
	index := slices.IndexFunc(current.blocks, func(block Block) bool { return block.matches(traits) })
	if index < 0 {
		return Block{}, false
	}
	return current.blocks[index], true
}

// unexplained returns the crashes that no quarantine explains.
func (current *state) unexplained() []crash {
	var open []crash
	for _, crash := range current.crashes {
		if _, explained := current.explanation(crash.traits); !explained && !crash.survived {
			open = append(open, crash)
		}
	}
	return open
}

const (
	// firstTrial is the time from the start of a quarantine to its first trial,
	// trialFactor the growth of the time between trials, and maxTrialInterval its
	// limit. A trial of a trait that crashes servers costs the requests at one of them.
	firstTrial       = 1 * clock.Minute
	trialFactor      = 4
	maxTrialInterval = 10 * clock.Minute
)

// Block is the quarantine of a set of traits: requests with all of them are refused.
type Block struct {
	// traits are parts of prompts and at most one whole request.
	traits []uint64
	// since is the time of the first crash that it explains.
	since   clock.Millis
	decided clock.Millis
	trials  *atomic.Int64
}

// newBlock returns a quarantine of the sorted traits. Trials that were due before now
// count as begun.
func newBlock(traits []uint64, since, decided, now clock.Millis) Block {
	block := Block{traits: traits, since: since, decided: decided, trials: new(atomic.Int64)}
	due, _ := block.schedule(now)
	block.trials.Store(due)
	return block
}

// Traits returns the hashes of the traits.
func (block Block) Traits() []uint64 { return block.traits }

// Names returns the hashes in hexadecimal, for logs.
func (block Block) Names() []string {
	names := make([]string, 0, len(block.traits))
	for _, trait := range block.traits {
		names = append(names, strconv.FormatUint(trait, 16))
	}
	return names
}

// Since returns the time of the first crash that the quarantine explains.
func (block Block) Since() clock.Millis { return block.since }

// matches reports whether the sorted traits contain all traits of the quarantine.
func (block Block) matches(traits []uint64) bool { return containsAll(traits, block.traits) }

// remaining returns the traits for which no answer has begun since the first crash.
func (block Block) remaining(last lastAnswer) []uint64 {
	return slices.DeleteFunc(slices.Clone(block.traits), func(trait uint64) bool {
		at, ok := last(trait)
		return ok && at > block.since+timeMargin
	})
}

// schedule returns the number of trials due so far and the time of the next one.
func (block Block) schedule(now clock.Millis) (due int64, next clock.Millis) {
	interval := firstTrial
	for next = block.decided + interval; next <= now; next += interval {
		due++
		interval = min(trialFactor*interval, maxTrialInterval)
	}
	return due, next
}

// takeTrial reports whether a trial is due at this node, and takes it.
func (block Block) takeTrial(now clock.Millis, mayTry func() bool) bool {
	due, taken, isDue := block.trialDue(now, mayTry)
	return isDue && block.trials.CompareAndSwap(taken, due)
}

// trialDue returns the numbers of trials due and taken so far, and whether a trial is due
// at this node.
func (block Block) trialDue(now clock.Millis, mayTry func() bool) (due, taken int64, isDue bool) {
	due, _ = block.schedule(now)
	taken = block.trials.Load()
	return due, taken, taken < due && mayTry()
}

func (block Block) nextTrial(now clock.Millis) clock.Millis {
	_, next := block.schedule(now)
	return next
}
