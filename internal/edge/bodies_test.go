package edge_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBodyAfterKey guards against a caller without a key or a route that holds memory for a
// body, or that gets no answer until it has sent it.
func TestBodyAfterKey(t *testing.T) {
	fixture := newFixture(t)
	const unfinished = "Host: desk.example\r\nX-Request-Id: r\r\nContent-Length: 60000\r\n\r\nbeginning"
	expectAnswered := func(t *testing.T, head string, status int) {
		t.Helper()
		before := fixture.node.BodyBytes()
		connection := fixture.connect()
		connection.write(head + unfinished)
		response, err := http.ReadResponse(connection.reader, nil)
		require.NoError(t, err)
		defer response.Body.Close()
		require.Equal(t, status, response.StatusCode)
		require.True(t, response.Close, "a connection with an unfinished body can't be used again")
		require.Equal(t, before, fixture.node.BodyBytes())
	}
	t.Run("no key", func(t *testing.T) {
		expectAnswered(t, "POST /book/a HTTP/1.1\r\n", http.StatusUnauthorized)
	})
	t.Run("no route", func(t *testing.T) {
		expectAnswered(t, "POST /nowhere HTTP/1.1\r\nAuthorization: Token key-of-garage\r\n", http.StatusNotFound)
	})
	t.Run("a refused body that arrives keeps its connection", func(t *testing.T) {
		connection := fixture.connect()
		for range 2 {
			connection.write("POST /book/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\nContent-Length: 4\r\n\r\nbody")
			response, err := http.ReadResponse(connection.reader, nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusUnauthorized, response.StatusCode)
		}
	})
	t.Run("a body over the limit is not charged", func(t *testing.T) {
		used := fixture.node.UsedBy("garage")
		connection := fixture.connect()
		connection.write("POST /book/a HTTP/1.1\r\nAuthorization: Token key-of-garage\r\n" + strings.Replace(unfinished, "60000", "99999999", 1))
		response, err := http.ReadResponse(connection.reader, nil)
		require.NoError(t, err)
		defer response.Body.Close()
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		require.Equal(t, used, fixture.node.UsedBy("garage"))
	})
}
