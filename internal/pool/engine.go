package pool

// Engine describes the model engines of a pool, which batch requests and cache the
// KV state of prompts.
type Engine struct {
	slots int
}

// NewEngine returns an engine with the number of slots in its batch.
func NewEngine(slots int) Engine { return Engine{slots: slots} }

// Slots returns the number of requests in a batch.
func (engine Engine) Slots() int { return engine.slots }
