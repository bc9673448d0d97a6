package runner

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/request"
)

// BlockTokens is the number of tokens per block of a prefix cache.
const BlockTokens = 16

// MaxChainBlocks bounds the number of blocks of a prompt that are hashed; tokens
// after them count as not cached.
const MaxChainBlocks = 1024

// Chain identifies the blocks of a prompt by hashes. The hash of each block covers
// the model and all tokens up to the block's end, so equal hashes mean equal
// prefixes.
//
//	prompt of 40 tokens -> blocks of tokens 0-15 and 16-31; 8 tokens in no block
type Chain struct {
	blocks []uint64
	tokens int
}

// NewChain returns the chain of a prompt with the block hashes and the number of
// tokens.
func NewChain(blocks []uint64, tokens int) Chain { return Chain{blocks: blocks, tokens: tokens} }

// NewPromptChain returns the chain of a prompt, with the hashes that model runners use in
// their cache events.
func NewPromptChain(prompt request.Prompt) Chain {
	builder := chainBuilder{hash: xxhash.Sum64String(prompt.Model())}
	for _, message := range prompt.Messages() {
		builder.addText(message.Content())
	}
	return Chain{blocks: builder.blocks, tokens: builder.tokens}
}

// Blocks returns the hashes. Callers must not change the slice.
func (chain Chain) Blocks() []uint64 { return chain.blocks }

// Tokens returns the number of tokens of the prompt.
func (chain Chain) Tokens() int { return chain.tokens }

// chainBuilder hashes a prompt block by block. A word counts as a token, as the
// system has no model's tokenizer.
type chainBuilder struct {
	digest xxhash.Digest
	hash   uint64
	blocks []uint64
	tokens int
	hex    [16]byte
}

func (builder *chainBuilder) addText(text string) {
	for {
		text = strings.TrimLeftFunc(text, unicode.IsSpace)
		if text == "" {
			return
		}
		end := wordEnd(text)
		builder.addWord(text[:end])
		text = text[end:]
	}
}

func wordEnd(text string) int {
	for i := 0; i < len(text); {
		letter, size := rune(text[i]), 1
		if letter >= utf8.RuneSelf {
			letter, size = utf8.DecodeRuneInString(text[i:])
		}
		if unicode.IsSpace(letter) {
			return i
		}
		i += size
	}
	return len(text)
}

func (builder *chainBuilder) addWord(word string) {
	position := builder.tokens % BlockTokens
	builder.tokens++
	if len(builder.blocks) >= MaxChainBlocks {
		return
	}
	if position == 0 {
		builder.digest.Reset()
		_, _ = builder.digest.Write(strconv.AppendUint(builder.hex[:0], builder.hash, 16))
	} else {
		_, _ = builder.digest.WriteString(" ")
	}
	_, _ = builder.digest.WriteString(word)
	if position == BlockTokens-1 {
		builder.hash = builder.digest.Sum64()
		builder.blocks = append(builder.blocks, builder.hash)
	}
}

// CacheEvent is one change of a runner's prefix cache.
type CacheEvent struct {
	sequence int64
	block    uint64
	stored   bool
}

// NewCacheEvent returns an event. The sequence numbers of a runner's events are
// consecutive.
func NewCacheEvent(sequence int64, block uint64, stored bool) CacheEvent {
	return CacheEvent{sequence: sequence, block: block, stored: stored}
}

// Sequence returns the event's sequence number.
func (event CacheEvent) Sequence() int64 { return event.sequence }

// Block returns the hash of the block.
func (event CacheEvent) Block() uint64 { return event.block }

// Stored reports whether the block was stored; otherwise it was removed.
func (event CacheEvent) Stored() bool { return event.stored }
