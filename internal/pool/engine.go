package pool

// PrefillTokens is how many prompt tokens an engine reads in a millisecond, as
// the sheets of both deployments give it.
const PrefillTokens = 38.1

// Engine describes the model engines of a pool, which batch requests and keep
// the KV cache of prompts.
type Engine struct {
	slots       int
	cacheTokens int
}

// NewEngine returns an engine with so many places in its batch and room for so
// many tokens in its KV cache.
func NewEngine(slots, cacheTokens int) Engine {
	return Engine{slots: slots, cacheTokens: cacheTokens}
}

// Slots returns the number of requests in a batch.
func (engine Engine) Slots() int { return engine.slots }

// CacheTokens returns the room of the KV cache in tokens.
func (engine Engine) CacheTokens() int { return engine.cacheTokens }
