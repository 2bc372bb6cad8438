package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/keys"
)

// Names of the files that the authority and certificate commands write.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	certificateFile  = "certificate.pem"
	keyFile          = "key.pem"
)

const (
	certificateMode = 0o644
	keyMode         = 0o600
)

type outputOption struct {
	Output flags.Filename `long:"output" required:"true" description:"folder to write to" value-name:"FOLDER"`
}

type authorityCommand struct {
	terminal *terminal
	outputOption
	ValidFor time.Duration `long:"valid-for" default:"43800h" description:"validity period of the authority"`
}

// Execute writes a new authority. It fails if the folder already contains one.
func (authorityCommand *authorityCommand) Execute([]string) error {
	pair, err := keys.NewAuthority(authorityCommand.terminal.timerService.Now(), authorityCommand.ValidFor)
	if err != nil {
		return err
	}
	folder := string(authorityCommand.Output)
	if err := writePair(folder, authorityFile, authorityKeyFile, pair); err != nil {
		return err
	}
	_, err = fmt.Fprintf(authorityCommand.terminal.output, "wrote %s and %s; keep the key off the entry VMs\n",
		filepath.Join(folder, authorityFile), filepath.Join(folder, authorityKeyFile))
	return err
}

type certificateCommand struct {
	terminal *terminal
	outputOption
	Authority flags.Filename `long:"authority" required:"true" description:"folder of the authority" value-name:"FOLDER"`
	VM        string         `long:"vm" required:"true" description:"id of the entry VM"`
	ValidFor  time.Duration  `long:"valid-for" default:"2160h" description:"validity period of the certificate"`
}

// Execute writes a certificate and key for an entry VM.
func (certificateCommand *certificateCommand) Execute([]string) error {
	authority, err := readAuthority(string(certificateCommand.Authority))
	if err != nil {
		return err
	}
	pair, err := authority.Issue(oleandervane.VMID(certificateCommand.VM), certificateCommand.terminal.timerService.Now(), certificateCommand.ValidFor)
	if err != nil {
		return err
	}
	return writePair(string(certificateCommand.Output), certificateFile, keyFile, pair)
}

func readAuthority(folder string) (keys.Pair, error) {
	certificate, err := os.ReadFile(filepath.Join(folder, authorityFile))
	if err != nil {
		return keys.Pair{}, eris.Wrap(err, "read the authority")
	}
	key, err := os.ReadFile(filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return keys.Pair{}, eris.Wrap(err, "read the authority")
	}
	return keys.Pair{Certificate: certificate, Key: key}, nil
}

func writePair(folder, certificateName, keyName string, pair keys.Pair) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create the folder for keys")
	}
	if err := writeNew(filepath.Join(folder, keyName), pair.Key, keyMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(folder, certificateName), pair.Certificate, certificateMode)
}

// writeNew writes a new file and fails if it exists, because an overwritten key cannot be recovered.
func writeNew(path string, text []byte, mode os.FileMode) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return eris.Wrap(err, "write a key or certificate")
	}
	_, err = file.Write(text)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "write a key or certificate")
}
