package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// PeerName is the DNS name for which the certificates of all entry VMs are issued. Certificates contain no address of a
// VM because VMs are replaced at any time.
const PeerName = "entry-vm.oleandervane.example"

const (
	// backdate starts the validity of a certificate in the past, for VMs whose clocks are behind.
	backdate   = 5 * time.Minute
	serialBits = 120

	certificateType = "CERTIFICATE"
	keyType         = "EC PRIVATE KEY"
)

// ErrMalformed is returned for a file that has no PEM block of the expected type.
var ErrMalformed = eris.New("not a PEM file of the expected kind")

// Pair is a certificate with its private key, both in PEM. It is immutable.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns a new authority that is valid for the duration validFor from now.
func NewAuthority(now time.Time, validFor time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "oleandervane peer authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validFor),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	return sign(template, template, key, key)
}

// Issue returns a new key for an entry VM with a certificate that the authority signed.
func (authority Pair) Issue(vmID oleandervane.VMID, now time.Time, validFor time.Duration) (Pair, error) {
	parent, err := parseCertificate(authority.Certificate)
	if err != nil {
		return Pair{}, eris.Wrap(err, "reading the authority's certificate")
	}
	parentKey, err := parseKey(authority.Key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "reading the authority's key")
	}
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(vmID)},
		DNSNames:    []string{PeerName},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(validFor),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(template, parent, key, parentKey)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, eris.Wrap(err, "generating a key")
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, eris.Wrap(err, "generating a serial number")
	}
	template.SerialNumber = serial
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, eris.Wrap(err, "signing a certificate")
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encoding a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateType, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyType, Bytes: encodedKey}),
	}, nil
}

func parseCertificate(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != certificateType {
		return nil, ErrMalformed
	}
	return x509.ParseCertificate(block.Bytes)
}

func parseKey(text []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != keyType {
		return nil, ErrMalformed
	}
	return x509.ParseECPrivateKey(block.Bytes)
}
