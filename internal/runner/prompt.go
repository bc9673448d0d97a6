package runner

// Part is a part of a prompt that other prompts may share.
type Part struct {
	id     string
	tokens int
}

// NewPart returns a part with its id and length in tokens.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the part's id.
func (part Part) ID() string { return part.id }

// Tokens returns the part's length in tokens.
func (part Part) Tokens() int { return part.tokens }

// Prompt is a prompt as a sequence of parts. A runner can have a part cached only
// with all parts before it.
type Prompt struct {
	parts  []Part
	tokens int
}

// NewPrompt returns a prompt with the parts and the number of tokens, or the sum
// over the parts if that is larger.
func NewPrompt(parts []Part, tokens int) Prompt {
	sum := 0
	for _, part := range parts {
		sum += part.tokens
	}
	return Prompt{parts: parts, tokens: max(tokens, sum)}
}

// Parts returns the parts. Callers must not change the slice.
func (prompt Prompt) Parts() []Part { return prompt.parts }

// Shared returns the parts that other prompts may have, too: all but the last one.
// Callers must not change the slice.
func (prompt Prompt) Shared() []Part { return prompt.parts[:max(0, len(prompt.parts)-1)] }

// Tokens returns the length of the whole prompt in tokens.
func (prompt Prompt) Tokens() int { return prompt.tokens }

// Session returns the id of the prompt's session, and false if the prompt has no
// parts. It is the id of the second-last part, as the last one usually belongs to a
// single request, or of the only part.
func (prompt Prompt) Session() (string, bool) {
	switch count := len(prompt.parts); count {
	case 0:
		return "", false
	case 1:
		return prompt.parts[0].id, true
	default:
		return prompt.parts[count-2].id, true
	}
}
