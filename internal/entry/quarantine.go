package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// maxTokensAtCrash is the number of tokens up to which an attempt has hardly begun its
// response, so that its prompt may have crashed the runner.
const maxTokensAtCrash = 1

// traitsOf returns the traits by which crashes of servers are compared: each message and
// the whole prompt of a chat, or the whole content of another call.
func traitsOf(req *request.Request) quarantine.Traits {
	if req.Route().Kind() != route.KindChat {
		return quarantine.NewTraits(runner.Prompt{}, quarantine.Fingerprint(nil, req.Account(), req.Fingerprint()))
	}
	messages := req.Prompt().Messages()
	parts := make([]runner.Part, 0, len(messages)+1)
	for _, message := range messages {
		parts = append(parts, runner.NewPart(hexOf(xxhash.Sum64String(message.Role()+"\x00"+message.Content())), 0))
	}
	// The last part of a prompt is not compared.
	parts = append(parts, runner.Part{})
	return quarantine.NewTraits(runner.NewPrompt(parts, 0), quarantine.Fingerprint(nil, hexOf(req.Prompt().Hash())))
}

func hexOf(hash uint64) string { return strconv.FormatUint(hash, 16) }

// isQuarantined reports whether the request must not be sent to a server, as it or a
// message in it crashes them, and the time until the next trial.
func (entry *Entry) isQuarantined(req *request.Request) (wait clock.Millis, quarantined bool) {
	if entry.quarantine.Size() == 0 {
		return 0, false
	}
	return entry.quarantine.Check(traitsOf(req), entry.clock.Now(), entry.mayTryQuarantined)
}

// mayTryQuarantined reports whether this node lets quarantined requests through on
// trial: the first live node by rendezvous hashing.
func (entry *Entry) mayTryQuarantined() bool {
	weight := func(host string) uint64 { return xxhash.Sum64String("quarantineTrials\x00" + host) }
	for _, member := range entry.members.Live() {
		if weight(member.Host()) > weight(entry.settings.Host()) {
			return false
		}
	}
	return true
}

// recordEvidence records whether an attempt at a server speaks for or against the traits
// of the request. A server that leaves as planned isn't taken for crashed.
func (entry *Entry) recordEvidence(req *request.Request, server *backend.Server, cause request.Cause, tokens int) {
	now := entry.clock.Now()
	switch {
	case cause == 0:
		entry.quarantine.Answered(server.Hash(), traitsOf(req), now)
	case cause == request.CauseCut && tokens <= maxTokensAtCrash && !server.Leaving():
		// Attempts of one request follow each other, so a suspect was one when it was sent.
		traits := traitsOf(req)
		if entry.quarantine.Crashed(server.Hash(), traits, entry.quarantine.IsSuspect(traits), now) {
			entry.gossip.TriggerPush()
		}
		entry.reviewQuarantine()
	}
}

// evidenceRounds is the number of gossip rounds after which the evidence of linked nodes
// is known.
const evidenceRounds = 2

// reviewQuarantine draws conclusions from the evidence of crashes and logs them.
func (entry *Entry) reviewQuarantine() {
	began, ended := entry.quarantine.Review(evidenceRounds*roundInterval, entry.clock.Now())
	for _, block := range began {
		entry.log.Warn().Strs(logging.FieldPartHashes, block.Names()).Msg("requests quarantined: they crash backend servers")
	}
	for _, block := range ended {
		entry.log.Info().Strs(logging.FieldPartHashes, block.Names()).Msg("quarantine ended: a request was answered")
	}
	if len(began)+len(ended) > 0 {
		entry.gossip.TriggerPush()
	}
}
