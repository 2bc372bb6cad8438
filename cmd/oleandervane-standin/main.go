// Program oleandervane-standin runs one stand-in of what surrounds the system: a backend server, the platform's
// store or the platform's VM list. It is test support and not for production.
package main

import (
	"github.com/jessevdk/go-flags"

	"oleandervane.example/cmd/internal/program"
)

func main() {
	parser := flags.NewNamedParser("oleandervane-standin", flags.Default)
	parser.ShortDescription = "Runs a stand-in for a backend server, the store or the VM list."
	addCommand(parser, "backend", "Run a backend server", "Serves requests on a few slots; POST /fault changes its faults.", &backendCommand{})
	addCommand(parser, "store", "Run the platform's store", "Keeps values in memory; PUT /v1/faults changes its faults.", &storeCommand{})
	addCommand(parser, "vm-list", "Run the platform's VM list", "PUT /v1/vms sets the list; PUT /v1/faults changes its faults.", &vmListCommand{})
	addCommand(parser, "load", "Send load", "Sends requests at a rate through the library for callers and prints their outcomes.", &loadCommand{})
	program.Parse(parser)
}

func addCommand(parser *flags.Parser, name, short, long string, command any) {
	if _, err := parser.AddCommand(name, short, long, command); err != nil {
		panic(err)
	}
}
