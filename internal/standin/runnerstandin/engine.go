// Package runnerstandin is a small stand-in for a model engine: it processes
// requests in a batch, caches prompt prefixes, streams tokens, and generates text
// that is a function of the prompt, so that tests can compute it too.
package runnerstandin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of the generated text.
var vocabulary = strings.Fields("filter bake cycle pressure drop ash soot weight before after clean report string gauge nickel " +
	"bronze light medium heavy renewal skip charge month order truck bench garage teacher recital set wound core tension tone")

const (
	minGeneratedTokens  = 12
	generatedTokensSpan = 24
)

// GenerateTokens returns the tokens that the stand-in generates for a prompt. Without
// maxTokens, which is 0, their number is a function of the prompt.
func GenerateTokens(model string, contents []string, seed int64, maxTokens int) []string {
	text := model + "\x00" + strings.Join(contents, "\x00") + "\x00" + strconv.FormatInt(seed, 10)
	hash := xxhash.Sum64String(text)
	count := minGeneratedTokens + int(hash%generatedTokensSpan)
	if maxTokens > 0 {
		count = maxTokens
	}
	tokens := make([]string, 0, count)
	for i := range count {
		word := vocabulary[xxhash.Sum64String(text+strconv.Itoa(i))%uint64(len(vocabulary))]
		if i > 0 {
			word = " " + word
		}
		tokens = append(tokens, word)
	}
	return tokens
}

// PromptTokens splits a prompt into tokens, one for each word.
func PromptTokens(contents []string) []string {
	return strings.Fields(strings.Join(contents, " "))
}

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 16

// prefixCache is a bounded set of prompt blocks, each identified by the hash of the
// prompt up to the block's end. The oldest block is evicted first.
type prefixCache struct {
	capacity     int
	oldestFirst  []uint64
	blocks       map[uint64]bool
	events       []cacheEvent
	lastSequence int64
}

type cacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

const (
	cacheEventStored  = "stored"
	cacheEventRemoved = "removed"
	maxCacheEvents    = 4096
)

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]bool{}}
}

// reuse returns the number of the prompt's leading tokens that are cached, and
// stores the remaining complete blocks.
func (cache *prefixCache) reuse(model string, tokens []string) int {
	cached, hit := 0, true
	hash := xxhash.Sum64String(model)
	for end := blockTokens; end <= len(tokens); end += blockTokens {
		hash = xxhash.Sum64String(strconv.FormatUint(hash, 16) + strings.Join(tokens[end-blockTokens:end], " "))
		if hit && cache.blocks[hash] {
			cached = end
			continue
		}
		hit = false
		cache.store(hash)
	}
	return cached
}

func (cache *prefixCache) store(hash uint64) {
	if cache.blocks[hash] {
		return
	}
	cache.blocks[hash] = true
	cache.oldestFirst = append(cache.oldestFirst, hash)
	cache.emit(cacheEventStored, hash)
	if len(cache.oldestFirst) > cache.capacity {
		oldest := cache.oldestFirst[0]
		cache.oldestFirst = cache.oldestFirst[1:]
		delete(cache.blocks, oldest)
		cache.emit(cacheEventRemoved, oldest)
	}
}

func (cache *prefixCache) emit(kind string, hash uint64) {
	cache.lastSequence++
	cache.events = append(cache.events, cacheEvent{Sequence: cache.lastSequence, Kind: kind, Block: strconv.FormatUint(hash, 16)})
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[1:]
	}
}
