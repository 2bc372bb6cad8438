// Program oleandervane-standin runs a stand-in for one component outside the system: a backend server, the platform's
// store, the platform's VM list or callers. It is for tests only, not for production.
package main

import (
	"github.com/jessevdk/go-flags"

	"oleandervane.example/cmd/internal/program"
)

func main() {
	parser := flags.NewNamedParser("oleandervane-standin", flags.Default)
	parser.ShortDescription = "Runs a stand-in for a backend server, the store, the VM list or callers."
	addCommand(parser, "backend", "Run a backend server", "Serves requests with a limited number of slots; POST /fault changes its faults.", &backendCommand{})
	addCommand(parser, "store", "Run the platform's store", "Stores values in memory; PUT /v1/faults changes its faults.", &storeCommand{})
	addCommand(parser, "vm-list", "Run the platform's VM list", "PUT /v1/vms sets the list; PUT /v1/faults changes its faults.", &vmListCommand{})
	addCommand(parser, "load", "Send load", "Sends requests at a given rate through the library for callers and prints their outcomes.", &loadCommand{})
	program.Parse(parser)
}

func addCommand(parser *flags.Parser, name, short, long string, command any) {
	if _, err := parser.AddCommand(name, short, long, command); err != nil {
		panic(err)
	}
}
