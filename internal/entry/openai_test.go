package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// TestStockClient checks that the OpenAI client library works unmodified.
func TestStockClient(t *testing.T) {
	cluster := newCluster(t, clock.NewManual(1000).Clock(), 1, 1)
	cluster.startRunners(nil)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := func(key string) openai.Client {
		return openai.NewClient(option.WithBaseURL("http://"+cluster.entries[0].CallerAddress()+"/v1"), option.WithAPIKey(key),
			option.WithHTTPClient(&http.Client{Transport: transport}), option.WithMaxRetries(0))
	}
	newParams := func(model string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model: model, MaxTokens: openai.Int(int64(longChat.maxTokens)), Temperature: openai.Float(0.7),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(longChat.content)},
		}
	}
	text := strings.Join(longChat.expected(), "")
	stock := client(testAccount)
	t.Run("complete response", func(t *testing.T) {
		response, err := stock.Chat.Completions.New(t.Context(), newParams(testModel))
		require.NoError(t, err)
		require.Equal(t, text, response.Choices[0].Message.Content)
		require.EqualValues(t, longChat.maxTokens, response.Usage.CompletionTokens)
	})
	t.Run("stream", func(t *testing.T) {
		stream := stock.Chat.Completions.NewStreaming(t.Context(), newParams(testModel))
		var accumulator openai.ChatCompletionAccumulator
		for stream.Next() {
			accumulator.AddChunk(stream.Current())
		}
		require.NoError(t, stream.Err())
		require.Equal(t, text, accumulator.Choices[0].Message.Content)
	})
	t.Run("models", func(t *testing.T) {
		models, err := stock.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, models.Data, 1)
		require.Equal(t, testModel, models.Data[0].ID)
	})
	expectStockError := func(t *testing.T, client openai.Client, model string, status int, kind string) {
		t.Helper()
		_, err := client.Chat.Completions.New(context.WithoutCancel(t.Context()), newParams(model))
		var failed *openai.Error
		require.True(t, errors.As(err, &failed), "%v", err)
		require.Equal(t, status, failed.StatusCode)
		require.Equal(t, kind, failed.Type)
	}
	t.Run("error: unknown model", func(t *testing.T) {
		expectStockError(t, stock, "no-such-model", http.StatusNotFound, "modelNotFound")
	})
	t.Run("error: wrong key", func(t *testing.T) {
		expectStockError(t, client("wrong-key"), testModel, http.StatusUnauthorized, "unauthorized")
	})
}
