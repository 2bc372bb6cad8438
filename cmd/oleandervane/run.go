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
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

var (
	errRefused     = errors.New("refused")
	errUsage       = errors.New("wrong usage")
	errUnreachable = errors.New("unreachable")
)

// terminal is the output and the clock of the commands.
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
		{"diff", "show what a folder would change", "Compares a folder with the revision in force, or with another revision, and describes the effect on traffic.", &diffCommand{terminal: terminal}},
		{"publish", "publish a folder", "Checks a folder and publishes it as the next revision. Refuses to undo changes that others published since the folder's base revision.", &publishCommand{terminal: terminal}},
		{"history", "list accepted revisions", "Lists the last accepted revisions; with --collect it removes chunks that no revision uses.", &historyCommand{terminal: terminal}},
		{"status", "show the state of entry VMs", "Queries entry VMs for their state, revision, peers, shares and view of the store.", &statusCommand{terminal: terminal}},
		{"explain", "explain the shares of a flow", "Queries entry VMs for the reasons why the traffic of a service from a home region has its present shares by region.", &explainCommand{terminal: terminal}},
		{"report", "report service-level burn", "Sums the counters of entry VMs and reports error budgets, burn rates and alerts.", &reportCommand{terminal: terminal}},
		{"lookup", "look up the entry VMs to use", "Queries an entry VM, as a caller does, for the entry VMs to use for a kind of request.", &lookupCommand{terminal: terminal}},
		{"request", "send a request as a caller", "Sends one request through entry VMs and prints its outcome. With --once it gets a ticket, so that the request runs at most once.", &requestCommand{terminal: terminal}},
		{"trace", "show the log events of a request", "Reads logs of hosted entry VMs from files or standard input and shows in order of time the events of a request and of the backend servers to which it was sent.", &traceCommand{terminal: terminal}},
		{"authority", "create an authority for peers", "Creates the certificate authority that signs the certificates of entry VMs.", &authorityCommand{terminal: terminal}},
		{"certificate", "create a certificate for an entry VM", "Creates a certificate and key, signed by the authority, that an entry VM presents to its peers.", &certificateCommand{terminal: terminal}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			fmt.Fprintln(errorOutput, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, output, errorOutput)
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, output, errorOutput io.Writer) int {
	if err == nil {
		return exitOK
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(output, flagsError.Message)
			return exitOK
		}
		fmt.Fprintln(errorOutput, flagsError.Message)
		return exitUsage
	}
	fmt.Fprintln(errorOutput, "oleandervane: "+err.Error())
	var conflict *revision.ConflictError
	var staleStore *revision.StaleStoreError
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &conflict), errors.As(err, &staleStore), errors.Is(err, errRefused):
		return exitRefused
	case errors.Is(err, oleandervane.ErrStoreUnavailable), errors.Is(err, errUnreachable):
		return exitUnreachable
	}
	return exitRefused
}
