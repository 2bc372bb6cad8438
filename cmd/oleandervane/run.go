package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"oleandervane.example"
	"oleandervane.example/operator/revision"
	"oleandervane.example/platform/store"
)

// Exit codes.
const (
	exitFine        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

var (
	errRefused     = errors.New("refused")
	errUsage       = errors.New("wrong usage")
	errUnreachable = errors.New("unreachable")
)

// terminal is what commands write to and take time from.
type terminal struct {
	output       io.Writer
	timerService oleandervane.TimerService
}

// show writes a result as text or as JSON.
func (terminal *terminal) show(asJSON bool, value any, text string) error {
	if !asJSON {
		_, err := io.WriteString(terminal.output, text)
		return err
	}
	encoder := json.NewEncoder(terminal.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type jsonOption struct {
	JSON bool `long:"json" description:"write JSON instead of text"`
}

type storeOption struct {
	Store string `long:"store" required:"true" env:"OLEANDERVANE_STORE" description:"base URL of the platform's store" value-name:"URL"`
}

func (storeOption storeOption) open(terminal *terminal) *store.Client {
	return store.NewClient(storeOption.Store, terminal.timerService)
}

type entryVMOption struct {
	EntryVMs []string `long:"entry-vm" env:"OLEANDERVANE_ENTRY_VMS" env-delim:"," description:"address of an entry VM, may be given several times" value-name:"HOST:PORT"`
}

type folderArgument struct {
	Arguments struct {
		Folder flags.Filename `positional-arg-name:"FOLDER" description:"the folder of TOML files"`
	} `positional-args:"true" required:"true"`
}

// run executes one command and returns the exit code.
func run(arguments []string, output, errorOutput io.Writer, timerService oleandervane.TimerService) int {
	terminal := &terminal{output: output, timerService: timerService}
	parser := flags.NewNamedParser("oleandervane", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Checks, publishes and explains the configuration of the traffic steering system. " +
		"Exit codes: 0 fine, 1 refused, 2 usage, 3 unreachable. For shell completion in bash: " +
		"complete -C 'GO_FLAGS_COMPLETION=1 oleandervane' oleandervane"
	for _, command := range []struct {
		name, short, long string
		data              any
	}{
		{"check", "check a folder", "Reads a folder and reports all errors and warnings at once. Exit code 1 if there is an error.", &checkCommand{terminal: terminal}},
		{"diff", "show what a folder would change", "Compares a folder with the revision in force, or another one, and tells the effect on traffic.", &diffCommand{terminal: terminal}},
		{"publish", "publish a folder", "Checks a folder and publishes it as the next revision. Refuses to undo what others published since the folder's base.", &publishCommand{terminal: terminal}},
		{"history", "list accepted revisions", "Lists the last accepted revisions; with --collect it removes chunks that none of them uses.", &historyCommand{terminal: terminal}},
		{"status", "show what entry VMs know", "Asks entry VMs for their state, revision, peers, shares and view of the store.", &statusCommand{terminal: terminal}},
		{"explain", "explain the shares of a flow", "Asks entry VMs why the traffic of a service from a home region goes where it goes.", &explainCommand{terminal: terminal}},
		{"report", "report service-level burn", "Adds up the counters of entry VMs and reports error budgets, burn rates and alerts.", &reportCommand{terminal: terminal}},
		{"lookup", "ask which entry VMs to use", "Asks an entry VM, as a caller does, which entry VMs to use for a kind of request.", &lookupCommand{terminal: terminal}},
		{"request", "send a request as a caller", "Sends one request through entry VMs and prints its outcome. With --once it gets a ticket, so that the request runs at most once.", &requestCommand{terminal: terminal}},
		{"trace", "tell the story of a request", "Reads logs of hosted entry VMs from files or standard input and tells in order what they say of a request and of the backend servers it was sent to.", &traceCommand{terminal: terminal}},
		{"authority", "make an authority for peers", "Makes the authority that signs the certificates of entry VMs.", &authorityCommand{terminal: terminal}},
		{"certificate", "make a certificate for an entry VM", "Makes a certificate and key, signed by the authority, that an entry VM shows to its peers.", &certificateCommand{terminal: terminal}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			fmt.Fprintln(errorOutput, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, output, errorOutput)
}

// exitCode prints an error and returns the code that belongs to it.
func exitCode(err error, output, errorOutput io.Writer) int {
	if err == nil {
		return exitFine
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(output, flagsError.Message)
			return exitFine
		}
		fmt.Fprintln(errorOutput, flagsError.Message)
		return exitUsage
	}
	fmt.Fprintln(errorOutput, "oleandervane: "+err.Error())
	var conflict *revision.ConflictError
	var older *revision.StaleStoreError
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &conflict), errors.As(err, &older), errors.Is(err, errRefused):
		return exitRefused
	case errors.Is(err, oleandervane.ErrStoreUnavailable), errors.Is(err, errUnreachable):
		return exitUnreachable
	}
	return exitRefused
}
