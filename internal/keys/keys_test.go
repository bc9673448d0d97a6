package keys_test

import (
	"context"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/keys"
	"sapphirehead/internal/standin/authoritystandin"
)

const (
	lifetime = 24 * clock.Hour
	start    = 1_000 * lifetime
)

func newAuthority(t *testing.T) *authoritystandin.Authority {
	t.Helper()
	authority, err := authoritystandin.New(start-lifetime, start+100*lifetime)
	require.NoError(t, err)
	return authority
}

func issue(t *testing.T, authority *authoritystandin.Authority, until clock.Millis) (cert, key []byte) {
	t.Helper()
	cert, key, err := authority.Issue(until)
	require.NoError(t, err)
	return cert, key
}

// endpoint is one end of a connection, with files in memory.
type endpoint struct {
	files   map[string][]byte
	keys    *keys.Keys
	changes []error
}

func newEndpoint(t *testing.T, manual *clock.Manual, signer *authoritystandin.Authority, trusted []byte, until clock.Millis) *endpoint {
	t.Helper()
	endpoint := &endpoint{files: map[string][]byte{}}
	endpoint.files["cert"], endpoint.files["key"] = issue(t, signer, until)
	endpoint.files["ca"] = trusted
	var err error
	endpoint.keys, err = keys.New(manual.Clock(), endpoint.read, keys.NewFiles("cert", "key", "ca"), func(err error) { endpoint.changes = append(endpoint.changes, err) })
	require.NoError(t, err)
	return endpoint
}

func (endpoint *endpoint) read(file string) ([]byte, error) {
	content, ok := endpoint.files[file]
	if !ok {
		return nil, os.ErrNotExist
	}
	return content, nil
}

// handshake connects the two endpoints and returns the error of each.
func handshake(t *testing.T, client, server *endpoint) (clientErr, serverErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	secured := server.keys.Listener(listener)
	results := make(chan error, 1)
	go func() {
		connection, err := secured.Accept()
		if err != nil {
			results <- err
			return
		}
		defer connection.Close()
		_, err = connection.Write([]byte("x"))
		if err == nil {
			_, err = connection.Read(make([]byte, 1))
		}
		results <- err
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	secure, clientErr := client.keys.Client(context.Background(), connection, authoritystandin.PeerName)
	if clientErr != nil {
		return clientErr, <-results
	}
	defer secure.Close()
	if _, clientErr = secure.Read(make([]byte, 1)); clientErr == nil {
		_, clientErr = secure.Write([]byte("x"))
	}
	return clientErr, <-results
}

func expectTrusted(t *testing.T, client, server *endpoint) {
	t.Helper()
	clientErr, serverErr := handshake(t, client, server)
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
}

func expectRefused(t *testing.T, client, server *endpoint, reason string) {
	t.Helper()
	clientErr, serverErr := handshake(t, client, server)
	require.Error(t, clientErr)
	require.Error(t, serverErr)
	require.Contains(t, clientErr.Error()+serverErr.Error(), reason)
}

func TestHandshake(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	manual := clock.NewManual(start)
	server := newEndpoint(t, manual, ours, ours.Certificate(), start+lifetime)
	t.Run("both signed by the authority", func(t *testing.T) {
		expectTrusted(t, newEndpoint(t, manual, ours, ours.Certificate(), start+lifetime), server)
	})
	t.Run("client signed by another authority", func(t *testing.T) {
		expectRefused(t, newEndpoint(t, manual, theirs, ours.Certificate(), start+lifetime), server, "unknown authority")
	})
	t.Run("server signed by another authority", func(t *testing.T) {
		expectRefused(t, newEndpoint(t, manual, ours, theirs.Certificate(), start+lifetime), server, "unknown authority")
	})
	t.Run("client certificate expired", func(t *testing.T) {
		expectRefused(t, newEndpoint(t, manual, ours, ours.Certificate(), start-1), server, "expired")
	})
}

func TestReload(t *testing.T) {
	ours := newAuthority(t)
	manual := clock.NewManual(start)
	client := newEndpoint(t, manual, ours, ours.Certificate(), start+100*lifetime)
	server := newEndpoint(t, manual, ours, ours.Certificate(), start+lifetime)
	t.Run("unchanged files are not reported", func(t *testing.T) {
		server.keys.Reload()
		require.Empty(t, server.changes)
	})
	t.Run("half of a renewal keeps the old pair", func(t *testing.T) {
		var key []byte
		server.files["cert"], key = issue(t, ours, start+50*lifetime)
		server.keys.Reload()
		require.Len(t, server.changes, 1)
		require.ErrorContains(t, server.changes[0], "cert with key")
		expectTrusted(t, client, server)
		server.files["key"] = key
	})
	t.Run("the renewed pair is used after the old one expired", func(t *testing.T) {
		server.keys.Reload()
		require.Len(t, server.changes, 2)
		require.NoError(t, server.changes[1])
		manual.Advance(2 * lifetime)
		expectTrusted(t, client, server)
	})
	t.Run("a removed file keeps the old pair", func(t *testing.T) {
		delete(server.files, "ca")
		server.keys.Reload()
		var faulty *keys.Error
		require.ErrorAs(t, server.changes[2], &faulty)
		require.Equal(t, "ca", faulty.File())
		expectTrusted(t, client, server)
	})
}
