package quarantine

import (
	"slices"

	"sapphirehead/internal/clock"
)

const (
	// reportTime is how long a node reports a crash to its peers. A large deployment
	// sends a few bulletins in this time.
	reportTime = 5 * clock.Second
	// maxReports and maxReportedParts bound a node's evidence in a bulletin.
	maxReports       = 16
	maxReportedParts = 16
)

// Evidence is what a node tells its peers. Times are ages when it was sent, in
// milliseconds.
type Evidence struct {
	crashes []CrashReport
	answers []AnswerReport
	blocks  []BlockReport
}

// NewEvidence returns evidence of crashes, of answers, and of quarantines.
func NewEvidence(crashes []CrashReport, answers []AnswerReport, blocks []BlockReport) Evidence {
	return Evidence{crashes: crashes, answers: answers, blocks: blocks}
}

// IsEmpty reports whether there is nothing to tell.
func (evidence Evidence) IsEmpty() bool {
	return len(evidence.crashes)+len(evidence.answers)+len(evidence.blocks) == 0
}

// Crashes returns the crashes that the sender saw.
func (evidence Evidence) Crashes() []CrashReport { return evidence.crashes }

// Answers returns the sender's latest answers.
func (evidence Evidence) Answers() []AnswerReport { return evidence.answers }

// Blocks returns the quarantines that the sender knows.
func (evidence Evidence) Blocks() []BlockReport { return evidence.blocks }

// CrashReport is a crash of a server, and the parts of requests that were ended by it
// at the sender.
type CrashReport struct {
	server uint64
	age    clock.Millis
	parts  []uint64
}

// NewCrashReport returns a report on the server with the hash of its key.
func NewCrashReport(server uint64, age clock.Millis, parts []uint64) CrashReport {
	return CrashReport{server: server, age: age, parts: parts}
}

// Server returns the hash of the server's key.
func (report CrashReport) Server() uint64 { return report.server }

// Age returns the time since the crash.
func (report CrashReport) Age() clock.Millis { return report.age }

// Parts returns the hashes of the parts' ids.
func (report CrashReport) Parts() []uint64 { return report.parts }

// AnswerReport is the latest answer for a part, or of a server.
type AnswerReport struct {
	hash uint64
	age  clock.Millis
}

// NewAnswerReport returns a report on the hash of a part's id or of a server's key.
func NewAnswerReport(hash uint64, age clock.Millis) AnswerReport {
	return AnswerReport{hash: hash, age: age}
}

// Hash returns the hash of the part's id, or of the server's key.
func (report AnswerReport) Hash() uint64 { return report.hash }

// Age returns the time since the answer began.
func (report AnswerReport) Age() clock.Millis { return report.age }

// BlockReport is a quarantine.
type BlockReport struct {
	parts      []uint64
	age        clock.Millis
	decidedAge clock.Millis
}

// NewBlockReport returns a report on the quarantine of the parts, with the time since
// the first crash that it explains and the time since it was decided.
func NewBlockReport(parts []uint64, age, decidedAge clock.Millis) BlockReport {
	return BlockReport{parts: parts, age: age, decidedAge: decidedAge}
}

// Parts returns the hashes of the parts' ids.
func (report BlockReport) Parts() []uint64 { return report.parts }

// Age returns the time since the first crash that the quarantine explains.
func (report BlockReport) Age() clock.Millis { return report.age }

// DecidedAge returns the time since the quarantine was decided.
func (report BlockReport) DecidedAge() clock.Millis { return report.decidedAge }

// Evidence returns what this node tells its peers now: the recent crashes that it saw,
// the answers that it knows for suspects of recent crashes and for quarantined parts,
// and all quarantines.
func (quarantine *Quarantine) Evidence(now clock.Millis) Evidence {
	current := quarantine.state.Load()
	var evidence Evidence
	var concerned []uint64
	for _, crash := range slices.Backward(current.crashes) {
		if now-crash.at > reportTime || len(evidence.crashes) == maxReports {
			break
		}
		concerned = append(append(concerned, crash.parts...), crash.server)
		if len(crash.own) > 0 {
			evidence.crashes = append(evidence.crashes, NewCrashReport(crash.server, now-crash.at, quarantine.mostSuspect(crash.own)))
		}
	}
	for _, block := range current.blocks {
		concerned = append(concerned, block.parts...)
		evidence.blocks = append(evidence.blocks, NewBlockReport(block.parts, now-block.since, now-block.decided))
	}
	for _, hash := range sorted(concerned) {
		if at, ok := quarantine.answers.last(hash); ok {
			evidence.answers = append(evidence.answers, NewAnswerReport(hash, now-at))
		}
	}
	return evidence
}

// mostSuspect returns at most maxReportedParts parts, first those that were never
// answered.
func (quarantine *Quarantine) mostSuspect(parts []uint64) []uint64 {
	if len(parts) <= maxReportedParts {
		return parts
	}
	ordered := slices.Clone(parts)
	slices.SortStableFunc(ordered, func(a, b uint64) int {
		_, answeredA := quarantine.lastAnswer(a)
		_, answeredB := quarantine.lastAnswer(b)
		switch {
		case answeredA == answeredB:
			return 0
		case answeredB:
			return -1
		default:
			return 1
		}
	})
	return ordered[:maxReportedParts]
}

// Merge adds the evidence of a peer that arrived at the time. Merging the same evidence
// again changes nothing.
func (quarantine *Quarantine) Merge(evidence Evidence, now clock.Millis) {
	if evidence.IsEmpty() {
		return
	}
	quarantine.update(func(current *state) *state {
		next := current
		for _, report := range evidence.crashes {
			next = next.withCrash(report.server, now-report.age, sorted(slices.Clone(report.parts)), nil)
		}
		for _, report := range evidence.blocks {
			next = next.withBlockOf(report, quarantine.lastAnswer, now)
		}
		for _, report := range evidence.answers {
			next = next.withPeerAnswer(report.hash, now-report.age)
		}
		return next
	})
}

// withBlockOf returns the state with a quarantine that a peer reported, unless answers
// that this node knows disprove it.
func (current *state) withBlockOf(report BlockReport, last lastAnswer, now clock.Millis) *state {
	block := newBlock(sorted(slices.Clone(report.parts)), now-report.age, now-report.decidedAge, now)
	block.parts = block.remaining(last)
	if len(block.parts) == 0 {
		return current
	}
	next := *current
	if !next.addBlock(block) {
		return current
	}
	return &next
}
