package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// ClientConfig returns the TLS configuration of a client. The client trusts only
// the authorities, or those of the host if their path is empty, and presents the
// certificate unless its path is empty. Errors: *Error.
func ClientConfig(readFile func(file string) ([]byte, error), files Files) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if files.authorities != "" {
		content, err := readFile(files.authorities)
		if err != nil {
			return nil, &Error{file: files.authorities, cause: err}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(content) {
			return nil, &Error{file: files.authorities, cause: errors.New("holds no certificate")}
		}
	}
	if files.cert == "" {
		return config, nil
	}
	cert, err := readFile(files.cert)
	if err != nil {
		return nil, &Error{file: files.cert, cause: err}
	}
	key, err := readFile(files.key)
	if err != nil {
		return nil, &Error{file: files.key, cause: err}
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &Error{file: files.cert + " with " + files.key, cause: err}
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}
