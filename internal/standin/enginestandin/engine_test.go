package enginestandin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
)

// responseTimeout bounds the wait for a response of the stand-in, which sends it
// without any work.
const responseTimeout = 20 * clock.Second

// TestArrivedWithoutReader checks that the stand-in responds to any number of
// requests although no test reads the channel Arrived.
func TestArrivedWithoutReader(t *testing.T) {
	engine := enginestandin.New("app-0", false)
	server := httptest.NewServer(engine)
	const requests = 100
	for number := range requests {
		require.Equal(t, http.StatusOK, statusOf(t, server.URL), "request %d", number)
	}
	server.Close()
	require.Len(t, engine.Executed(), requests)
	<-engine.Arrived()
}

// statusOf returns the status of the response to one request, or 0 if there is none
// within responseTimeout.
func statusOf(t *testing.T, url string) int {
	t.Helper()
	ctx, cancel := clock.System().WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Header.Set("X-Expect-Instance", "app-0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
