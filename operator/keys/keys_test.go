package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/operator/keys"
	"oleandervane.example/timer"
)

const day = 24 * time.Hour

func newAuthority(t *testing.T) keys.Pair {
	t.Helper()
	authority, err := keys.NewAuthority(time.Now(), day)
	assert.NilError(t, err)
	return authority
}

// writeIdentity writes the files of an identity to a folder: a certificate from the issuer and the list of accepted
// authorities.
func writeIdentity(t *testing.T, folder string, issuer keys.Pair, validFor time.Duration, accepted ...keys.Pair) keys.Files {
	t.Helper()
	pair, err := issuer.Issue("kigali-a-1", time.Now(), validFor)
	assert.NilError(t, err)
	files := keys.Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authorities: filepath.Join(folder, "authorities.pem"),
	}
	var authorities []byte
	for _, authority := range accepted {
		authorities = append(authorities, authority.Certificate...)
	}
	assert.NilError(t, os.WriteFile(files.Certificate, pair.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(files.Key, pair.Key, 0o600))
	assert.NilError(t, os.WriteFile(files.Authorities, authorities, 0o600))
	return files
}

func loadIdentity(t *testing.T, files keys.Files, manual *timer.Manual) *keys.Identity {
	t.Helper()
	identity, err := keys.LoadIdentity(files, manual, func(err error) { t.Log(err) })
	assert.NilError(t, err)
	t.Cleanup(identity.Close)
	return identity
}

// handshake runs a TLS handshake and returns the errors of both sides.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	clientConn, serverConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	serverDone := make(chan error, 1)
	go func() {
		conn := tls.Server(serverConn, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte("."))
		}
		_ = serverConn.Close()
		serverDone <- err
	}()
	conn := tls.Client(clientConn, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// With TLS 1.3 the server rejects a client's certificate only after the client has completed its handshake.
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return clientErr, <-serverDone
}

// Guards against a connection to or from a peer without a valid certificate.
func TestPeersWithoutTheRightCertificateAreRefused(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	manual := timer.NewManual(time.Now())
	identity := loadIdentity(t, writeIdentity(t, t.TempDir(), ours, day, ours), manual)
	foreign := loadIdentity(t, writeIdentity(t, t.TempDir(), other, day, other, ours), manual)
	expired := loadIdentity(t, writeIdentity(t, t.TempDir(), ours, -time.Minute, ours), manual)
	cases := map[string]struct {
		client, server *tls.Config
		refused        bool
	}{
		"both accepted":                 {identity.ClientTLS("h2"), identity.ServerTLS(), false},
		"client from unknown authority": {foreign.ClientTLS("h2"), identity.ServerTLS(), true},
		"server from unknown authority": {identity.ClientTLS("h2"), foreign.ServerTLS(), true},
		"client expired":                {expired.ClientTLS("h2"), identity.ServerTLS(), true},
		"client without certificate":    {&tls.Config{InsecureSkipVerify: true}, identity.ServerTLS(), true},
		"client before TLS1.3":          {&tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, identity.ServerTLS(), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			clientErr, serverErr := handshake(test.client, test.server)
			assert.Equal(t, clientErr != nil || serverErr != nil, test.refused, "client: %v, server: %v", clientErr, serverErr)
		})
	}
}

// Guards against VMs that stop accepting one another while their authority is replaced, when some VMs have the files of
// the next step and others do not yet.
func TestAuthorityIsReplacedWhileVMsRun(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	manual := timer.NewManual(time.Now())
	folders := []string{t.TempDir(), t.TempDir()}
	var identities []*keys.Identity
	for _, folder := range folders {
		identities = append(identities, loadIdentity(t, writeIdentity(t, folder, before, day, before), manual))
	}
	steps := []func(folder string){
		func(folder string) { writeIdentity(t, folder, before, day, before, after) },
		func(folder string) { writeIdentity(t, folder, after, day, before, after) },
		func(folder string) { writeIdentity(t, folder, after, day, after) },
	}
	for _, step := range steps {
		for _, folder := range folders {
			step(folder)
			manual.Advance(time.Minute)
			clientErr, serverErr := handshake(identities[0].ClientTLS("h2"), identities[1].ServerTLS())
			assert.NilError(t, clientErr)
			assert.NilError(t, serverErr)
		}
	}
}

// Guards against a half-written file that leaves a running VM without an identity.
func TestInvalidFilesKeepThePreviousIdentity(t *testing.T) {
	authority := newAuthority(t)
	manual := timer.NewManual(time.Now())
	files := writeIdentity(t, t.TempDir(), authority, day, authority)
	identity := loadIdentity(t, files, manual)
	assert.NilError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	manual.Advance(time.Minute)
	clientErr, serverErr := handshake(identity.ClientTLS("h2"), identity.ServerTLS())
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
}
