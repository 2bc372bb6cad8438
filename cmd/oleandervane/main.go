// Command oleandervane is the operators' command line.
package main

import (
	"os"

	"oleandervane.example/timer"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, timer.System{}))
}
