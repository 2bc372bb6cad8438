// Program oleandervane is the command-line tool of the operators.
package main

import (
	"os"

	"oleandervane.example/timer"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, timer.System{}))
}
