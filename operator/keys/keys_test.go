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

// write puts an identity into a folder: a certificate of one authority and a list of accepted ones.
func write(t *testing.T, folder string, issuer keys.Pair, validFor time.Duration, accepted ...keys.Pair) keys.Files {
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

func load(t *testing.T, files keys.Files, manual *timer.Manual) *keys.Identity {
	t.Helper()
	identity, err := keys.LoadIdentity(files, manual, func(err error) { t.Log(err) })
	assert.NilError(t, err)
	t.Cleanup(identity.Close)
	return identity
}

// handshake returns the errors of both sides of a handshake.
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
		// A server of TLS 1.3 refuses a client's certificate only after the client's part is over.
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return clientErr, <-serverDone
}

// Guards against peers without the right certificate, on either side.
func TestPeersWithoutTheRightCertificateAreRefused(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	manual := timer.NewManual(time.Now())
	identity := load(t, write(t, t.TempDir(), ours, day, ours), manual)
	foreign := load(t, write(t, t.TempDir(), other, day, other, ours), manual)
	expired := load(t, write(t, t.TempDir(), ours, -time.Minute, ours), manual)
	cases := map[string]struct {
		client, server *tls.Config
		refused        bool
	}{
		"both known":           {identity.ClientTLS("h2"), identity.ServerTLS(), false},
		"client unknown":       {foreign.ClientTLS("h2"), identity.ServerTLS(), true},
		"server unknown":       {identity.ClientTLS("h2"), foreign.ServerTLS(), true},
		"client expired":       {expired.ClientTLS("h2"), identity.ServerTLS(), true},
		"client without any":   {&tls.Config{InsecureSkipVerify: true}, identity.ServerTLS(), true},
		"client before TLS1.3": {&tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, identity.ServerTLS(), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			clientErr, serverErr := handshake(test.client, test.server)
			assert.Equal(t, clientErr != nil || serverErr != nil, test.refused, "client: %v, server: %v", clientErr, serverErr)
		})
	}
}

// Guards the steps of a change of authority: no pair of VMs may refuse one another on the way.
func TestAuthorityIsReplacedWhileVMsRun(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	manual := timer.NewManual(time.Now())
	folders := []string{t.TempDir(), t.TempDir()}
	var identities []*keys.Identity
	for _, folder := range folders {
		identities = append(identities, load(t, write(t, folder, before, day, before), manual))
	}
	steps := []func(folder string){
		func(folder string) { write(t, folder, before, day, before, after) },
		func(folder string) { write(t, folder, after, day, before, after) },
		func(folder string) { write(t, folder, after, day, after) },
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

// Guards against a half-written file taking a VM's identity away.
func TestUnusableFilesLeaveTheFormerIdentity(t *testing.T) {
	authority := newAuthority(t)
	manual := timer.NewManual(time.Now())
	files := write(t, t.TempDir(), authority, day, authority)
	identity := load(t, files, manual)
	assert.NilError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	manual.Advance(time.Minute)
	clientErr, serverErr := handshake(identity.ClientTLS("h2"), identity.ServerTLS())
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
}
