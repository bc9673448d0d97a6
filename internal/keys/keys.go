// Package keys holds the certificates of the system's listeners and links and
// reads their files again when they change, so that a renewed certificate
// takes effect without a restart.
//
// Readers take the current certificate and authorities from an atomic pointer
// at each handshake; one loop writes it. Files that can't be read or don't fit
// together are reported and leave the last good ones in place:
//
//	10:00  cert.pem and key.pem are read; handshakes use them
//	10:05  cert.pem is replaced, key.pem not yet: reported, the old pair stays
//	10:06  key.pem is replaced too: handshakes use the new pair
//
// Each purpose (callers, operators, links between nodes) has its own
// authorities, so an operator's certificate opens no link.
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

// pollInterval is the time between two looks at the files.
const pollInterval = 5 * clock.Second

// Error says which file can't be used, and why.
type Error struct {
	file  string
	cause error
}

// File returns the path of the file.
func (err *Error) File() string { return err.file }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.cause }

func (err *Error) Error() string {
	return fmt.Sprintf("%s: %v: allowed is a readable file in PEM form", err.file, err.cause)
}

// Files names the files of one purpose.
type Files struct {
	cert        string
	key         string
	authorities string
}

// NewFiles returns the paths of the certificate chain, the private key and
// the other side's authorities. The last is empty if the other side shows no
// certificate.
func NewFiles(cert, key, authorities string) Files {
	return Files{cert: cert, key: key, authorities: authorities}
}

// material is what was read at one time.
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

// New reads the files. The function changed hears of each later change: nil
// if it took effect, or what is wrong with the files. Errors: *Error.
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

// Reload reads the files once and puts them in use if they changed.
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

func (loaded *material) equal(other *material) bool {
	for i := range loaded.contents {
		if !bytes.Equal(loaded.contents[i], other.contents[i]) {
			return false
		}
	}
	return true
}

// Watch reads the files again from time to time until the context ends.
func (keys *Keys) Watch(ctx context.Context) {
	for keys.clock.Wait(ctx, pollInterval) == nil {
		keys.Reload()
	}
}

// Listener returns a listener whose handshakes use the current files. With
// authorities, the other side must show a certificate that they signed.
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

// Client makes a secured connection to a peer whose certificate must carry
// the name and be signed by the authorities. It shows the current certificate.
func (keys *Keys) Client(ctx context.Context, connection net.Conn, peerName string) (net.Conn, error) {
	loaded := keys.current.Load()
	tlsConnection := tls.Client(connection, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate},
		RootCAs: loaded.authorities, ServerName: peerName, Time: keys.now,
	})
	if err := tlsConnection.HandshakeContext(ctx); err != nil {
		connection.Close()
		return nil, errors.Wrapf(err, "secure the connection to %s", connection.RemoteAddr())
	}
	return tlsConnection, nil
}
