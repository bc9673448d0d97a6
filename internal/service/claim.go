package service

import "sapphirehead/internal/clock"

// State tells what is known of the run under a claim.
type State int

// The states of a claim.
const (
	// StateTaken means that the run may be going on or may have happened.
	StateTaken State = iota + 1
	// StateReleased means that the request ended without a run and never runs.
	StateReleased
	// StateRecorded means that the outcome is recorded.
	StateRecorded
	// StateNotKept means that the request ran and its answer was too large.
	StateNotKept
)

// Claim is the right of one request to run under a key. It does not change.
type Claim struct {
	nonce       string
	holder      string
	fingerprint string
	at          clock.Millis
	state       State
	answer      Answer
}

// NewClaim returns a taken claim. The nonce is unique to the request, the
// holder names the process that runs it, and at is a wall time.
func NewClaim(nonce, holder, fingerprint string, at clock.Millis) Claim {
	return Claim{nonce: nonce, holder: holder, fingerprint: fingerprint, at: at, state: StateTaken}
}

// Nonce returns which request took the claim.
func (claim Claim) Nonce() string { return claim.nonce }

// Holder returns the process that took the claim; empty once it has ended.
func (claim Claim) Holder() string { return claim.holder }

// Fingerprint returns the digest of the call.
func (claim Claim) Fingerprint() string { return claim.fingerprint }

// At returns the wall time at which the claim was taken.
func (claim Claim) At() clock.Millis { return claim.at }

// State returns what is known of the run.
func (claim Claim) State() State { return claim.state }

// Answer returns the recorded outcome; only for StateRecorded.
func (claim Claim) Answer() Answer { return claim.answer }

// WithAnswer returns a copy with the recorded outcome.
func (claim Claim) WithAnswer(answer Answer) Claim {
	claim.state, claim.answer, claim.holder = StateRecorded, answer, ""
	return claim
}

// WithState returns a copy in the state, without an answer.
func (claim Claim) WithState(state State) Claim {
	claim.state, claim.answer, claim.holder = state, Answer{}, ""
	return claim
}

// Room that a claim takes in the stored form.
const (
	claimOverheadBytes = 200
	// maxEscapedBytes is the longest stored form of one byte of text.
	maxEscapedBytes = 6
)

// storedSize returns an upper bound of the claim's stored size in bytes.
func (claim Claim) storedSize() int {
	texts := len(claim.nonce) + len(claim.holder) + len(claim.fingerprint)
	answer := maxEscapedBytes*len(claim.answer.contentType) + (len(claim.answer.body)+2)/3*4
	return claimOverheadBytes + texts + answer
}
