package entry

import (
	"context"
	"log" //nolint:depguard // the HTTP server's ErrorLog has this type
	"net"
	"os"
	"strings"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/keys"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/settings"
)

// listenerKeys holds the certificates of the listeners, nil where none is
// configured.
type listenerKeys struct {
	caller   *keys.Keys
	operator *keys.Keys
	node     *keys.Keys
}

// loadKeys reads the configured certificates. Errors: *keys.Error.
func (entry *Entry) loadKeys() error {
	var err error
	load := func(purpose string, files *settings.TLS) *keys.Keys {
		if files == nil || err != nil {
			return nil
		}
		var loaded *keys.Keys
		loaded, err = keys.New(entry.clock, os.ReadFile, keys.NewFiles(files.CertFile(), files.KeyFile(), files.CAFile()), func(err error) {
			entry.logKeyReload(purpose, err)
		})
		return loaded
	}
	entry.listenerKeys.caller = load("caller", entry.settings.CallerTLS())
	entry.listenerKeys.operator = load("operator", entry.settings.OperatorTLS())
	entry.listenerKeys.node = load("node", entry.settings.NodeTLS())
	return err
}

func (entry *Entry) logKeyReload(purpose string, err error) {
	if err != nil {
		entry.counters.Add("certificatesNotReloaded", 1)
		entry.log.Error().Err(err).Str("purpose", purpose).Msg("cannot reload certificate files: keeping the last valid ones")
		return
	}
	entry.counters.Add("certificatesReloaded", 1)
	entry.log.Info().Str("purpose", purpose).Msg("reloaded certificate files")
}

// watchKeys watches the certificate files until the context ends.
func (entry *Entry) watchKeys(ctx context.Context) {
	done := make(chan struct{})
	all := entry.listenerKeys.all()
	for _, watched := range all {
		go func() {
			watched.Watch(ctx)
			done <- struct{}{}
		}()
	}
	for range all {
		<-done
	}
}

func (listenerKeys *listenerKeys) all() []*keys.Keys {
	var all []*keys.Keys
	for _, loaded := range []*keys.Keys{listenerKeys.caller, listenerKeys.operator, listenerKeys.node} {
		if loaded != nil {
			all = append(all, loaded)
		}
	}
	return all
}

func secureListener(loaded *keys.Keys, listener net.Listener) net.Listener {
	if loaded == nil || listener == nil {
		return listener
	}
	return loaded.Listener(listener)
}

// dialNode opens a connection to a peer.
func (entry *Entry) dialNode(ctx context.Context, address string) (net.Conn, error) {
	connection, err := nodelink.DialTCP(ctx, address)
	if err != nil || entry.listenerKeys.node == nil {
		return connection, err
	}
	name := entry.settings.NodeTLS().PeerName()
	if name == "" {
		name, _, _ = net.SplitHostPort(address)
	}
	secureConnection, err := entry.listenerKeys.node.Client(ctx, connection, name)
	if err != nil {
		entry.logUntrusted(address, err)
	}
	return secureConnection, err
}

// untrustedInterval is the minimum time between two log lines about links that
// could not be secured, as every gossip round (0.75 to 1.5 s) may retry them.
const untrustedInterval = 1 * clock.Minute

// logUntrusted counts a link that could not be secured, and logs it at most
// once per untrustedInterval.
func (entry *Entry) logUntrusted(address string, err error) {
	entry.counters.Add("linksNotSecured", 1)
	now, last := int64(entry.clock.Now()), entry.untrustedAt.Load()
	if last != 0 && now-last < int64(untrustedInterval) || !entry.untrustedAt.CompareAndSwap(last, now) {
		return
	}
	entry.log.Warn().Str("remote", address).Err(err).Msg("link to a peer node could not be secured")
}

// accountsOf returns the client accounts, indexed by the hashes of their keys.
func accountsOf(settings *settings.Entry) *caller.Accounts {
	byHash := map[string]*caller.Account{}
	for _, account := range settings.Accounts() {
		indexed := caller.NewAccount(account.Name(), account.MaxInFlight())
		for _, hash := range account.KeyHashes() {
			byHash[hash] = indexed
		}
	}
	return caller.NewAccounts(byHash)
}

// operatorToken returns the rights of a token, or false if it is unknown.
func (entry *Entry) operatorToken(given string) (operator.Token, bool) {
	token, ok := settings.FindToken(entry.settings.OperatorTokens(), given)
	return operator.NewToken(token.Name(), token.MayWrite()), ok
}

// handshakeLogger returns the ErrorLog of an HTTP server, which writes only
// refused connections to it, such as a handshake with an expired certificate.
func (entry *Entry) handshakeLogger(purpose string) *log.Logger {
	return log.New(handshakeLog{entry: entry, purpose: purpose}, "", 0)
}

// handshakeLog writes the HTTP server's lines about refused connections to the
// log.
type handshakeLog struct {
	entry   *Entry
	purpose string
}

// Write logs and counts one line from the HTTP server.
func (log handshakeLog) Write(line []byte) (int, error) {
	log.entry.counters.Add("connectionsRefused", 1)
	log.entry.log.Warn().Str("purpose", log.purpose).Str("reason", strings.TrimSpace(string(line))).Msg("connection refused")
	return len(line), nil
}
