package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// reloadPeriod is the interval at which changed files are reloaded.
const reloadPeriod = 10 * time.Second

// Files has the paths of the files of a VM's identity.
type Files struct {
	Certificate string
	Key         string
	// Authorities is the path of a file with one or more certificates of authorities.
	Authorities string
}

// Identity is the certificate that a VM presents to its peers and the authorities that it accepts. Changed files are
// reloaded.
type Identity struct {
	files  Files
	state  atomic.Pointer[identityState]
	report func(err error)
	cancel func()
}

type identityState struct {
	contents    [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadIdentity reads the files and reloads them when they change. If changed files are invalid, the error goes to report
// and the previous identity stays in use.
func LoadIdentity(files Files, timerService oleandervane.TimerService, report func(err error)) (*Identity, error) {
	identity := &Identity{files: files, report: report}
	state, err := identity.read()
	if err != nil {
		return nil, err
	}
	identity.state.Store(state)
	identity.cancel = timerService.Every(reloadPeriod, identity.reload)
	return identity, nil
}

// Close stops the reloading of files.
func (identity *Identity) Close() {
	identity.cancel()
}

// ServerTLS returns the configuration of a server that accepts only peers with a certificate for PeerName from an accepted
// authority.
func (identity *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			state := identity.state.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{state.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    state.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
				VerifyConnection: func(connectionState tls.ConnectionState) error {
					return connectionState.PeerCertificates[0].VerifyHostname(PeerName)
				},
			}, nil
		},
	}
}

// ClientTLS returns the configuration of a client that connects to peers with one of the given ALPN protocols.
func (identity *Identity) ClientTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: PeerName,
		NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &identity.state.Load().certificate, nil
		},
		// The standard verification uses a fixed list of authorities; verifyServer uses the reloaded list.
		InsecureSkipVerify: true,
		VerifyConnection:   identity.verifyServer,
	}
}

func (identity *Identity) verifyServer(connectionState tls.ConnectionState) error {
	options := x509.VerifyOptions{
		Roots:         identity.state.Load().authorities,
		DNSName:       PeerName,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, certificate := range connectionState.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := connectionState.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "checking the certificate of a peer")
}

func (identity *Identity) reload(time.Time) {
	state, err := identity.read()
	if err != nil {
		identity.report(err)
		return
	}
	identity.state.Store(state)
}

func (identity *Identity) read() (*identityState, error) {
	state := &identityState{}
	for i, path := range []string{identity.files.Certificate, identity.files.Key, identity.files.Authorities} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "reading the identity of this VM")
		}
		state.contents[i] = text
	}
	if current := identity.state.Load(); current != nil && equalContents(current.contents, state.contents) {
		return current, nil
	}
	return state, state.parse(identity.files)
}

func (state *identityState) parse(files Files) error {
	certificate, err := tls.X509KeyPair(state.contents[0], state.contents[1])
	if err != nil {
		return eris.Wrapf(err, "reading certificate %s and key %s", files.Certificate, files.Key)
	}
	state.certificate = certificate
	state.authorities = x509.NewCertPool()
	if !state.authorities.AppendCertsFromPEM(state.contents[2]) {
		return eris.Wrapf(ErrMalformed, "reading authorities %s", files.Authorities)
	}
	return nil
}

func equalContents(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
