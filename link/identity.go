// Package link carries calls between the instances of one deployment: net/rpc
// over TLS in which both sides prove that they hold the deployment's secret.
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

// MinSecretBytes is the least length of a deployment's secret.
const MinSecretBytes = 16

const certificateLifetime = 100 * 365 * 24 * time.Hour

// Identity is the key pair that all instances of a deployment derive from its
// secret. Holding it is what makes an instance a peer.
type Identity struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
}

// NewIdentity derives the identity of deployment from secret.
func NewIdentity(deployment, secret string) (*Identity, error) {
	if len(secret) < MinSecretBytes {
		return nil, oops.In("link").Errorf("secret is shorter than %d bytes", MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "pomelocross link "+deployment, ed25519.SeedSize)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "derive key")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: deployment},
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "create certificate")
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		public:      public,
	}, nil
}

// config returns the TLS configuration of either side. The chain is not
// verified by authority or time but by the one public key that is accepted, so
// clocks that are off do not cut instances apart.
func (id *Identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection pins the public key instead
		VerifyConnection:   id.verify,
	}
}

func (id *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return oops.In("link").Errorf("peer sent no certificate")
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !public.Equal(id.public) {
		return oops.In("link").Errorf("peer does not hold the deployment's secret")
	}
	return nil
}
