package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"
)

// Identity holds the certificates for mutual TLS on streams. Each key is the seed
// of a certificate authority, which all holders of the key derive identically; a
// process signs a certificate of its own with each. Only holders of a key are
// therefore accepted as peers, and keys rotate as they do for datagrams.
type Identity struct {
	certificates []tls.Certificate
	roots        *x509.CertPool
}

const (
	serverName = "eiderspring-peer"
	// certificateLifetime exceeds the lifetime of any process; keys are revoked by
	// rotation, not by expiry.
	certificateLifetime = 365 * 24 * time.Hour
)

// authorityStart and authorityEnd are constants so that every process derives the
// same authority certificate.
var (
	authorityStart = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	authorityEnd   = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// NewIdentity derives the certificates for the keys, which are ordered from newest to
// oldest.
func NewIdentity(keys [][]byte, now time.Time) (*Identity, error) {
	id := &Identity{roots: x509.NewCertPool()}
	for _, key := range keys {
		authority, signer, err := deriveAuthority(key)
		if err != nil {
			return nil, err
		}
		id.roots.AddCert(authority)
		leaf, err := newLeaf(authority, signer, now)
		if err != nil {
			return nil, err
		}
		id.certificates = append(id.certificates, leaf)
	}
	return id, nil
}

func deriveAuthority(key []byte) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, key, nil, "eiderspring authority", ed25519.SeedSize)
	if err != nil {
		return nil, nil, err
	}
	signer := ed25519.NewKeyFromSeed(seed)
	sum := sha256.Sum256(signer.Public().(ed25519.PublicKey))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "eiderspring peers"},
		NotBefore: authorityStart, NotAfter: authorityEnd, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, SubjectKeyId: sum[:20],
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, signer.Public(), signer)
	if err != nil {
		return nil, nil, err
	}
	authority, err := x509.ParseCertificate(der)
	return authority, signer, err
}

func newLeaf(authority *x509.Certificate, signer ed25519.PrivateKey, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: serverName}, DNSNames: []string{serverName},
		NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, signer)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}

// protocolName is the ALPN protocol (RFC 7301), including its version.
const protocolName = "eiderspring/1"

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName, requestsProtocol}, Certificates: id.certificates[:1],
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: id.roots,
	}
}

func (id *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName}, Certificates: id.certificates[:1],
		RootCAs: id.roots, ServerName: serverName,
	}
}
