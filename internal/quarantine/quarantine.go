// Package quarantine finds prompt parts that crash model runners, and keeps requests
// with such a part away from them.
//
// A crash ends the responses of all requests at a runner. Each of those whose
// response had hardly begun may have caused it, so the shared parts of their prompts
// are suspects. A part is quarantined once several crashes have it in common and no
// prompt with it was answered in between:
//
//	crash 1: parts A B (request 1), A C (request 2)
//	crash 2: parts A B
//	A answered
//	crash 3: parts A B, D     -> B is quarantined; A is not, as it was answered
//
// Parts that no evidence tells apart are quarantined together: a prompt is refused
// only if it has all of them. A crash that a quarantined part explains counts
// against no other part.
//
// Each node sees a few of the requests, so nodes exchange Evidence: the crashes that
// they saw, when suspects were last answered, and the quarantines. At times that
// grow further apart one request is let through on trial; a complete answer ends the
// quarantine.
package quarantine

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/runner"
)

// Quarantine is a node's knowledge of crashes and of quarantined parts. It is safe for
// concurrent use: requests read an immutable state, which updates replace.
type Quarantine struct {
	answers answers
	state   atomic.Pointer[state]
}

// New returns a quarantine without parts.
func New(now clock.Millis) *Quarantine {
	quarantine := &Quarantine{answers: newAnswers(now)}
	quarantine.state.Store(&state{})
	return quarantine
}

// Answered records a complete answer of the server to the prompt, and when the answer
// began.
func (quarantine *Quarantine) Answered(server uint64, prompt runner.Prompt, began clock.Millis) {
	quarantine.answers.record(server, began)
	for _, part := range prompt.Shared() {
		quarantine.answers.record(hashOf(part), began)
	}
}

// Crashed records that the server ended the connection of a request with the prompt
// before the answer had properly begun. It reports whether peers should learn of it at
// once, as a part of the prompt was never answered.
func (quarantine *Quarantine) Crashed(server uint64, prompt runner.Prompt, now clock.Millis) (urgent bool) {
	parts := hashesOf(prompt)
	if len(parts) == 0 {
		return false
	}
	quarantine.update(func(current *state) *state { return current.withCrash(server, now, parts, parts) })
	return slices.ContainsFunc(parts, func(part uint64) bool {
		_, answered := quarantine.lastAnswer(part)
		return !answered
	})
}

// Check reports whether a request with the prompt must not be sent to a runner, and the
// time until the next trial. If the node may try, Check lets through one request each
// time a trial is due.
func (quarantine *Quarantine) Check(prompt runner.Prompt, now clock.Millis, mayTry func() bool) (wait clock.Millis, blocked bool) {
	blocks := quarantine.state.Load().blocks
	if len(blocks) == 0 {
		return 0, false
	}
	parts := hashesOf(prompt)
	for _, block := range blocks {
		if block.matches(parts) && !block.takeTrial(now, mayTry) {
			return block.nextTrial(now) - now, true
		}
	}
	return 0, false
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

// lastAnswer returns when the latest known answer for a part, or of a server, began.
func (quarantine *Quarantine) lastAnswer(hash uint64) (at clock.Millis, ok bool) {
	at, ok = quarantine.answers.last(hash)
	if atPeer, known := quarantine.state.Load().peerAnswers[hash]; known && (!ok || atPeer > at) {
		return atPeer, true
	}
	return at, ok
}

// hashesOf returns the sorted hashes of the parts of the prompt that others may share.
func hashesOf(prompt runner.Prompt) []uint64 {
	shared := prompt.Shared()
	hashes := make([]uint64, 0, len(shared))
	for _, part := range shared {
		hashes = append(hashes, hashOf(part))
	}
	return sorted(hashes)
}

func hashOf(part runner.Part) uint64 { return xxhash.Sum64String(part.ID()) }

// sorted sorts the hashes, removes duplicates and returns them.
func sorted(hashes []uint64) []uint64 {
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// containsAll reports whether the sorted hashes contain all of the others.
func containsAll(hashes, others []uint64) bool {
	for _, other := range others {
		if _, found := slices.BinarySearch(hashes, other); !found {
			return false
		}
	}
	return true
}
