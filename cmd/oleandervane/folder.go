package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
	"oleandervane.example/operator/status"
)

// baseFile is the hidden file in a folder that stores the revision on which the folder is based.
const baseFile = ".oleandervane-base"

type atOption struct {
	At string `long:"at" description:"check drains as of this time instead of now" value-name:"RFC3339"`
}

func (atOption atOption) time(terminal *terminal) (time.Time, error) {
	if atOption.At == "" {
		return terminal.timerService.Now(), nil
	}
	at, err := time.Parse(time.RFC3339, atOption.At)
	if err != nil {
		return time.Time{}, eris.Wrapf(errUsage, "--at: %v", err)
	}
	return at, nil
}

type checkCommand struct {
	terminal *terminal
	jsonOption
	atOption
	// Store is not read from the environment, so that a check uses the network only when the flag is set.
	Store string `long:"store" description:"base URL of the platform's store: drains that are in force there are not refused for starting too late" value-name:"URL"`
	folderArgument
}

// Execute checks a folder and prints the findings.
func (command *checkCommand) Execute([]string) error {
	now, err := command.time(command.terminal)
	if err != nil {
		return err
	}
	conditions := check.Conditions{Now: now}
	if command.Store != "" {
		_, conditions.InForce, err = inForce(context.Background(), storeOption{command.Store}.open(command.terminal))
		if err != nil {
			return err
		}
	}
	result, err := folder.Read(string(command.Arguments.Folder), conditions)
	if err != nil {
		return err
	}
	findings := result.Findings
	if findings == nil {
		findings = []check.Finding{}
	}
	var text strings.Builder
	for _, finding := range findings {
		text.WriteString(finding.String() + "\n")
	}
	fmt.Fprintf(&text, "%d files, %d services, %d client blocks, %d findings\n", len(result.Files),
		len(result.Configuration.Services), len(result.Configuration.ClientBlocks), len(findings))
	if err := command.terminal.show(command.JSON, findings, text.String()); err != nil {
		return err
	}
	return rejectionError(result)
}

// rejectionError returns an error if the folder has errors, otherwise nil.
func rejectionError(result folder.Result) error {
	if result.HasErrors() {
		return eris.Wrap(errRefused, "the folder has errors")
	}
	return nil
}

// inForce reads the head of the revision in force and its configuration, which is nil before the first revision.
func inForce(ctx context.Context, store oleandervane.Store) (revision.Head, *oleandervane.Configuration, error) {
	head, _, err := revision.ReadHead(ctx, store)
	if err != nil || head.Revision == 0 {
		return head, nil, err
	}
	configuration, err := revision.Load(ctx, store, head, nil)
	return head, &configuration, err
}

type diffCommand struct {
	terminal *terminal
	jsonOption
	storeOption
	atOption
	From uint64 `long:"from" description:"compare with this revision of the history" value-name:"REVISION"`
	folderArgument
}

// Execute prints the changes that publishing a folder would make.
func (command *diffCommand) Execute([]string) error {
	ctx := context.Background()
	store := command.open(command.terminal)
	now, err := command.time(command.terminal)
	if err != nil {
		return err
	}
	_, accepted, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	result, err := folder.Read(string(command.Arguments.Folder), check.Conditions{Now: now, InForce: accepted})
	if err != nil {
		return err
	}
	before := oleandervane.Configuration{}
	if accepted != nil {
		before = *accepted
	}
	if command.From > 0 {
		head, err := revision.ReadRevision(ctx, store, oleandervane.Revision(command.From))
		if err != nil {
			return err
		}
		if before, err = revision.Load(ctx, store, head, nil); err != nil {
			return err
		}
	}
	difference := revision.Diff(before, result.Configuration)
	difference.Findings = result.Findings
	if err := command.terminal.show(command.JSON, difference, difference.String()); err != nil {
		return err
	}
	return rejectionError(result)
}

type publishCommand struct {
	terminal *terminal
	jsonOption
	storeOption
	entryVMOption
	Author  string        `long:"author" description:"who publishes; the user's name by default"`
	Base    *uint64       `long:"base" description:"state that the folder includes all changes up to this revision" value-name:"REVISION"`
	Wait    bool          `long:"wait" description:"wait until the revision is in force on all entry VMs given"`
	WaitFor time.Duration `long:"wait-for" default:"10s" description:"how long --wait waits"`
	folderArgument
}

// publishResult is the JSON output of the publish command.
type publishResult struct {
	Revision    oleandervane.Revision `json:"revision"`
	Unchanged   bool                  `json:"unchanged"`
	Superseded  bool                  `json:"superseded"`
	Changed     []string              `json:"changed"`
	InForceOn   int                   `json:"in_force_on,omitempty"`
	WaitSeconds float64               `json:"wait_seconds,omitempty"`
}

// Execute checks a folder and publishes it as the next revision.
func (command *publishCommand) Execute([]string) error {
	ctx := context.Background()
	if command.Wait && len(command.EntryVMs) == 0 {
		return eris.Wrap(errUsage, "--wait needs --entry-vm")
	}
	store := command.open(command.terminal)
	path := string(command.Arguments.Folder)
	_, accepted, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	result, err := folder.Read(path, check.Conditions{Now: command.terminal.timerService.Now(), InForce: accepted})
	if err != nil {
		return err
	}
	if result.HasErrors() {
		for _, finding := range result.Findings {
			fmt.Fprintln(command.terminal.output, finding)
		}
		return rejectionError(result)
	}
	proposal, err := command.proposal(ctx, store, path, result)
	if err != nil {
		return err
	}
	publication, err := revision.NewPublisher(store, command.terminal.timerService).Publish(ctx, proposal)
	if err != nil {
		return err
	}
	if err := writeBase(path, publication.Head.AsBase()); err != nil {
		return eris.Wrapf(err, "revision %d is accepted, but its number could not be written to the folder", publication.Head.Revision)
	}
	return command.finish(ctx, publication)
}

