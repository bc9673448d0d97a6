package request

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// idPrefix begins every request id.
const idPrefix = "req-"

// NewID returns the id of a request. It contains the tag of the entry host that
// accepted the request, so that any other entry host can find that one for the
// rest of the response.
func NewID(tag uint32, random [12]byte) string {
	return fmt.Sprintf("%s%08x-%x", idPrefix, tag, random)
}

// SplitID returns the tag of the entry host that accepted the request and the
// random part, and false if the id is not valid.
func SplitID(id string) (tag uint32, random [12]byte, ok bool) {
	rest, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(rest) != 8+1+2*len(random) || rest[8] != '-' {
		return 0, random, false
	}
	value, err := strconv.ParseUint(rest[:8], 16, 32)
	if err != nil {
		return 0, random, false
	}
	if _, err := hex.Decode(random[:], []byte(rest[9:])); err != nil {
		return 0, random, false
	}
	return uint32(value), random, NewID(uint32(value), random) == id
}

// ParseID returns the tag of the entry host that accepted the request, and false
// if the id is not valid.
func ParseID(id string) (tag uint32, ok bool) {
	tag, _, ok = SplitID(id)
	return tag, ok
}

// Resumption is a caller's request for the rest of a response. With a prompt the
// caller repeats its request; without one it gives only the id.
type Resumption struct {
	id        string
	account   string
	offset    int
	prompt    Prompt
	hasPrompt bool
}

// NewResumption returns a resumption of the response to the request with the id,
// from the offset in tokens.
func NewResumption(id, account string, offset int) Resumption {
	return Resumption{id: id, account: account, offset: offset}
}

// WithPrompt returns a copy that repeats the prompt of the request.
func (resumption Resumption) WithPrompt(prompt Prompt) Resumption {
	resumption.prompt, resumption.hasPrompt = prompt, true
	return resumption
}

// ID returns the id of the request.
func (resumption Resumption) ID() string { return resumption.id }

// Account returns the name of the caller's client account.
func (resumption Resumption) Account() string { return resumption.account }

// Offset returns the number of tokens that the caller has.
func (resumption Resumption) Offset() int { return resumption.offset }

// Prompt returns the repeated prompt, and false if there is none.
func (resumption Resumption) Prompt() (Prompt, bool) { return resumption.prompt, resumption.hasPrompt }

// Matches reports whether the caller may read the response to the request: both
// are of the same client account and, if both prompts are known, these are equal.
func (resumption Resumption) Matches(request *Request) bool {
	samePrompt := !resumption.hasPrompt || request.promptUnknown || resumption.prompt.Hash() == request.prompt.Hash()
	return resumption.account == request.account && samePrompt
}

// EventID returns the id of an event after which the caller has count tokens.
func EventID(id string, count int) string { return id + ":" + strconv.Itoa(count) }

// ParseEventID returns the request id and the number of tokens that the caller
// has, and false if the event id is not valid.
func ParseEventID(eventID string) (id string, count int, ok bool) {
	id, number, ok := strings.Cut(eventID, ":")
	if !ok {
		return "", 0, false
	}
	count, err := strconv.Atoi(number)
	if _, valid := ParseID(id); !valid || err != nil || count < 0 {
		return "", 0, false
	}
	return id, count, true
}
