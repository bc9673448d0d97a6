package service

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// OperationKind is the kind of change that an operation makes to a claim.
type OperationKind int

// The kinds of operation.
const (
	// OperationClaim requests the right to run.
	OperationClaim OperationKind = iota + 1
	// OperationRecord stores the outcome of a run.
	OperationRecord
	// OperationRelease ends the claim of a request that will never run.
	OperationRelease
)

// Operation is one change of one claim. It is immutable and idempotent.
type Operation struct {
	kind        OperationKind
	place       Place
	id          string
	nonce       string
	holder      string
	fingerprint string
	supersedes  string
	answer      Answer
	oversize    bool
	adopt       bool
}

// NewOperation returns an operation on the claim with the key id at the place,
// by the request with the nonce in the holder's process.
func NewOperation(kind OperationKind, place Place, id, nonce, holder, fingerprint string) Operation {
	return Operation{kind: kind, place: place, id: id, nonce: nonce, holder: holder, fingerprint: fingerprint}
}

// WithSupersedes returns a copy that may replace the claim with the nonce, whose
// holder confirmed that its request will never run.
func (operation Operation) WithSupersedes(nonce string) Operation {
	operation.supersedes = nonce
	return operation
}

// WithAnswer returns a copy that records the answer, or only that there was one if
// it is larger than MaxRecordedBytes. With adopt, a call that was sent without a
// claim is recorded too.
func (operation Operation) WithAnswer(answer Answer, adopt bool) Operation {
	operation.answer, operation.adopt = answer, adopt
	if len(answer.body) > MaxRecordedBytes || len(answer.contentType) > maxContentTypeBytes {
		return operation.WithOversize()
	}
	return operation
}

// WithOversize returns a copy that records a run without its answer.
func (operation Operation) WithOversize() Operation {
	operation.answer, operation.oversize = Answer{}, true
	return operation
}

// Kind returns the kind of the operation.
func (operation Operation) Kind() OperationKind { return operation.kind }

// Place returns the location of the claim.
func (operation Operation) Place() Place { return operation.place }

// ID returns the key id.
func (operation Operation) ID() string { return operation.id }

// Nonce returns the request's nonce.
func (operation Operation) Nonce() string { return operation.nonce }

// Holder returns the name of the request's process.
func (operation Operation) Holder() string { return operation.holder }

// Fingerprint returns the digest of the call.
func (operation Operation) Fingerprint() string { return operation.fingerprint }

// Supersedes returns the nonce of a claim that may be replaced, or empty.
func (operation Operation) Supersedes() string { return operation.supersedes }

// Answer returns the outcome to record.
func (operation Operation) Answer() Answer { return operation.answer }

// Oversize reports whether the answer is too large to be recorded.
func (operation Operation) Oversize() bool { return operation.oversize }

// Adopt reports whether a call without a claim may be recorded.
func (operation Operation) Adopt() bool { return operation.adopt }

// Verdict is the result of an operation. For a record or a release,
// request.ClaimGranted means success.
type Verdict struct {
	claim  request.Claim
	answer Answer
	nonce  string
	holder string
	// full is set if the object has no space for the claim.
	full bool
	// mayBeCommitted is set if the operation may have been committed, although no
	// result is known.
	mayBeCommitted bool
}

// NewVerdict returns a verdict. Nonce and holder are those of a conflicting claim
// without a recorded outcome.
func NewVerdict(claim request.Claim, answer Answer, nonce, holder string) Verdict {
	return Verdict{claim: claim, answer: answer, nonce: nonce, holder: holder}
}

// Claim returns the result.
func (verdict Verdict) Claim() request.Claim { return verdict.claim }

// Answer returns the recorded outcome; only for request.ClaimRecorded.
func (verdict Verdict) Answer() Answer { return verdict.answer }

// Nonce returns the nonce of the conflicting claim.
func (verdict Verdict) Nonce() string { return verdict.nonce }

// Holder returns the name of the process that holds the conflicting claim.
func (verdict Verdict) Holder() string { return verdict.holder }

// maxContentTypeBytes bounds the media type of a recorded answer.
const maxContentTypeBytes = 128

// MaxAhead is the margin for differences between the clocks of hosts: a key's
// creation time may be ahead of this node's clock by at most that much.
const MaxAhead = 10 * clock.Minute
