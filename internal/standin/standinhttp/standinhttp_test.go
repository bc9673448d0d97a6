package standinhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/standinhttp"
)

// TestServeGracefully checks that stop waits for the request in progress and that
// kill closes its connection.
func TestServeGracefully(t *testing.T) {
	startCall := func(t *testing.T) (address string, stop, kill context.CancelFunc, finish chan struct{}, body, ended chan error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		stopping, stop := context.WithCancel(t.Context())
		killed, kill := context.WithCancel(t.Context())
		started, finish, body, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1), make(chan error, 1)
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			close(started)
			select {
			case <-finish:
				writer.Write([]byte("whole"))
			case <-request.Context().Done():
			}
		})
		go func() { ended <- standinhttp.ServeGracefully(stopping, killed, listener, handler) }()
		go func() {
			response, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			body <- err
		}()
		<-started
		return listener.Addr().String(), stop, kill, finish, body, ended
	}
	t.Run("stop: the call ends first", func(t *testing.T) {
		address, stop, _, finish, body, ended := startCall(t)
		stop()
		for {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				break
			}
			connection.Close()
		}
		close(finish)
		require.NoError(t, <-body)
		require.NoError(t, <-ended)
	})
	t.Run("kill: the call is cut", func(t *testing.T) {
		_, stop, kill, _, body, ended := startCall(t)
		stop()
		kill()
		require.Error(t, <-body)
		require.NoError(t, <-ended)
	})
}
