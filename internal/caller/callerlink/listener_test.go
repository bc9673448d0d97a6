package callerlink_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller/callerlink"
)

// TestDrain guards against a listener that, as it closes, resets connections that callers
// have opened and that nobody has accepted yet.
func TestDrain(t *testing.T) {
	newListener := func(t *testing.T) *callerlink.Listener {
		t.Helper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		return callerlink.New(listener)
	}
	dial := func(t *testing.T, listener *callerlink.Listener) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	// expectEcho checks that the listener returns the caller's connection, whose first
	// byte was sent.
	expectEcho := func(t *testing.T, listener *callerlink.Listener, caller net.Conn, sent byte) {
		t.Helper()
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.CopyN(conn, conn, 1)
		require.NoError(t, err)
		var got [1]byte
		_, err = io.ReadFull(caller, got[:])
		require.NoError(t, err)
		require.Equal(t, sent, got[0])
	}
	expectClosed := func(t *testing.T, listener *callerlink.Listener) {
		t.Helper()
		_, err := listener.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	}
	t.Run("connections in the queue are accepted, then none", func(t *testing.T) {
		listener := newListener(t)
		first, second := dial(t, listener), dial(t, listener)
		for i, caller := range []net.Conn{first, second} {
			_, err := caller.Write([]byte{byte(i)})
			require.NoError(t, err)
		}
		require.NoError(t, listener.Drain())
		expectEcho(t, listener, first, 0)
		expectEcho(t, listener, second, 1)
		expectClosed(t, listener)
		_, err := net.Dial("tcp", listener.Addr().String())
		require.Error(t, err)
	})
	t.Run("a waiting Accept ends", func(t *testing.T) {
		listener := newListener(t)
		ended := make(chan error)
		go func() {
			_, err := listener.Accept()
			ended <- err
		}()
		require.NoError(t, listener.Drain())
		require.ErrorIs(t, <-ended, net.ErrClosed)
	})
	t.Run("drained twice", func(t *testing.T) {
		listener := newListener(t)
		require.NoError(t, listener.Drain())
		require.NoError(t, listener.Drain())
		expectClosed(t, listener)
	})
	t.Run("closed without Drain", func(t *testing.T) {
		listener := newListener(t)
		require.NoError(t, listener.Close())
		expectClosed(t, listener)
	})
}
