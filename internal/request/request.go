// Package request decides what happens to one request from its admission to its
// complete response. It performs no input or output: a driver reports each event
// to a Flow and carries out the Action that the flow returns.
//
//	driver                         flow
//	Start()                     -> ActionAttempt (attempt 1 at runner A, offset 0)
//	Chunk(1, 0, "The", " log")  -> ActionRead, deliver "The log"
//	Broken(1, CauseGone)        -> ActionAttempt (attempt 2 at runner B, offset 2)
//	Chunk(1, 2, "!")            -> ActionRead, deliver nothing (attempt 1 is over)
//	Chunk(2, 2, " is clean")    -> ActionRead, deliver " is clean"
//	Ended(2, 3)                 -> ActionFinish
package request

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

// Prompt is the input of a model runner: the conversation and its parameters.
type Prompt struct {
	model     string
	messages  []Message
	maxTokens int
	seed      int64
	sampling  Sampling
}

// Sampling holds the parameters by which a runner samples tokens. Values that
// the caller did not give are absent and left to the runner.
type Sampling struct {
	temperature *float64
	topP        *float64
}

// NewSampling returns the caller's values; nil stands for an absent one.
func NewSampling(temperature, topP *float64) Sampling {
	return Sampling{temperature: temperature, topP: topP}
}

// Temperature returns the temperature, or nil.
func (sampling Sampling) Temperature() *float64 { return sampling.temperature }

// TopP returns the probability mass to sample from, or nil.
func (sampling Sampling) TopP() *float64 { return sampling.topP }

// Message is one turn of a conversation.
type Message struct {
	role    string
	content string
}

// NewMessage returns a turn of the role, for instance "user".
func NewMessage(role, content string) Message { return Message{role: role, content: content} }

// Role returns the author's role.
func (message Message) Role() string { return message.role }

// Content returns the text of the turn.
func (message Message) Content() string { return message.content }

// NewPrompt returns a prompt. MaxTokens 0 leaves the length to the runner.
func NewPrompt(model string, messages []Message, maxTokens int, seed int64) Prompt {
	return Prompt{model: model, messages: slices.Clone(messages), maxTokens: maxTokens, seed: seed}
}

// Model returns the name of the model or adapter.
func (prompt Prompt) Model() string { return prompt.model }

// Messages returns the conversation. Callers must not change the slice.
func (prompt Prompt) Messages() []Message { return prompt.messages }

// MaxTokens returns the bound on generated tokens, or 0.
func (prompt Prompt) MaxTokens() int { return prompt.maxTokens }

// Seed returns the sampling seed.
func (prompt Prompt) Seed() int64 { return prompt.seed }

// Sampling returns the sampling parameters.
func (prompt Prompt) Sampling() Sampling { return prompt.sampling }

// WithSampling returns a copy with the sampling parameters.
func (prompt Prompt) WithSampling(sampling Sampling) Prompt {
	prompt.sampling = sampling
	return prompt
}

// Deterministic reports whether a second run generates the same tokens: the
// caller fixed the seed or disabled sampling.
func (prompt Prompt) Deterministic() bool {
	temperature := prompt.sampling.temperature
	return prompt.seed != 0 || (temperature != nil && *temperature == 0)
}

// Length returns the number of words of the prompt, an estimate of the number of
// its tokens.
func (prompt Prompt) Length() int {
	words := 0
	for _, message := range prompt.messages {
		words += len(strings.Fields(message.content))
	}
	return words
}

// Hash returns a hash of the model, the messages, the length bound and the seed.
// Prompts are compared by it, without their sampling parameters.
func (prompt Prompt) Hash() uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%q %d %d", prompt.model, prompt.maxTokens, prompt.seed)
	for _, message := range prompt.messages {
		fmt.Fprintf(digest, " %q %q", message.role, message.content)
	}
	return digest.Sum64()
}

// Request is one request of a caller. It is immutable.
type Request struct {
	id          string
	account     string
	route       route.Route
	key         string
	fingerprint string
	prompt      Prompt
	received    clock.Millis
	streamed    bool
	delivered   int

	promptUnknown bool
}

// New returns a request of the client account on the route. The key is the
// caller's idempotency key or empty.
func New(id, account string, routeConfig route.Route, key string, prompt Prompt, received clock.Millis) *Request {
	return &Request{id: id, account: account, route: routeConfig, key: key, prompt: prompt, received: received}
}

// WithFingerprint returns a copy with the digest of the call's content.
func (request *Request) WithFingerprint(fingerprint string) *Request {
	changed := *request
	changed.fingerprint = fingerprint
	return &changed
}

// Fingerprint returns the digest of the call's content, or empty.
func (request *Request) Fingerprint() string { return request.fingerprint }

// ID returns the id that the system gave the request.
func (request *Request) ID() string { return request.id }

// Account returns the name of the client account.
func (request *Request) Account() string { return request.account }

// Route returns the route as it was when the request was accepted.
func (request *Request) Route() route.Route { return request.route }

// Key returns the caller's idempotency key, or empty.
func (request *Request) Key() string { return request.key }

// Prompt returns the prompt of a chat request.
func (request *Request) Prompt() Prompt { return request.prompt }

// Received returns when the request arrived.
func (request *Request) Received() clock.Millis { return request.received }

// Deadline returns when the complete response is due.
func (request *Request) Deadline() clock.Millis { return request.received + request.route.Deadline() }

// Priority returns the priority of the request in the engines' queues: its worth
// as a whole number.
func (request *Request) Priority() int { return int(math.Round(request.route.Worth())) }

// NeedsClaim reports whether the request must hold a claim before it may run.
func (request *Request) NeedsClaim() bool { return request.route.NonIdempotent() && request.key != "" }

// Streamed reports whether the caller reads tokens as they are generated, and so
// can reconnect for the rest.
func (request *Request) Streamed() bool { return request.streamed }

// Delivered returns the number of tokens of an earlier generation that the caller
// has. A response that differs in any of them must not be sent.
func (request *Request) Delivered() int { return request.delivered }

// WithStreamed returns a copy that states whether the caller reads tokens as they
// are generated.
func (request *Request) WithStreamed(streamed bool) *Request {
	changed := *request
	changed.streamed = streamed
	return &changed
}

// WithDelivered returns a copy whose caller has the number of tokens of an earlier
// generation.
func (request *Request) WithDelivered(delivered int) *Request {
	changed := *request
	changed.delivered = delivered
	return &changed
}

// WithoutPrompt returns a copy whose prompt is unknown, so that it can only be
// read from its stream at a runner.
func (request *Request) WithoutPrompt() *Request {
	changed := *request
	changed.promptUnknown = true
	return &changed
}
