package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseFunc plays a case and reports whether the rule was broken. An error means that the case could not run.
type caseFunc func(stage *stage) (broken bool, err error)

// script is a case with the site whose settings its machines have.
type script struct {
	play caseFunc
	site site
}

var scripts = map[string]script{
	"heads":    {playHeads, jubilar},
	"leaving":  {playLeaving, igihe},
	"spelling": {playSpelling, igihe},
	"reload":   {playReload, igihe},
	"stray":    {playStray, igihe},
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2]))
}

func run(script script, folder string) int {
	stage, err := newStage(script.site, filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return statusNotRun
	}
	defer stage.close()
	// The time limit of run.sh ends the case with a signal.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		stage.record("not run: the case took too long")
		stage.close()
		os.Exit(statusNotRun)
	}()
	broken, err := script.play(stage)
	switch {
	case err != nil:
		stage.record("not run: %v", err)
		return statusNotRun
	case broken:
		stage.record("result: the rule was broken")
		return statusBroken
	}
	stage.record("result: the rule held")
	return statusHeld
}
