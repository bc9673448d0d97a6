package quarantine

import (
	"slices"

	"sapphirehead/internal/clock"
)

const (
	// unansweredStrikes is the number of crashes after which a trait that was never
	// answered is quarantined. One crash has many innocent suspects; two may be the
	// loss of a server and of the one that its requests moved to.
	unansweredStrikes = 3
	// answeredStrikes is the same for a trait that was answered before: it is used a lot
	// and may be a bystander at several crashes. It must also have had no answer for
	// answeredSilence, or for the time after which the evidence of peers is known if
	// that is longer, and crashes count only once they are as old.
	answeredStrikes = 4
	answeredSilence = 1 * clock.Second
	// severalServers is the number of servers at whose crashes, however close, a part of
	// prompts that was never answered is quarantined by a node that has run for warmUp, and so
	// knows the parts in use.
	severalServers = 5
	warmUp         = 10 * clock.Second
	// sameCause is the time within which crashes of several servers have one cause, such
	// as the loss of a rack, and count as one.
	sameCause = 300 * clock.Millisecond
	// lossSpread is the same for a request that was sent to the server after the node
	// knew of an earlier crash with it. A node sees the losses of a rack within a few
	// round trips.
	lossSpread = 30 * clock.Millisecond
	// tiedStrikes is the number of crashes after which a request is quarantined although
	// another one was at all of them.
	tiedStrikes = 5
)

// suspect is a part of prompts, or a whole request, with the crashes that count against
// it.
type suspect struct {
	trait    uint64
	crashes  []int
	strikes  int
	answered bool
	// inRequests is set if the part is in whole requests that are quarantined.
	inRequests bool
	since      clock.Millis
}

// conclude returns the next quarantine that follows from the crashes that no quarantine
// explains, which are in order of time. Traits that were never answered are considered
// first; a crash that one of them may explain doesn't count against the others.
func conclude(crashes []crash, blocks []Block, view view) (Block, bool) {
	var unanswered, answered []suspect
	for _, suspect := range findSuspects(crashes, blocks, view.last) {
		if suspect.answered {
			answered = append(answered, suspect)
		} else {
			unanswered = append(unanswered, suspect)
		}
	}
	excluded := explainedBy(unanswered)
	for i, crash := range crashes {
		if view.now-crash.at < view.delay {
			excluded[i] = true
		}
	}
	for i := range answered {
		answered[i] = answered[i].without(excluded, crashes)
	}
	for _, suspects := range [][]suspect{unanswered, answered} {
		var worst suspect
		for _, suspect := range suspects {
			if suspect.isConclusive(view) && suspect.strikes > worst.strikes && !suspect.isTied(suspects) {
				worst = suspect
			}
		}
		if worst.strikes > 0 {
			return newBlock(worst.inseparable(suspects), worst.since, view.now, view.now), true
		}
	}
	return Block{}, false
}

// findSuspects returns the traits at the crashes with those crashes after which they
// were not answered.
func findSuspects(crashes []crash, blocks []Block, last lastAnswer) []suspect {
	var suspects []suspect
	indexes := map[uint64]int{}
	for i, crash := range crashes {
		for _, trait := range crash.traits {
			at, answered := last(trait)
			if answered && at >= crash.at {
				continue
			}
			index, ok := indexes[trait]
			if !ok {
				index = len(suspects)
				indexes[trait] = index
				suspects = append(suspects, suspect{trait: trait, answered: answered})
			}
			suspects[index].crashes = append(suspects[index].crashes, i)
		}
	}
	for i := range suspects {
		suspects[i].countStrikes(crashes)
		suspects[i].countBlocks(blocks)
	}
	return suspects
}

// countBlocks adds a strike for each quarantined request that has the part, if it was
// never answered: several requests with nothing but the part in common speak against the
// part.
func (suspect *suspect) countBlocks(blocks []Block) {
	if suspect.answered || isRequest(suspect.trait) {
		return
	}
	for _, block := range blocks {
		if contains(block.traits, suspect.trait) && slices.ContainsFunc(block.traits, isRequest) {
			suspect.strikes++
			suspect.inRequests = true
		}
	}
}

// countStrikes counts the crashes; those at nearly the same time count as one.
func (suspect *suspect) countStrikes(crashes []crash) {
	suspect.strikes = 0
	var counted clock.Millis
	for _, index := range suspect.crashes {
		at, spread := crashes[index].at, sameCause
		if contains(crashes[index].repeated, suspect.trait) {
			spread = lossSpread
		}
		if suspect.strikes == 0 {
			suspect.since = at
		}
		if suspect.strikes == 0 || at-counted > spread {
			suspect.strikes, counted = suspect.strikes+1, at
		}
	}
}

func (suspect suspect) isConclusive(view view) bool {
	if !suspect.answered {
		return suspect.strikes >= unansweredStrikes ||
			(!isRequest(suspect.trait) && len(suspect.crashes) >= severalServers && view.uptime >= warmUp)
	}
	at, _ := view.last(suspect.trait)
	return suspect.strikes >= answeredStrikes && view.now-max(at, suspect.since) >= max(answeredSilence, view.delay)
}

// explainedBy returns the crashes at which one of the suspects is present that have
// more than one strike. A whole request explains none: its own retry gives it two.
func explainedBy(suspects []suspect) map[int]bool {
	explained := map[int]bool{}
	for _, suspect := range suspects {
		if suspect.strikes > 1 && !isRequest(suspect.trait) {
			for _, index := range suspect.crashes {
				explained[index] = true
			}
		}
	}
	return explained
}

func (suspect suspect) without(excluded map[int]bool, crashes []crash) suspect {
	suspect.crashes = slices.DeleteFunc(slices.Clone(suspect.crashes), func(index int) bool { return excluded[index] })
	suspect.countStrikes(crashes)
	return suspect
}

// isTied reports whether another request was at all crashes of this one, such as one
// that was retried at the same servers. The next crash tells them apart.
func (suspect suspect) isTied(suspects []suspect) bool {
	if !isRequest(suspect.trait) || suspect.strikes >= tiedStrikes {
		return false
	}
	for _, other := range suspects {
		if isRequest(other.trait) && other.trait != suspect.trait && other.includes(suspect) {
			return true
		}
	}
	return false
}

// includes reports whether the suspect was at all crashes of the other one.
func (suspect suspect) includes(other suspect) bool {
	return !slices.ContainsFunc(other.crashes, func(index int) bool { return !slices.Contains(suspect.crashes, index) })
}

// inseparable returns the trait and all others that were suspects at the same crashes,
// sorted. No request is two of the whole requests, so at most one is among them.
func (suspect suspect) inseparable(suspects []suspect) []uint64 {
	traits := []uint64{suspect.trait}
	var requests []uint64
	for _, other := range suspects {
		switch {
		case other.trait == suspect.trait || !slices.Equal(other.crashes, suspect.crashes):
		case isRequest(other.trait):
			requests = append(requests, other.trait)
		default:
			traits = append(traits, other.trait)
		}
	}
	if len(requests) == 1 && !isRequest(suspect.trait) && !suspect.inRequests {
		traits = append(traits, requests[0])
	}
	return sorted(traits)
}
