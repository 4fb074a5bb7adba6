// Package link implements RPC between the instances of one deployment: net/rpc
// over mutual TLS, in which both sides prove that they hold the deployment's
// secret.
package link

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

	"github.com/samber/oops"
)

// MinSecretBytes is the minimum length of a deployment's secret in bytes.
const MinSecretBytes = 16

const certificateLifetime = 100 * 365 * 24 * time.Hour

// Identity is the Ed25519 key pair that all instances of a deployment derive from
// its secret, with a self-signed certificate. Peers authenticate by this key.
type Identity struct {
	certificate tls.Certificate
	publicKey   ed25519.PublicKey
}

// NewIdentity derives the identity of a deployment from its secret, which must have
// at least MinSecretBytes.
func NewIdentity(deployment, secret string) (*Identity, error) {
	if len(secret) < MinSecretBytes {
		return nil, oops.In("link").Errorf("secret is shorter than %d bytes", MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "pomelocross link "+deployment, ed25519.SeedSize)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "derive key")
	}
	privateKey := ed25519.NewKeyFromSeed(seed)
	publicKey := privateKey.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: deployment},
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "create certificate")
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey},
		publicKey:   publicKey,
	}, nil
}

// tlsConfig returns the TLS configuration for both clients and servers. It pins the
// public key instead of verifying a certificate chain and its validity period, so
// that a wrong clock doesn't prevent connections between instances.
func (id *Identity) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the pinned public key instead
		VerifyConnection:   id.verify,
	}
}

func (id *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return oops.In("link").Errorf("peer sent no certificate")
	}
	publicKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !publicKey.Equal(id.publicKey) {
		return oops.In("link").Errorf("peer does not hold the deployment's secret")
	}
	return nil
}
