package runner

// Part is a part of a prompt that other prompts may share.
type Part struct {
	id     string
	tokens int
}

// NewPart returns a part with its id and its length in tokens.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the part's id.
func (part Part) ID() string { return part.id }

// Tokens returns the part's length.
func (part Part) Tokens() int { return part.tokens }

// Prompt is a prompt by its parts, in order. A runner has a part cached only if
// it has all parts before it.
type Prompt struct {
	parts  []Part
	tokens int
}

// NewPrompt returns a prompt of so many tokens, which may be more than those of
// the parts.
func NewPrompt(parts []Part, tokens int) Prompt {
	sum := 0
	for _, part := range parts {
		sum += part.tokens
	}
	return Prompt{parts: parts, tokens: max(tokens, sum)}
}

// Parts returns the parts. Callers must not change the slice.
func (prompt Prompt) Parts() []Part { return prompt.parts }

// Tokens returns the length of the whole prompt.
func (prompt Prompt) Tokens() int { return prompt.tokens }

// Session returns what tells the prompt's session: its last part but one, or
// the only one. The last part mostly belongs to one request.
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
