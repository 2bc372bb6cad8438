package main

import (
	"os"
	"path/filepath"
	"time"

	"oleandervane.example"
	"oleandervane.example/entryvm"
	"oleandervane.example/operator/keys"
)

// keysValidFor is the validity period of certificates; it is longer than a run of the demo.
const keysValidFor = time.Hour

// createAuthority creates the certificate authority of the deployment's entry VMs and writes its certificate to a file.
func (scenario *scenario) createAuthority() (err error) {
	scenario.authority, err = keys.NewAuthority(time.Now(), keysValidFor)
	if err != nil {
		return err
	}
	return os.WriteFile(scenario.authorityFile(), scenario.authority.Certificate, 0o600)
}

func (scenario *scenario) authorityFile() string {
	return filepath.Join(scenario.folder, "authority.pem")
}

// issueCertificate writes a certificate and key for an entry VM and returns settings with the paths of their files.
func (scenario *scenario) issueCertificate(vmID oleandervane.VMID) (entryvm.PeerTLS, error) {
	pair, err := scenario.authority.Issue(vmID, time.Now(), keysValidFor)
	if err != nil {
		return entryvm.PeerTLS{}, err
	}
	peerTLS := entryvm.PeerTLS{
		CertificateFile: filepath.Join(scenario.folder, string(vmID)+"-certificate.pem"),
		KeyFile:         filepath.Join(scenario.folder, string(vmID)+"-key.pem"),
		AuthorityFile:   scenario.authorityFile(),
	}
	for path, text := range map[string][]byte{
		peerTLS.CertificateFile: pair.Certificate,
		peerTLS.KeyFile:         pair.Key,
	} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return entryvm.PeerTLS{}, err
		}
	}
	return peerTLS, nil
}
