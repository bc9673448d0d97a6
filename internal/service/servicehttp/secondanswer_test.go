package servicehttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/service/servicehttp"
)

// doublingServer answers each request with its path, but sends a second copy of an
// answer when the next request arrives on the same connection.
func doublingServer(t *testing.T, echo bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTwice(conn, echo)
		}
	}()
	return listener.Addr().String()
}

func serveTwice(conn net.Conn, echo bool) {
	defer conn.Close()
	reader, late := bufio.NewReader(conn), ""
	for {
		httpRequest, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		header := ""
		if echo {
			header = servicehttp.HeaderRequestID + ": " + httpRequest.Header.Get(servicehttp.HeaderRequestID) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(httpRequest.URL.Path), httpRequest.URL.Path)
		if _, err := io.WriteString(conn, late+answer); err != nil {
			return
		}
		late = answer
	}
}

// TestSecondAnswer checks that a late second copy of an answer never becomes the answer
// of the next call on its connection.
func TestSecondAnswer(t *testing.T) {
	lookup := route.New("status", route.KindService, "booking").WithPath("/status")
	expectOwnAnswers := func(t *testing.T, echo bool) {
		t.Helper()
		client, address := servicehttp.New(clock.Second), doublingServer(t, echo)
		defer client.Close()
		for i := range 4 {
			path := fmt.Sprint("/status/", i)
			req := request.New(fmt.Sprint("req-", i), "garage", lookup, "", request.Prompt{}, 0)
			server := backend.NewServer("booking-1", address, "lj-a", "plain", "booking")
			answer, cause, err := client.Call(t.Context(), server, req, service.NewCall(http.MethodGet, path, "", nil))
			if err != nil {
				require.Equal(t, request.CauseCut, cause)
				continue
			}
			require.Equal(t, path, string(answer.Body()))
		}
	}
	t.Run("the service echoes the request's id", func(t *testing.T) { expectOwnAnswers(t, true) })
	t.Run("the service does not", func(t *testing.T) { expectOwnAnswers(t, false) })
}
