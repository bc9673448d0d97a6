package node

import "sapphirehead/internal/clock"

// Bounds of a digest, which do not depend on the number of nodes.
const (
	// digestMembers and digestLeaving bound the digest of a gossip round.
	digestMembers = 4
	digestLeaving = 8
	// pushMembers and pushLeaving bound a push.
	pushMembers = 32
	pushLeaving = 512
	// updateRepeats is the number of digests in which an update takes precedence.
	// After that it is only sent in rotation.
	updateRepeats = 8
)

// Digest is the message of a node to a peer in a gossip exchange.
type Digest struct {
	sender  Member
	members []Member
	leaving []LeavingEvidence
	sums    Sums
}

// NewDigest returns a digest of the sender.
func NewDigest(sender Member, members []Member, leaving []LeavingEvidence, sums Sums) Digest {
	return Digest{sender: sender, members: members, leaving: leaving, sums: sums}
}

// Sender returns the sender's own state.
func (digest Digest) Sender() Member { return digest.sender }

// Members returns updates of other members.
func (digest Digest) Members() []Member { return digest.members }

// Leaving returns evidence of leaving backend servers.
func (digest Digest) Leaving() []LeavingEvidence { return digest.leaving }

// Sums returns the sums over the whole state of the sender.
func (digest Digest) Sums() Sums { return digest.sums }

// Sums are checksums by which two nodes detect that their states differ: for each
// set, the exclusive or of the hashes of its elements.
type Sums struct {
	members  uint64
	evidence uint64
}

// NewSums returns the sums over the live members, the node itself among them,
// and over the evidence of leaving servers.
func NewSums(members, evidence uint64) Sums { return Sums{members: members, evidence: evidence} }

// Members returns the sum over the live members.
func (sums Sums) Members() uint64 { return sums.members }

// Evidence returns the sum over the evidence of leaving servers.
func (sums Sums) Evidence() uint64 { return sums.evidence }

// LeavingEvidence is evidence that a backend server is leaving.
type LeavingEvidence struct {
	server string
	age    clock.Millis
	notice clock.Millis
}

// NewLeavingEvidence returns evidence of the given age. The notice is the time
// from the evidence to the end of the server, or 0 if it is not known.
func NewLeavingEvidence(server string, age, notice clock.Millis) LeavingEvidence {
	return LeavingEvidence{server: server, age: age, notice: notice}
}

// Server returns the id of the backend server.
func (leaving LeavingEvidence) Server() string { return leaving.server }

// Age returns how old the evidence is.
func (leaving LeavingEvidence) Age() clock.Millis { return leaving.age }

// Notice returns the time from the evidence to the end, or 0 if not known.
func (leaving LeavingEvidence) Notice() clock.Millis { return leaving.notice }

// Remaining returns the time from the sending of the evidence to the end of the
// server, at least a millisecond, or 0 if the notice is not known.
func (leaving LeavingEvidence) Remaining() clock.Millis {
	if leaving.notice == 0 {
		return 0
	}
	return max(leaving.notice-leaving.age, clock.Millisecond)
}
