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

// TestServeGracefully checks that a stop lets a call in progress end and that a
// kill does not wait for it.
func TestServeGracefully(t *testing.T) {
	begin := func(t *testing.T) (address string, stop, kill context.CancelFunc, finish chan struct{}, body, ended chan error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		stopping, stop := context.WithCancel(t.Context())
		killed, kill := context.WithCancel(t.Context())
		begun, finish, body, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1), make(chan error, 1)
		handler := http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
			close(begun)
			select {
			case <-finish:
				writer.Write([]byte("whole"))
			case <-message.Context().Done():
			}
		})
		go func() { ended <- standinhttp.ServeGracefully(stopping, killed, listener, handler) }()
		go func() {
			answer, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				answer.Body.Close()
			}
			body <- err
		}()
		<-begun
		return listener.Addr().String(), stop, kill, finish, body, ended
	}
	t.Run("stop: the call ends first", func(t *testing.T) {
		address, stop, _, finish, body, ended := begin(t)
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
		_, stop, kill, _, body, ended := begin(t)
		stop()
		kill()
		require.Error(t, <-body)
		require.NoError(t, <-ended)
	})
}
