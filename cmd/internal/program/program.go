// Package program has what the main functions of all programs share.
package program

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit statuses, as in the operators' program.
const (
	statusFailed = 1
	statusUsage  = 2
)

// Parse reads the command line into options. It ends the process after printing the help text or a fault of usage.
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

// Exit ends the process, with the error and a failed status if there is one.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(statusFailed)
}

// WriteFile makes a file and lets write fill it.
func WriteFile(path string, write func(file io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "writing a result")
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "writing %s", path)
}
