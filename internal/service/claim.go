package service

import "sapphirehead/internal/clock"

// State is the state of the run under a claim.
type State int

// The states of a claim.
const (
	// StateTaken means that the run may be in progress or may have ended.
	StateTaken State = iota + 1
	// StateReleased means that the request ended without a run and will never run.
	StateReleased
	// StateRecorded means that the outcome is recorded.
	StateRecorded
	// StateNotKept means that the request ran and its answer was too large to be
	// recorded.
	StateNotKept
)

// Claim is the right of one request to run under a key. It is immutable.
type Claim struct {
	nonce       string
	holder      string
	fingerprint string
	takenAt     clock.Millis
	state       State
	answer      Answer
}

// NewClaim returns a claim in StateTaken. The nonce is unique to the request, the
// holder is the name of the process that runs it, and at is the wall time.
func NewClaim(nonce, holder, fingerprint string, takenAt clock.Millis) Claim {
	return Claim{nonce: nonce, holder: holder, fingerprint: fingerprint, takenAt: takenAt, state: StateTaken}
}

// Nonce returns the nonce of the request that took the claim.
func (claim Claim) Nonce() string { return claim.nonce }

// Holder returns the name of the process that took the claim, or empty once the
// request has ended.
func (claim Claim) Holder() string { return claim.holder }

// Fingerprint returns the digest of the call.
func (claim Claim) Fingerprint() string { return claim.fingerprint }

// TakenAt returns the wall time at which the claim was taken.
func (claim Claim) TakenAt() clock.Millis { return claim.takenAt }

// State returns the state of the run.
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

// Upper bounds of the stored size of a claim.
const (
	claimOverheadBytes = 200
	// maxEscapedBytes is the maximum stored size of one byte of escaped text.
	maxEscapedBytes = 6
)

// storedSize returns an upper bound of the claim's stored size in bytes.
func (claim Claim) storedSize() int {
	texts := len(claim.nonce) + len(claim.holder) + len(claim.fingerprint)
	answer := maxEscapedBytes*len(claim.answer.contentType) + (len(claim.answer.body)+2)/3*4
	return claimOverheadBytes + texts + answer
}
