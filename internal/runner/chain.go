package runner

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/request"
)

// BlockTokens is the number of tokens in a block of a prefix cache.
const BlockTokens = 16

// MaxChainBlocks bounds the blocks of a prompt that are hashed; what follows
// them counts as not cached.
const MaxChainBlocks = 1024

// Chain names the blocks of a prompt: the hash of each block covers the model
// and all tokens up to the block's end, so equal hashes mean equal prefixes.
//
//	prompt of 40 tokens -> blocks 0-15, 16-31; 8 tokens are in no block
type Chain struct {
	blocks []uint64
	tokens int
}

// NewChain returns the chain of a prompt of so many tokens.
func NewChain(blocks []uint64, tokens int) Chain { return Chain{blocks: blocks, tokens: tokens} }

// ChainOf returns the chain of a prompt, in the form in which model runners
// name blocks in their cache events.
func ChainOf(prompt request.Prompt) Chain {
	builder := chainBuilder{hash: xxhash.Sum64String(prompt.Model())}
	for _, message := range prompt.Messages() {
		builder.text(message.Content())
	}
	return Chain{blocks: builder.blocks, tokens: builder.tokens}
}

// Blocks returns the hashes. Callers must not change the slice.
func (chain Chain) Blocks() []uint64 { return chain.blocks }

// Tokens returns the number of tokens of the prompt.
func (chain Chain) Tokens() int { return chain.tokens }

// chainBuilder hashes one block after another. A token is a word, as the
// system has no tokenizer of any model.
type chainBuilder struct {
	digest xxhash.Digest
	hash   uint64
	blocks []uint64
	tokens int
	hex    [16]byte
}

func (builder *chainBuilder) text(text string) {
	for {
		text = strings.TrimLeftFunc(text, unicode.IsSpace)
		if text == "" {
			return
		}
		end := wordEnd(text)
		builder.word(text[:end])
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

func (builder *chainBuilder) word(word string) {
	at := builder.tokens % BlockTokens
	builder.tokens++
	if len(builder.blocks) >= MaxChainBlocks {
		return
	}
	if at == 0 {
		builder.digest.Reset()
		_, _ = builder.digest.Write(strconv.AppendUint(builder.hex[:0], builder.hash, 16))
	} else {
		_, _ = builder.digest.WriteString(" ")
	}
	_, _ = builder.digest.WriteString(word)
	if at == BlockTokens-1 {
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

// NewCacheEvent returns an event; sequence numbers of a runner rise by one.
func NewCacheEvent(sequence int64, block uint64, stored bool) CacheEvent {
	return CacheEvent{sequence: sequence, block: block, stored: stored}
}

// Sequence returns the event's number.
func (event CacheEvent) Sequence() int64 { return event.sequence }

// Block returns the hash of the block.
func (event CacheEvent) Block() uint64 { return event.block }

// Stored reports whether the block was stored, not removed.
func (event CacheEvent) Stored() bool { return event.stored }
