package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestIdleConnectionAtStop checks that a connection that is idle when the node
// begins to stop still gets a response to a request already sent.
func TestIdleConnectionAtStop(t *testing.T) {
	var stopping atomic.Bool
	served := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) })
	server := httptest.NewServer(closeWhileStopping(stopping.Load, served))
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	expectResponse := func(t *testing.T, closes bool) {
		t.Helper()
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		defer response.Body.Close()
		require.Equal(t, http.StatusNoContent, response.StatusCode)
		require.Equal(t, closes, response.Close)
	}
	t.Run("kept before the stop", func(t *testing.T) { expectResponse(t, false) })
	stopping.Store(true)
	t.Run("served and closed during the stop", func(t *testing.T) { expectResponse(t, true) })
}
