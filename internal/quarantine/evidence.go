package quarantine

import (
	"slices"

	"sapphirehead/internal/clock"
)

const (
	// reportTime is how long a node reports a crash to its peers. A large deployment
	// sends a few bulletins in this time.
	reportTime = 5 * clock.Second
	// These bound a node's evidence in a bulletin, which must fit into one packet: crashes
	// that no quarantine explains, with their parts of prompts and whole requests, those
	// that one explains, answers, and quarantines.
	maxOpenReports      = 8
	maxReportedParts    = 6
	maxReportedRequests = 4
	maxExplainedReports = 24
	maxReportedAnswers  = 32
	maxReportedBlocks   = 16
	// minReportedCrashes is the number of crashes from which answers for a trait matter.
	minReportedCrashes = 2
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

// CrashReport is a crash of a server, and the traits of requests that were ended by it
// at the sender.
type CrashReport struct {
	server   uint64
	age      clock.Millis
	traits   []uint64
	repeated []uint64
}

// NewCrashReport returns a report on the server with the hash of its key.
func NewCrashReport(server uint64, age clock.Millis, traits []uint64) CrashReport {
	return CrashReport{server: server, age: age, traits: traits}
}

// WithRepeated returns a copy with the hashes of the whole requests that were suspects
// when they were sent to the server.
func (report CrashReport) WithRepeated(requests []uint64) CrashReport {
	report.repeated = requests
	return report
}

// Repeated returns the hashes of the whole requests that were suspects when they were
// sent to the server.
func (report CrashReport) Repeated() []uint64 { return report.repeated }

// Server returns the hash of the server's key.
func (report CrashReport) Server() uint64 { return report.server }

// Age returns the time since the crash.
func (report CrashReport) Age() clock.Millis { return report.age }

// Traits returns the hashes of the traits.
func (report CrashReport) Traits() []uint64 { return report.traits }

// AnswerReport is the latest answer for a trait, or of a server.
type AnswerReport struct {
	hash uint64
	age  clock.Millis
}

// NewAnswerReport returns a report on the hash of a trait's id or of a server's key.
func NewAnswerReport(hash uint64, age clock.Millis) AnswerReport {
	return AnswerReport{hash: hash, age: age}
}

// Hash returns the hash of the trait, or of the server's key.
func (report AnswerReport) Hash() uint64 { return report.hash }

// Age returns the time since the answer began.
func (report AnswerReport) Age() clock.Millis { return report.age }

// BlockReport is a quarantine.
type BlockReport struct {
	traits     []uint64
	age        clock.Millis
	decidedAge clock.Millis
}

// NewBlockReport returns a report on the quarantine of the traits, with the time since
// the first crash that it explains and the time since it was decided.
func NewBlockReport(traits []uint64, age, decidedAge clock.Millis) BlockReport {
	return BlockReport{traits: traits, age: age, decidedAge: decidedAge}
}

// Traits returns the hashes of the traits.
func (report BlockReport) Traits() []uint64 { return report.traits }

// Age returns the time since the first crash that the quarantine explains.
func (report BlockReport) Age() clock.Millis { return report.age }

// DecidedAge returns the time since the quarantine was decided.
func (report BlockReport) DecidedAge() clock.Millis { return report.decidedAge }

// Evidence returns what this node tells its peers now: the quarantines, the recent
// crashes that it saw, and the answers that matter for them. A crash that a quarantine
// explains is reported with its traits only, or peers that have not seen the request
// with them would count the crash against others.
func (quarantine *Quarantine) Evidence(now clock.Millis) Evidence {
	current := quarantine.state.Load()
	if len(current.crashes) == 0 && len(current.blocks) == 0 {
		return Evidence{}
	}
	var evidence Evidence
	for _, block := range current.blocks[max(0, len(current.blocks)-maxReportedBlocks):] {
		evidence.blocks = append(evidence.blocks, NewBlockReport(block.traits, now-block.since, now-block.decided))
	}
	open, explained := 0, 0
	for _, crash := range slices.Backward(current.crashes) {
		if now-crash.at > reportTime {
			break
		}
		if len(crash.own) == 0 || crash.survived {
			continue
		}
		if block, ok := current.explanation(crash.traits); ok {
			if explained++; containsAll(crash.own, block.traits) && explained <= maxExplainedReports {
				evidence.crashes = append(evidence.crashes, crash.report(block.traits, now))
			}
		} else if open++; open <= maxOpenReports {
			evidence.crashes = append(evidence.crashes, crash.report(quarantine.mostSuspect(current, crash.own), now))
		}
	}
	for _, hash := range current.disputed(now) {
		if at, ok := quarantine.answers.last(hash); ok && len(evidence.answers) < maxReportedAnswers {
			evidence.answers = append(evidence.answers, NewAnswerReport(hash, now-at))
		}
	}
	return evidence
}

// disputed returns the hashes for which answers matter now: traits of quarantines, the
// servers of recent crashes, and while there are such crashes the traits at several of
// the open ones. A trait at a single crash needs no answer.
func (current *state) disputed(now clock.Millis) []uint64 {
	open := current.unexplained()
	var hashes []uint64
	for _, block := range current.blocks {
		hashes = append(hashes, block.traits...)
	}
	if len(open) == 0 || now-open[len(open)-1].at > reportTime {
		return sorted(hashes)
	}
	counts := map[uint64]int{}
	for _, crash := range open {
		if now-crash.at <= crashSpan {
			hashes = append(hashes, crash.server)
		}
		for _, trait := range crash.traits {
			counts[trait]++
		}
	}
	for trait, count := range counts {
		if count >= minReportedCrashes {
			hashes = append(hashes, trait)
		}
	}
	return sorted(hashes)
}

// report returns the report on the crash with those of its traits.
func (crash crash) report(traits []uint64, now clock.Millis) CrashReport {
	var repeated []uint64
	for _, request := range crash.repeated {
		if slices.Contains(traits, request) {
			repeated = append(repeated, request)
		}
	}
	return NewCrashReport(crash.server, now-crash.at, traits).WithRepeated(repeated)
}

// mostSuspect returns at most maxReportedParts parts of prompts and maxReportedRequests
// whole requests.
func (quarantine *Quarantine) mostSuspect(current *state, traits []uint64) []uint64 {
	var parts, requests []uint64
	for _, hash := range traits {
		if isRequest(hash) {
			requests = append(requests, hash)
		} else {
			parts = append(parts, hash)
		}
	}
	return append(quarantine.mostSuspectParts(parts), current.mostSuspectRequests(requests)...)
}

// mostSuspectRequests returns at most maxReportedRequests whole requests, first those at
// most crashes.
func (current *state) mostSuspectRequests(requests []uint64) []uint64 {
	if len(requests) <= maxReportedRequests {
		return requests
	}
	ordered := slices.Clone(requests)
	slices.SortStableFunc(ordered, func(a, b uint64) int { return current.countCrashes(b) - current.countCrashes(a) })
	return ordered[:maxReportedRequests]
}

// mostSuspectParts returns at most maxReportedParts parts, first those that were never
// answered.
func (quarantine *Quarantine) mostSuspectParts(parts []uint64) []uint64 {
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
			next = next.withCrash(crash{
				server: report.server, at: now - report.age,
				traits: sorted(slices.Clone(report.traits)), repeated: sorted(slices.Clone(report.repeated)),
			})
		}
		for _, report := range evidence.blocks {
			next = next.withBlockOf(report, quarantine.lastAnswer, now)
		}
		return next.withPeerAnswers(evidence.answers, now)
	})
}

// withBlockOf returns the state with a quarantine that a peer reported, unless answers
// that this node knows disprove it.
func (current *state) withBlockOf(report BlockReport, last lastAnswer, now clock.Millis) *state {
	block := newBlock(sorted(slices.Clone(report.traits)), now-report.age, now-report.decidedAge, now)
	block.traits = block.remaining(last)
	if len(block.traits) == 0 {
		return current
	}
	next := *current
	if !next.addBlock(block) {
		return current
	}
	return &next
}
