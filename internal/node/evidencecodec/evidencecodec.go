// Package evidencecodec encodes what nodes tell each other about prompt parts that crash
// backend servers.
package evidencecodec

import (
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/quarantine"
)

// Encode returns the message for the evidence, or nil if there is none.
func Encode(evidence quarantine.Evidence) *nodepb.CrashEvidence {
	if evidence.IsEmpty() {
		return nil
	}
	message := &nodepb.CrashEvidence{}
	var crashes []*nodepb.Crash
	for _, report := range evidence.Crashes() {
		form := &nodepb.Crash{}
		form.SetServer(report.Server())
		form.SetAgeMillis(int64(report.Age()))
		form.SetParts(report.Traits())
		form.SetRepeated(report.Repeated())
		crashes = append(crashes, form)
	}
	message.SetCrashes(crashes)
	var answered []uint64
	var ages []int64
	for _, report := range evidence.Answers() {
		answered = append(answered, report.Hash())
		ages = append(ages, int64(report.Age()))
	}
	message.SetAnswered(answered)
	message.SetAnswerAgesMillis(ages)
	var quarantines []*nodepb.Quarantine
	for _, report := range evidence.Blocks() {
		form := &nodepb.Quarantine{}
		form.SetParts(report.Traits())
		form.SetAgeMillis(int64(report.Age()))
		form.SetDecidedAgeMillis(int64(report.DecidedAge()))
		quarantines = append(quarantines, form)
	}
	message.SetQuarantines(quarantines)
	return message
}

// Decode reads the evidence from a message, which may be nil.
func Decode(message *nodepb.CrashEvidence) (quarantine.Evidence, error) {
	if len(message.GetAnswered()) != len(message.GetAnswerAgesMillis()) {
		return quarantine.Evidence{}, errors.New("decode crash evidence: lists that belong together differ in length")
	}
	var crashes []quarantine.CrashReport
	for _, form := range message.GetCrashes() {
		crashes = append(crashes, quarantine.NewCrashReport(form.GetServer(), clock.Millis(form.GetAgeMillis()), form.GetParts()).WithRepeated(form.GetRepeated()))
	}
	var answers []quarantine.AnswerReport
	for i, hash := range message.GetAnswered() {
		answers = append(answers, quarantine.NewAnswerReport(hash, clock.Millis(message.GetAnswerAgesMillis()[i])))
	}
	var blocks []quarantine.BlockReport
	for _, form := range message.GetQuarantines() {
		blocks = append(blocks, quarantine.NewBlockReport(form.GetParts(), clock.Millis(form.GetAgeMillis()), clock.Millis(form.GetDecidedAgeMillis())))
	}
	return quarantine.NewEvidence(crashes, answers, blocks), nil
}
