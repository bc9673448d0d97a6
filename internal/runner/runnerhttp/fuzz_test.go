package runnerhttp

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/runner"
)

// maxEvents bounds the events of one input, each of which takes at least a line.
const maxEvents = 1 << 16

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}],\"sapphire\":{\"offset\":0,\"tokens\":[\"a\"]}}\n\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"sapphire\":{\"offset\":1,\"total\":1}}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"sapphire\":{\"offset\":-1}}\n"))
	f.Add([]byte("data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"sapphire\":{\"total\":9223372036854775807}}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newEventReader(io.NopCloser(bytes.NewReader(data)), func() {})
		defer reader.close()
		for range maxEvents {
			event, err := reader.next()
			if err != nil {
				var broken *runner.AttemptError
				require.ErrorAs(t, err, &broken)
				return
			}
			require.GreaterOrEqual(t, event.Offset(), 0)
			if total, ended := event.Ended(); ended {
				require.GreaterOrEqual(t, total, 0)
			}
		}
	})
}
