package pool

// PrefillTokensPerMillisecond is how many prompt tokens an engine reads in a millisecond, as
// the sheets of both deployments give it.
const PrefillTokensPerMillisecond = 38.1

// Engine describes the model engines of a pool, which batch requests and keep
// the KV cache of prompts.
type Engine struct {
	slots int
}

// NewEngine returns an engine with so many places in its batch.
func NewEngine(slots int) Engine { return Engine{slots: slots} }

// Slots returns the number of requests in a batch.
func (engine Engine) Slots() int { return engine.slots }