func (command *publishCommand) proposal(ctx context.Context, store oleandervane.Store, path string, result folder.Result) (revision.Proposal, error) {
	proposal := revision.Proposal{Configuration: result.Configuration, Author: command.Author, Attempt: rand.Text()}
	if proposal.Author == "" {
		if current, err := user.Current(); err == nil {
			proposal.Author = current.Username
		}
	}
	for _, file := range result.Files {
		proposal.Files = append(proposal.Files, revision.File{Name: file.Name, Digest: file.Digest})
	}
	base, err := readBase(path)
	if err != nil {
		return revision.Proposal{}, err
	}
	proposal.Base = base
	if command.Base != nil {
		head, err := revision.ReadRevision(ctx, store, oleandervane.Revision(*command.Base))
		if err != nil {
			return revision.Proposal{}, eris.Wrap(err, "read --base")
		}
		proposal.Base = head.AsBase()
	}
	// A store that was rolled back to an older state may lack the revision that entry VMs have in force.
	for _, address := range command.EntryVMs {
		var response status.Status
		if status.Query(ctx, command.terminal.timerService, address, "/v1/status", &response) == nil {
			proposal.Seen = max(proposal.Seen, response.Revision)
		}
	}
	return proposal, nil
}

func (command *publishCommand) finish(ctx context.Context, publication revision.Publication) error {
	report := publishResult{
		Revision: publication.Head.Revision, Unchanged: publication.Unchanged, Superseded: publication.Superseded, Changed: publication.Changed,
	}
	text := fmt.Sprintf("revision %d is accepted; changed files: %s\n", report.Revision, strings.Join(report.Changed, ", "))
	if report.Unchanged {
		text = fmt.Sprintf("revision %d is in force already; nothing was written\n", report.Revision)
	}
	var waitErr error
	if command.Wait {
		started := command.terminal.timerService.Now()
		report.InForceOn, waitErr = command.wait(ctx, report.Revision)
		report.WaitSeconds = command.terminal.timerService.Now().Sub(started).Seconds()
		text += fmt.Sprintf("in force on %d of %d entry VMs\n", report.InForceOn, len(command.EntryVMs))
	}
	if err := command.terminal.show(command.JSON, report, text); err != nil {
		return err
	}
	return waitErr
}

// pollInterval is the time between rounds of status requests to entry VMs.
const pollInterval = 200 * time.Millisecond

// wait polls the entry VMs until all have the awaited revision or the time limit has passed. It returns the number of
// entry VMs that have the revision.
func (command *publishCommand) wait(ctx context.Context, awaited oleandervane.Revision) (int, error) {
	timerService := command.terminal.timerService
	deadline := timerService.Now().Add(command.WaitFor)
	for {
		ready := 0
		var missing []string
		for _, address := range command.EntryVMs {
			var response status.Status
			err := status.Query(ctx, timerService, address, "/v1/status", &response)
			if err == nil && response.Revision >= awaited {
				ready++
				continue
			}
			missing = append(missing, address)
		}
		if len(missing) == 0 {
			return ready, nil
		}
		if !timerService.Now().Before(deadline) {
			return ready, eris.Wrapf(errUnreachable, "revision %d is accepted, but not seen in force on %s", awaited, strings.Join(missing, ", "))
		}
		due := make(chan struct{})
		timerService.After(pollInterval, func(time.Time) { close(due) })
		<-due
	}
}

func readBase(path string) (revision.Base, error) {
	content, err := os.ReadFile(filepath.Join(path, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return revision.Base{}, nil
	}
	var base revision.Base
	if err == nil {
		err = json.Unmarshal(content, &base)
	}
	return base, eris.Wrapf(err, "read %s; remove it and give --base", baseFile)
}

// writeBase replaces the file atomically, so that a copy of the folder never has a partial file.
func writeBase(path string, base revision.Base) error {
	content, err := json.Marshal(base)
	if err != nil {
		return err
	}
	temporary := filepath.Join(path, baseFile+".new")
	if err := os.WriteFile(temporary, append(content, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(path, baseFile))
}

type historyCommand struct {
	terminal *terminal
	jsonOption
	storeOption
	Collect    bool          `long:"collect" description:"remove chunks that no revision of the history uses"`
	CollectAge time.Duration `long:"collect-age" default:"1h" description:"keep unused chunks that a publisher recorded within this time"`
}

// Execute lists the accepted revisions, or removes unused chunks when --collect is set.
func (command *historyCommand) Execute([]string) error {
	ctx := context.Background()
	store := command.open(command.terminal)
	if command.Collect {
		collected, err := revision.NewPublisher(store, command.terminal.timerService).Collect(ctx, command.CollectAge)
		if err != nil {
			return err
		}
		return command.terminal.show(command.JSON, map[string]int{"collected": collected}, fmt.Sprintf("%d chunks removed\n", collected))
	}
	history, err := revision.ReadHistory(ctx, store)
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, entry := range history.Entries {
		fmt.Fprintf(&text, "%d\t%s\t%s\t%d files changed: %s\n", entry.Revision, entry.PublishedAt.UTC().Format(time.RFC3339),
			entry.Author, entry.ChangedCount, strings.Join(entry.Changed, ", "))
	}
	return command.terminal.show(command.JSON, history.Entries, text.String())
}
