// Package authoritystandin is a certificate authority for tests. It signs the
// certificates of listeners, operators and nodes.
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

// PeerName is the DNS name in every certificate, beside the address 127.0.0.1.
const PeerName = "sapphire-node"

const (
	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
)

// Authority signs certificates.
type Authority struct {
	notBefore      clock.Millis
	serial         int64
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
}

// New returns an authority whose certificates are valid from notBefore, and its own
// until notAfter. Both are wall-clock times.
func New(notBefore, notAfter clock.Millis) (*Authority, error) {
	authority := &Authority{notBefore: notBefore, serial: 1}
	template := authority.template(notAfter)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	key, der, err := sign(template, nil, nil)
	if err != nil {
		return nil, err
	}
	authority.key = key
	authority.certificatePEM = pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der})
	authority.certificate, err = x509.ParseCertificate(der)
	return authority, err
}

func (authority *Authority) template(notAfter clock.Millis) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial),
		Subject:      pkix.Name{CommonName: PeerName},
		DNSNames:     []string{PeerName},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.UnixMilli(int64(authority.notBefore)),
		NotAfter:     time.UnixMilli(int64(notAfter)),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign generates a key and a certificate for it in DER form. Without a parent, the
// certificate is self-signed.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	return key, der, err
}

// Certificate returns the authority's own certificate in PEM form.
func (authority *Authority) Certificate() []byte { return authority.certificatePEM }

// Issue returns a certificate that is valid until the wall-clock time notAfter, and
// its key, both in PEM form.
func (authority *Authority) Issue(notAfter clock.Millis) (certificate, key []byte, err error) {
	authority.serial++
	privateKey, der, err := sign(authority.template(notAfter), authority.certificate, authority.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}), nil
}
