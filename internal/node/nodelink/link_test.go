package nodelink_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// timeout is the timeout of a call.
const timeout = 2 * clock.Second

// pair is a node that calls another one over loopback, with a manual clock.
type pair struct {
	manual  *clock.Manual
	client  *nodelink.Links
	address string
	dials   atomic.Int64
	// silent makes the first connection drop its writes; dropped receives a
	// value for each.
	silent  atomic.Bool
	dropped chan struct{}
	// blocked blocks replies to queries for tables.
	blocked chan struct{}
	arrived chan struct{}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	pair := &pair{manual: clock.NewManual(1000), dropped: make(chan struct{}, 100), blocked: make(chan struct{}), arrived: make(chan struct{}, 10)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pair.address = listener.Addr().String()
	server := nodelink.New(pair.clock(), nodelink.DialTCP, pair.reply)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pair.client = nodelink.New(pair.clock(), pair.dial, pair.reply)
	t.Cleanup(func() {
		pair.client.Close()
		server.Close()
		listener.Close()
		require.Error(t, <-served)
	})
	return pair
}

// clock returns the manual clock, except that the delay that batches writes ends
// without an advance by the test.
func (pair *pair) clock() *clock.Clock {
	return clock.New(pair.manual.Now, pair.manual.Now, func(delay clock.Millis, fire func()) func() bool {
		if delay == clock.Millisecond {
			go fire()
			return func() bool { return false }
		}
		return pair.manual.AfterFunc(delay, fire)
	})
}

func (pair *pair) reply(call *nodepb.Call) *nodepb.Reply {
	if call.HasTablesQuery() {
		pair.arrived <- struct{}{}
		<-pair.blocked
	}
	if call.HasMembersQuery() {
		return nodepb.Reply_builder{Error: new("refused")}.Build()
	}
	return nodepb.Reply_builder{Heartbeat: call.GetHeartbeat()}.Build()
}

func (pair *pair) dial(ctx context.Context, address string) (net.Conn, error) {
	pair.dials.Add(1)
	connection, err := nodelink.DialTCP(ctx, address)
	return &relay{Conn: connection, pair: pair, number: pair.dials.Load()}, err
}

// relay is a connection whose first instance can go silent.
type relay struct {
	net.Conn
	pair   *pair
	number int64
}

func (relay *relay) Write(data []byte) (int, error) {
	if relay.number == 1 && relay.pair.silent.Load() {
		relay.pair.dropped <- struct{}{}
		return len(data), nil
	}
	return relay.Conn.Write(data)
}

func testDigest() node.Digest {
	return node.NewDigest(node.NewMember("a", "a:1", "lj-a", 7).WithState(3, 4, true, true),
		[]node.Member{node.NewMember("b", "b:1", "lj-b", 8).WithSilent(true)}, []node.LeavingEvidence{node.NewLeavingEvidence("runner-1", 5, 6)}, node.NewSums(8, 9))
}

func testHeartbeat() *nodepb.Call {
	return nodepb.Call_builder{Heartbeat: nodelink.EncodeDigest(testDigest(), true)}.Build()
}

// expectReply checks that a heartbeat is returned as it was sent, and that the
// given number of connections was opened in total.
func expectReply(t *testing.T, pair *pair, dials int64) {
	t.Helper()
	reply, err := pair.client.Call(t.Context(), pair.address, testHeartbeat())
	require.NoError(t, err)
	require.Equal(t, testDigest(), nodelink.DecodeDigest(reply.GetHeartbeat()))
	require.Equal(t, dials, pair.dials.Load())
}

// startCall starts a call and returns the channel of its error.
func startCall(ctx context.Context, pair *pair, call *nodepb.Call) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := pair.client.Call(ctx, pair.address, call)
		done <- err
	}()
	return done
}

func TestCall(t *testing.T) {
	t.Run("calls share a connection", func(t *testing.T) {
		pair := newPair(t)
		expectReply(t, pair, 1)
		expectReply(t, pair, 1)
		require.Positive(t, pair.client.Traffic().Sent())
	})
	t.Run("an error reply is an error", func(t *testing.T) {
		pair := newPair(t)
		_, err := pair.client.Call(t.Context(), pair.address, nodepb.Call_builder{MembersQuery: &nodepb.MembersQuery{}}.Build())
		require.ErrorContains(t, err, "refused")
	})
	t.Run("a silent connection is replaced while new ones work", func(t *testing.T) {
		pair := newPair(t)
		expectReply(t, pair, 1)
		pair.silent.Store(true)
		done := startCall(t.Context(), pair, testHeartbeat())
		<-pair.dropped
		require.Eventually(t, func() bool {
			pair.manual.Advance(timeout)
			return len(done) > 0
		}, time.Minute, time.Millisecond)
		require.Error(t, <-done)
		expectReply(t, pair, 2)
	})
	t.Run("a slow reply ends only its call", func(t *testing.T) {
		pair := newPair(t)
		done := startCall(t.Context(), pair, nodepb.Call_builder{TablesQuery: &nodepb.TablesQuery{}}.Build())
		<-pair.arrived
		pair.manual.Advance(clock.Millisecond)
		expectReply(t, pair, 1)
		pair.manual.Advance(timeout)
		require.Error(t, <-done)
		expectReply(t, pair, 1)
		close(pair.blocked)
	})
	t.Run("a cancelled call ends at once and keeps the connection", func(t *testing.T) {
		pair := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := startCall(ctx, pair, nodepb.Call_builder{TablesQuery: &nodepb.TablesQuery{}}.Build())
		<-pair.arrived
		cancel()
		require.Error(t, <-done)
		expectReply(t, pair, 1)
		close(pair.blocked)
	})
	t.Run("an idle connection is closed", func(t *testing.T) {
		pair := newPair(t)
		expectReply(t, pair, 1)
		for range 2 {
			pair.manual.Advance(40 * clock.Second)
			pair.client.CloseIdle()
			expectReply(t, pair, 1)
		}
		pair.manual.Advance(61 * clock.Second)
		pair.client.CloseIdle()
		expectReply(t, pair, 2)
	})
	t.Run("no listener", func(t *testing.T) {
		pair := newPair(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listener.Close()
		_, err = pair.client.Call(t.Context(), listener.Addr().String(), testHeartbeat())
		require.Error(t, err)
	})
	t.Run("closed links open nothing", func(t *testing.T) {
		pair := newPair(t)
		pair.client.Close()
		_, err := pair.client.Call(t.Context(), pair.address, testHeartbeat())
		require.ErrorIs(t, err, net.ErrClosed)
	})
	t.Run("bytes that are not a message end the stream", func(t *testing.T) {
		pair := newPair(t)
		connection, err := net.Dial("tcp", pair.address)
		require.NoError(t, err)
		defer connection.Close()
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		require.NoError(t, err)
		_, err = io.ReadAll(connection)
		require.NoError(t, err)
		expectReply(t, pair, 1)
	})
}
