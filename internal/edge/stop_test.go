package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stopConnection is a caller's connection to a node that stops.
type stopConnection struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (fixture *fixture) connect() *stopConnection {
	fixture.t.Helper()
	connection, err := net.Dial("tcp", fixture.node.Addresses()["caller"])
	require.NoError(fixture.t, err)
	fixture.t.Cleanup(func() { connection.Close() })
	return &stopConnection{t: fixture.t, Conn: connection, reader: bufio.NewReader(connection)}
}

const bookingHead = "POST /book/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-of-garage\r\n"

func (stopConnection *stopConnection) write(text string) {
	stopConnection.t.Helper()
	_, err := io.WriteString(stopConnection, text)
	require.NoError(stopConnection.t, err)
}

// expectAnswer checks that the connection's next response is whole, answers the request
// with the id, and closes the connection.
func (stopConnection *stopConnection) expectAnswer(t *testing.T, id string) {
	t.Helper()
	httpResponse, err := http.ReadResponse(stopConnection.reader, nil)
	require.NoError(t, err, id)
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	require.NoError(t, err, id)
	require.Equal(t, "answer to "+id, string(body))
	require.True(t, httpResponse.Close, "a stopping node closes the connection with its response")
}

// TestRequestAsStopEnds guards against a request that a stopping node accepts after it has
// found no connection open, passes on, and cuts off.
func TestRequestAsStopEnds(t *testing.T) {
	fixture := newFixture(t)
	releases := []func(){fixture.apps[0].HoldRequests(), fixture.apps[1].HoldRequests()}
	const body = "Content-Length: 4\r\n\r\nbody"
	cases := []struct {
		name, id     string
		before, rest string
	}{
		{name: "read whole", id: "whole", before: fmt.Sprintf(bookingHead, "whole") + body},
		{name: "read in part", id: "part", before: fmt.Sprintf(bookingHead, "part"), rest: body},
		{name: "only connected", id: "idle", rest: fmt.Sprintf(bookingHead, "idle") + body},
		{name: "without keep-alive", id: "old", before: strings.Replace(fmt.Sprintf(bookingHead, "old"), "HTTP/1.1", "HTTP/1.0", 1) + body},
	}
	connected := make(chan []*stopConnection, 1)
	fixture.log.onLine(`"message":"ending"`, func() {
		var connections []*stopConnection
		for _, each := range cases {
			connection := fixture.connect()
			connection.write(each.before)
			if each.rest == "" {
				fixture.awaitArrival()
			}
			connections = append(connections, connection)
		}
		connected <- connections
	})
	fixture.stop()
	connections := awaitValue(fixture.testNode, "decision to end", connected)
	for i, each := range cases {
		if each.rest != "" {
			connections[i].write(each.rest)
			fixture.awaitArrival()
		}
	}
	for _, release := range releases {
		release()
	}
	for i, each := range cases {
		t.Run(each.name, func(t *testing.T) { connections[i].expectAnswer(t, each.id) })
	}
	require.NoError(t, fixture.awaitEnd())
}
