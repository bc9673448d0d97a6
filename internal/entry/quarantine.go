package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// maxTokensAtCrash is the number of tokens up to which an attempt has hardly begun its
// response, so that its prompt may have crashed the runner.
const maxTokensAtCrash = 1

// quarantineParts returns the prompt as parts by which crashes of runners are compared:
// each message, and the whole prompt, as a request is repeated with it.
func quarantineParts(prompt request.Prompt) runner.Prompt {
	parts := make([]runner.Part, 0, len(prompt.Messages())+2)
	for _, message := range prompt.Messages() {
		parts = append(parts, runner.NewPart(hexOf(xxhash.Sum64String(message.Role()+"\x00"+message.Content())), 0))
	}
	parts = append(parts, runner.NewPart("whole "+hexOf(prompt.Hash()), 0), runner.Part{})
	return runner.NewPrompt(parts, 0)
}

func hexOf(hash uint64) string { return strconv.FormatUint(hash, 16) }

// isQuarantined reports whether the request must not be sent to a runner, as its prompt
// crashes them, and the time until the next trial.
func (entry *Entry) isQuarantined(req *request.Request) (wait clock.Millis, quarantined bool) {
	if req.Route().Kind() != route.KindChat || entry.quarantine.Size() == 0 {
		return 0, false
	}
	return entry.quarantine.Check(quarantineParts(req.Prompt()), entry.clock.Now(), entry.mayTryQuarantined)
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

// recordEvidence records whether an attempt at a runner speaks for or against the parts
// of its prompt. A runner that leaves as planned isn't taken for crashed.
func (entry *Entry) recordEvidence(req *request.Request, server *backend.Server, cause request.Cause, tokens int) {
	if req.Route().Kind() != route.KindChat {
		return
	}
	now := entry.clock.Now()
	switch {
	case cause == 0:
		entry.quarantine.Answered(server.Hash(), quarantineParts(req.Prompt()), now)
	case cause == request.CauseCut && tokens <= maxTokensAtCrash && !server.Leaving():
		if entry.quarantine.Crashed(server.Hash(), quarantineParts(req.Prompt()), now) {
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
		entry.log.Warn().Strs(logging.FieldPartHashes, block.Names()).Msg("prompt parts quarantined: they crash backend servers")
	}
	for _, block := range ended {
		entry.log.Info().Strs(logging.FieldPartHashes, block.Names()).Msg("quarantine of prompt parts ended: a prompt with them was answered")
	}
	if len(began)+len(ended) > 0 {
		entry.gossip.TriggerPush()
	}
}
