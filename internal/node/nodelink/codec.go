package nodelink

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
)

// EncodeDigest returns the message for a digest.
func EncodeDigest(digest node.Digest, push bool) *nodepb.Heartbeat {
	message := nodepb.Heartbeat_builder{Sender: encodeMember(digest.Sender())}.Build()
	if push {
		message.SetPush(true)
	}
	message.SetMembersSum(digest.Sums().Members())
	if digest.Sums().Evidence() != 0 {
		message.SetEvidenceSum(digest.Sums().Evidence())
	}
	members := make([]*nodepb.Member, 0, len(digest.Members()))
	for _, member := range digest.Members() {
		members = append(members, encodeMember(member))
	}
	message.SetMembers(members)
	evidence := make([]*nodepb.Evidence, 0, len(digest.Leaving()))
	for _, leaving := range digest.Leaving() {
		evidence = append(evidence, encodeLeaving(leaving))
	}
	message.SetLeaving(evidence)
	return message
}

// DecodeDigest returns the digest in a message.
func DecodeDigest(message *nodepb.Heartbeat) node.Digest {
	members := make([]node.Member, 0, len(message.GetMembers()))
	for _, member := range message.GetMembers() {
		members = append(members, decodeMember(member))
	}
	leaving := make([]node.LeavingEvidence, 0, len(message.GetLeaving()))
	for _, evidence := range message.GetLeaving() {
		leaving = append(leaving, node.NewLeavingEvidence(evidence.GetServer(), clock.Millis(evidence.GetAgeMillis()), clock.Millis(evidence.GetNoticeMillis())))
	}
	return node.NewDigest(decodeMember(message.GetSender()), members, leaving, node.NewSums(message.GetMembersSum(), message.GetEvidenceSum()))
}

func encodeLeaving(leaving node.LeavingEvidence) *nodepb.Evidence {
	evidence := &nodepb.Evidence{}
	evidence.SetServer(leaving.Server())
	evidence.SetAgeMillis(int64(leaving.Age()))
	if leaving.Notice() > 0 {
		evidence.SetNoticeMillis(int64(leaving.Notice()))
	}
	return evidence
}

// encodeMember leaves out zero values to save bytes, as each digest carries
// several members.
func encodeMember(member node.Member) *nodepb.Member {
	message := &nodepb.Member{}
	message.SetHost(member.Host())
	message.SetAddress(member.Address())
	message.SetDataCentre(member.DataCentre())
	message.SetIncarnation(member.Incarnation())
	message.SetSequence(member.Sequence())
	message.SetTablesVersion(member.TablesVersion())
	if member.Ready() {
		message.SetReady(true)
	}
	if member.Stopping() {
		message.SetStopping(true)
	}
	if member.Silent() {
		message.SetSilent(true)
	}
	return message
}

func decodeMember(message *nodepb.Member) node.Member {
	return node.NewMember(message.GetHost(), message.GetAddress(), message.GetDataCentre(), message.GetIncarnation()).
		WithState(message.GetSequence(), message.GetTablesVersion(), message.GetReady(), message.GetStopping()).
		WithSilent(message.GetSilent())
}
