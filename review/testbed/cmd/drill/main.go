// Program drill plays a case of the review and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sort"

	"oleandervane.example/testbed/installation"
)

// play plays a case, with the disruption or without, and returns what broke the rule.
type play func(installation *installation.Installation, disrupted bool) (broken []string, err error)

var plays = map[string]play{
	"leaving":     playLeaving,
	"release":     playRelease,
	"evacuation":  playEvacuation,
	"pipelined":   playPipelined,
	"lateuploads": playLateUploads,
	"truncated":   playTruncated,
	"uploads":     playUploads,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		var names []string
		for name := range plays {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: drill CASE RECORD, with CASE one of %v\n", names)
		return exitNotRun
	}
	record, err := installation.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	started, err := installation.New(record)
	if err != nil {
		record.Say("could not run: %v", err)
		return exitNotRun
	}
	defer started.Close()
	broken, err := plays[os.Args[1]](started, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Say("could not run: %v", err)
		return exitNotRun
	}
	for _, line := range broken {
		record.Say("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.Say("the rule held")
	return exitHeld
}
