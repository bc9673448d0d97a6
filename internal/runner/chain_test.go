package runner_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
)

// expectChain checks that a chain has the block hashes that runners use.
func expectChain(t require.TestingT, contents []string) {
	var messages []request.Message
	for _, content := range contents {
		messages = append(messages, request.NewMessage("user", content))
	}
	chain := runner.NewPromptChain(request.NewPrompt("desk-small", messages, 0, 0))
	words := strings.Fields(strings.Join(contents, " "))
	var blocks []uint64
	hash := xxhash.Sum64String("desk-small")
	for end := runner.BlockTokens; end <= len(words); end += runner.BlockTokens {
		hash = xxhash.Sum64String(strconv.FormatUint(hash, 16) + strings.Join(words[end-runner.BlockTokens:end], " "))
		blocks = append(blocks, hash)
	}
	require.Equal(t, blocks, chain.Blocks())
	require.Equal(t, len(words), chain.Tokens())
}

func TestChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expectChain(t, rapid.SliceOfN(rapid.StringMatching(`([a-zčšž]{1,4}[ \t\x{2003}]{1,2}){0,30}`), 0, 4).Draw(t, "contents"))
	})
}
