// Package authoritystandin stands in for the authority that signs the
// certificates of listeners, operators and nodes in tests.
package authoritystandin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"sapphirehead/internal/clock"
)

// PeerName is the name that every certificate carries beside 127.0.0.1.
const PeerName = "sapphire-node"

const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// Authority signs certificates.
type Authority struct {
	from        clock.Millis
	serial      int64
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte
}

// New returns an authority whose certificates are valid from the time of day.
func New(from, until clock.Millis) (*Authority, error) {
	authority := &Authority{from: from, serial: 1}
	template := authority.template(until)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	key, raw, err := sign(template, nil, nil)
	if err != nil {
		return nil, err
	}
	authority.key = key
	authority.encoded = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: raw})
	authority.certificate, err = x509.ParseCertificate(raw)
	return authority, err
}

func (authority *Authority) template(until clock.Millis) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial),
		Subject:      pkix.Name{CommonName: PeerName},
		DNSNames:     []string{PeerName},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.UnixMilli(int64(authority.from)),
		NotAfter:     time.UnixMilli(int64(until)),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign makes a key and a certificate for it, signed by the parent or by itself.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	return key, raw, err
}

// Certificate returns the authority's own certificate in PEM form.
func (authority *Authority) Certificate() []byte { return authority.encoded }

// Issue returns a certificate that ends at the time of day, and its key, both
// in PEM form.
func (authority *Authority) Issue(until clock.Millis) (certificate, key []byte, err error) {
	authority.serial++
	private, raw, err := sign(authority.template(until), authority.certificate, authority.key)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: raw})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: encoded}), nil
}
