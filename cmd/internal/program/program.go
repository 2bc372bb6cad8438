// Package program has the command-line parsing and exit handling that all programs share.
package program

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit statuses, the same as those of the operators' program oleandervane.
const (
	statusFailed = 1
	statusUsage  = 2
)

// Parse parses the command line into the options of the parser. It exits the process when help was requested or the
// command line is invalid.
func Parse(parser *flags.Parser) {
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var flagsError *flags.Error
	if !errors.As(err, &flagsError) {
		os.Exit(statusFailed)
	}
	if flagsError.Type == flags.ErrHelp {
		os.Exit(0)
	}
	os.Exit(statusUsage)
}

// Exit exits the process: with status 0 if err is nil, otherwise with status 1 after printing the error.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(statusFailed)
}

// WriteFile creates a file and calls write to write its content.
func WriteFile(path string, write func(file io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "write %s", path)
}
