// Package keys holds the TLS certificates of the system's listeners and links. It
// reloads their files when they change, so that a renewed certificate takes effect
// without a restart.
//
// Each handshake loads the current certificate and authorities from an atomic
// pointer, which one loop writes. Files that can't be read or don't match are
// reported, and the last valid ones stay in use:
//
//	10:00  cert.pem and key.pem are loaded; handshakes use them
//	10:05  cert.pem is replaced, key.pem not yet: reported, the old pair stays
//	10:06  key.pem is replaced too: handshakes use the new pair
//
// Each purpose (callers, operators, links between nodes) has its own authorities,
// so an operator's certificate is not valid for a link.
package keys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// pollInterval is the interval at which the files are read.
const pollInterval = 5 * clock.Second

// Error reports a file that can't be used, and the cause.
type Error struct {
	file  string
	cause error
}

// File returns the path of the file.
func (err *Error) File() string { return err.file }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.cause }

func (err *Error) Error() string {
	return fmt.Sprintf("%s: %v: must be a readable file in PEM format", err.file, err.cause)
}

// Files holds the paths of the files of one purpose.
type Files struct {
	cert        string
	key         string
	authorities string
}

// NewFiles returns the paths of the certificate chain, the private key and the
// peer's authorities. The last is empty if peers don't present a certificate.
func NewFiles(cert, key, authorities string) Files {
	return Files{cert: cert, key: key, authorities: authorities}
}

// material is the contents of the files at one time.
type material struct {
	contents    [][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Keys serves the current certificate and authorities.
type Keys struct {
	clock    *clock.Clock
	readFile func(file string) ([]byte, error)
	files    Files
	onChange func(err error)
	current  atomic.Pointer[material]
}

// New loads the files. The function onChange is called for each later change, with
// nil if it took effect, or an *Error of the files. Errors: *Error.
func New(clock *clock.Clock, readFile func(file string) ([]byte, error), files Files, onChange func(err error)) (*Keys, error) {
	keys := &Keys{clock: clock, readFile: readFile, files: files, onChange: onChange}
	loaded, err := keys.load()
	if err != nil {
		return nil, err
	}
	keys.current.Store(loaded)
	return keys, nil
}

func (keys *Keys) load() (*material, error) {
	loaded := &material{}
	for _, file := range []string{keys.files.cert, keys.files.key, keys.files.authorities} {
		var content []byte
		if file != "" {
			var err error
			if content, err = keys.readFile(file); err != nil {
				return nil, &Error{file: file, cause: err}
			}
		}
		loaded.contents = append(loaded.contents, content)
	}
	var err error
	loaded.certificate, err = tls.X509KeyPair(loaded.contents[0], loaded.contents[1])
	if err != nil {
		return nil, &Error{file: keys.files.cert + " with " + keys.files.key, cause: err}
	}
	if keys.files.authorities == "" {
		return loaded, nil
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(loaded.contents[2]) {
		return nil, &Error{file: keys.files.authorities, cause: errors.New("holds no certificate")}
	}
	return loaded, nil
}

// Reload reads the files once and uses them if they changed.
func (keys *Keys) Reload() {
	loaded, err := keys.load()
	if err != nil {
		keys.onChange(err)
		return
	}
	if keys.current.Load().equal(loaded) {
		return
	}
	keys.current.Store(loaded)
	keys.onChange(nil)
}

func (material *material) equal(other *material) bool {
	for i := range material.contents {
		if !bytes.Equal(material.contents[i], other.contents[i]) {
			return false
		}
	}
	return true
}

// Watch reloads the files at intervals until the context ends.
func (keys *Keys) Watch(ctx context.Context) {
	for keys.clock.Wait(ctx, pollInterval) == nil {
		keys.Reload()
	}
}

// Listener returns a listener whose handshakes use the current files. With
// authorities, clients must present a certificate signed by one of them.
func (keys *Keys) Listener(listener net.Listener) net.Listener {
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return keys.serverConfig(), nil
		},
	})
}

func (keys *Keys) serverConfig() *tls.Config {
	loaded := keys.current.Load()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate},
		NextProtos: []string{"http/1.1"}, Time: keys.now,
	}
	if loaded.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = loaded.authorities
	}
	return config
}

func (keys *Keys) now() time.Time { return time.UnixMilli(int64(keys.clock.Wall())) }

// Client performs a TLS handshake as the client, with the current certificate. The
// peer's certificate must be valid for the name and signed by the authorities. On
// an error the connection is closed.
func (keys *Keys) Client(ctx context.Context, connection net.Conn, peerName string) (net.Conn, error) {
	loaded := keys.current.Load()
	tlsConnection := tls.Client(connection, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate},
		RootCAs: loaded.authorities, ServerName: peerName, Time: keys.now,
	})
	if err := tlsConnection.HandshakeContext(ctx); err != nil {
		connection.Close()
		return nil, errors.Wrapf(err, "TLS handshake with %s", connection.RemoteAddr())
	}
	return tlsConnection, nil
}
