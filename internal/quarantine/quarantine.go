// Package quarantine finds requests and prompt parts that crash backend servers, and
// keeps requests with such a trait away from them.
//
// A crash ends the responses of all requests at a server. Each of those whose
// response had hardly begun may have caused it, so their traits are suspects: the
// shared parts of their prompts, and the whole requests, which may come again. A trait
// is quarantined once several crashes have it in common and no request with it was
// answered in between:
//
//	crash 1: parts A B (request 1), A C (request 2)
//	crash 2: parts A B (request 3)
//	A answered
//	crash 3: parts A B, D     -> B is quarantined; A is not, as it was answered
//
//	crash 1: request 1, request 2
//	crash 2: request 1
//	crash 3: request 1        -> request 1 is quarantined
//
// Traits that no evidence tells apart are quarantined together: a request is refused
// only if it has all of them. A crash that a quarantine explains counts against no
// other trait.
//
// Each node sees a few of the requests, so nodes exchange Evidence: the crashes that
// they saw, when suspects were last answered, and the quarantines. At times that
// grow further apart one request is let through on trial; a complete answer ends the
// quarantine.
package quarantine

import (
	"slices"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Quarantine is a node's knowledge of crashes and of quarantined traits. It is safe for
// concurrent use: requests read an immutable state, which updates replace.
type Quarantine struct {
	answers answers
	state   atomic.Pointer[state]
}

// New returns a quarantine without traits.
func New(now clock.Millis) *Quarantine {
	quarantine := &Quarantine{answers: newAnswers(now)}
	quarantine.state.Store(&state{})
	return quarantine
}

// IsIdle reports whether no crashes and no quarantines are known, so that whole requests
// don't matter.
func (quarantine *Quarantine) IsIdle() bool {
	current := quarantine.state.Load()
	return len(current.crashes)+len(current.blocks) == 0
}

// Answered records a complete answer of the server to a request with the traits, and
// when the answer began.
func (quarantine *Quarantine) Answered(server uint64, traits Traits, began clock.Millis) {
	quarantine.answers.record(server, began)
	for _, hash := range traits.hashes {
		// Most requests come once, and would displace the parts in use.
		if !isRequest(hash) || quarantine.state.Load().refersTo(hash) {
			quarantine.answers.record(hash, began)
		}
	}
}

// IsSuspect reports whether the whole request was at a crash before.
func (quarantine *Quarantine) IsSuspect(traits Traits) bool {
	request, ok := traits.request()
	return ok && quarantine.state.Load().countCrashes(request) > 0
}

// Crashed records that the server ended the connection of a request with the traits
// before the answer had properly begun; repeated tells that the request was a suspect
// when it was sent. Crashed reports whether peers should learn of it at once: a part of
// the prompt was never answered, or the request was at several crashes.
func (quarantine *Quarantine) Crashed(server uint64, traits Traits, repeated bool, now clock.Millis) (urgent bool) {
	if len(traits.hashes) == 0 {
		return false
	}
	seen := crash{server: server, at: now, traits: traits.hashes, own: traits.hashes}
	if request, ok := traits.request(); ok && repeated {
		seen.repeated = []uint64{request}
	}
	quarantine.update(func(current *state) *state { return current.withCrash(seen) })
	return slices.ContainsFunc(traits.hashes, func(hash uint64) bool {
		if isRequest(hash) {
			return quarantine.state.Load().countCrashes(hash) >= minReportedCrashes
		}
		_, answered := quarantine.lastAnswer(hash)
		return !answered
	})
}

// Check reports whether a request with the traits must not be sent to a server, and the
// time until the next trial. If the node may try, Check lets through one request each
// time a trial is due.
func (quarantine *Quarantine) Check(traits Traits, now clock.Millis, mayTry func() bool) (wait clock.Millis, blocked bool) {
	for _, block := range quarantine.state.Load().blocks {
		if block.matches(traits.hashes) && !block.takeTrial(now, mayTry) {
			return block.nextTrial(now) - now, true
		}
	}
	return 0, false
}

// Find returns the quarantine by which Check would block a request with the traits, and the
// time until its next trial. It takes no trial.
func (quarantine *Quarantine) Find(traits Traits, now clock.Millis, mayTry func() bool) (block Block, wait clock.Millis, blocked bool) {
	for _, block := range quarantine.state.Load().blocks {
		if !block.matches(traits.hashes) {
			continue
		}
		if _, _, isDue := block.trialDue(now, mayTry); !isDue {
			return block, block.nextTrial(now) - now, true
		}
	}
	return Block{}, 0, false
}

// Size returns the number of quarantines.
func (quarantine *Quarantine) Size() int { return len(quarantine.state.Load().blocks) }

// Review draws conclusions from the evidence, that of peers being known after the delay.
// It returns the quarantines that began and those that ended.
func (quarantine *Quarantine) Review(delay, now clock.Millis) (began, ended []Block) {
	quarantine.update(func(current *state) *state {
		var next *state
		next, began, ended = current.review(view{last: quarantine.lastAnswer, uptime: now - quarantine.answers.start, delay: delay, now: now})
		return next
	})
	return began, ended
}

// update replaces the state by the result of the function, which may be called again
// if another update comes in between.
func (quarantine *Quarantine) update(change func(*state) *state) {
	for {
		current := quarantine.state.Load()
		next := change(current)
		if next == current || quarantine.state.CompareAndSwap(current, next) {
			return
		}
	}
}

// lastAnswer returns when the latest known answer for a trait, or of a server, began.
func (quarantine *Quarantine) lastAnswer(hash uint64) (at clock.Millis, ok bool) {
	at, ok = quarantine.answers.last(hash)
	if atPeer, known := quarantine.state.Load().peerAnswers[hash]; known && (!ok || atPeer > at) {
		return atPeer, true
	}
	return at, ok
}

// sorted sorts the hashes, removes duplicates and returns them.
func sorted(hashes []uint64) []uint64 {
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// contains reports whether the sorted hashes contain the hash.
func contains(hashes []uint64, hash uint64) bool {
	_, found := slices.BinarySearch(hashes, hash)
	return found
}

// containsAll reports whether the sorted hashes contain all of the others.
func containsAll(hashes, others []uint64) bool {
	for _, other := range others {
		if !contains(hashes, other) {
			return false
		}
	}
	return true
}
