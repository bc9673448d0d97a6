package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/authoritystandin"
)

// Secrets of the test, which must not appear in a log or an error.
const (
	callerKey     = "key-garage-north"
	unknownKey    = "key-of-nobody-at-all"
	operatorToken = "token-of-operators"
	unknownToken  = "token-of-nobody"
)

// logLines collects the log and signals changed after each line.
type logLines struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	changed chan struct{}
}

func (lines *logLines) Write(line []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	lines.text.Write(line)
	select {
	case lines.changed <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (lines *logLines) String() string {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.text.String()
}

// expectLine waits for a line that contains every part.
func (lines *logLines) expectLine(t *testing.T, parts ...string) {
	t.Helper()
	for {
		for line := range strings.Lines(lines.String()) {
			if containsAll(line, parts) {
				return
			}
		}
		<-lines.changed
	}
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// minTimeout is the shortest delay that counts as a timeout.
const minTimeout = 500 * clock.Millisecond

// withoutTimeouts returns the system clock without timers of minTimeout or
// more, so that a slow machine does not change the outcome.
func withoutTimeouts() *clock.Clock {
	system := clock.System()
	return clock.New(system.Now, system.Wall, func(delay clock.Millis, fire func()) func() bool {
		if delay >= minTimeout {
			return func() bool { return true }
		}
		return system.AfterFunc(delay, fire)
	})
}

// securedHost is a running entry host with certificates and its log.
type securedHost struct {
	entry *Entry
	lines *logLines
}

func writeFile(t *testing.T, folder, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(path, content, 0o600))
	return path
}

// startSecured starts an entry host whose certificates the authority signs.
func startSecured(t *testing.T, name string, authority *authoritystandin.Authority) *securedHost {
	t.Helper()
	folder := t.TempDir()
	cert, key, err := authority.Issue(clock.System().Wall() + clock.Hour)
	require.NoError(t, err)
	files := fmt.Sprintf("certFile = %q\nkeyFile = %q\n", writeFile(t, folder, "cert.pem", cert), writeFile(t, folder, "key.pem", key))
	both := files + fmt.Sprintf("caFile = %q\n", writeFile(t, folder, "ca.pem", authority.Certificate()))
	loaded, err := settings.ParseEntry("entry.toml", []byte(fmt.Sprintf(`host = %q
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
[caller.tls]
%s
[operator]
listen = "127.0.0.1:0"
token = %q
[operator.tls]
%s
[node]
listen = "127.0.0.1:0"
[node.tls]
%s
[platform]
address = "127.0.0.1:1"
[stop]
readyOffMillis = 1
[[clientAccounts]]
name = "garage-north"
key = %q
`, name, files, operatorToken, both, both, callerKey)))
	require.NoError(t, err)
	host := &securedHost{lines: &logLines{changed: make(chan struct{}, 1)}}
	host.entry, err = New(loaded, withoutTimeouts(), zerolog.New(host.lines))
	require.NoError(t, err)
	stop, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.entry.Run(stop, context.Background()) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return host
}

// callOperatorAPI calls the operators' API with a certificate that expires at
// the given time.
func (host *securedHost) callOperatorAPI(t *testing.T, authority *authoritystandin.Authority, until clock.Millis, token string) (int, error) {
	t.Helper()
	cert, key, err := authority.Issue(until)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(cert, key)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority.Certificate())
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, Certificates: []tls.Certificate{pair}}}
	defer transport.CloseIdleConnections()
	return get(t, &http.Client{Transport: transport}, "https://"+host.entry.OperatorAddress()+"/admin/v1/status", token)
}

func get(t *testing.T, client *http.Client, address, secret string) (int, error) {
	t.Helper()
	message, err := http.NewRequest(http.MethodGet, address, nil)
	require.NoError(t, err)
	message.Header.Set("Authorization", "Bearer "+secret)
	response, err := client.Do(message)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NotContains(t, string(body), secret)
	return response.StatusCode, nil
}

func TestSecured(t *testing.T) {
	now := clock.System().Wall()
	authority, err := authoritystandin.New(now-clock.Hour, now+clock.Hour)
	require.NoError(t, err)
	otherAuthority, err := authoritystandin.New(now-clock.Hour, now+clock.Hour)
	require.NoError(t, err)
	host := startSecured(t, "entry-1", authority)
	t.Run("operator with certificate and token", func(t *testing.T) {
		status, err := host.callOperatorAPI(t, authority, now+clock.Hour, operatorToken)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
	t.Run("expired certificate of an operator", func(t *testing.T) {
		_, err := host.callOperatorAPI(t, authority, now-clock.Minute, operatorToken)
		require.Error(t, err)
		host.lines.expectLine(t, "connection refused", "operator", "expired")
	})
	t.Run("wrong token", func(t *testing.T) {
		status, err := host.callOperatorAPI(t, authority, now+clock.Hour, unknownToken)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, status)
		host.lines.expectLine(t, "operator refused", "wrong token")
	})
	t.Run("wrong key of a caller", func(t *testing.T) {
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(authority.Certificate())
		transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}}
		defer transport.CloseIdleConnections()
		status, err := get(t, &http.Client{Transport: transport}, "https://"+host.entry.CallerAddress()+"/v1/models", unknownKey)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, status)
	})
	t.Run("link between nodes of one authority", func(t *testing.T) {
		peer := startSecured(t, "entry-2", authority)
		reply, err := peer.entry.links.Call(context.Background(), host.entry.NodeAddress(), nodepb.Call_builder{BurnQuery: &nodepb.BurnQuery{}}.Build())
		require.NoError(t, err)
		require.True(t, reply.HasBurnReport())
	})
	t.Run("link from a node of another authority", func(t *testing.T) {
		untrustedHost := startSecured(t, "entry-3", otherAuthority)
		_, err := untrustedHost.entry.links.Call(context.Background(), host.entry.NodeAddress(), nodepb.Call_builder{BurnQuery: &nodepb.BurnQuery{}}.Build())
		require.ErrorContains(t, err, "unknown authority")
		untrustedHost.lines.expectLine(t, "link to a peer node could not be secured", host.entry.NodeAddress(), "unknown authority")
	})
	t.Run("operator drains the host", func(t *testing.T) {
		require.NoError(t, host.entry.drainNode(context.Background(), "ana", "entry-1"))
		host.lines.expectLine(t, "no longer ready")
	})
	t.Run("no secret in the log", func(t *testing.T) {
		for _, secret := range []string{callerKey, unknownKey, operatorToken, unknownToken} {
			require.NotContains(t, host.lines.String(), secret)
		}
	})
}
