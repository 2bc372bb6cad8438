package folder

import (
	"crypto/sha256"
	"runtime"
	"slices"
	"strings"
	"sync"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// Source is the name and content of one file.
type Source struct {
	Name    string
	Content []byte
}

// File identifies a file that was read.
type File struct {
	Name   string
	Digest [sha256.Size]byte
}

// Result is what became of a folder. It is immutable.
type Result struct {
	// Configuration is of use only when the findings do not refuse it. Its revision is 0.
	Configuration oleandervane.Configuration
	Findings      []check.Finding
	// Files are those that were read, in order.
	Files []File
}

// HasErrors says whether a finding is an error.
func (result Result) HasErrors() bool {
	return check.HasErrors(result.Findings)
}

// maxFindings bounds the findings of one folder: the first ones show what is wrong.
const maxFindings = 1_000

// Read reads the folder at a path and compiles it. The error is only for a folder that cannot be listed.
func Read(path string, circumstances check.Conditions) (Result, error) {
	sources, findings, err := list(path)
	if err != nil {
		return Result{}, err
	}
	unread := check.HasErrors(findings)
	result := compile(sources, findings, unread, circumstances)
	return result, nil
}

// Compile makes a configuration of files that are in memory.
func Compile(sources []Source, circumstances check.Conditions) Result {
	sources = slices.Clone(sources)
	slices.SortFunc(sources, func(a, b Source) int { return strings.Compare(a.Name, b.Name) })
	return compile(sources, nil, false, circumstances)
}

func compile(sources []Source, findings []check.Finding, unread bool, circumstances check.Conditions) Result {
	findings = append(findings, surprises(sources)...)
	parsed := parseAll(sources)
	merge := newMerge(parsed)
	for index := range parsed {
		merge.add(index)
	}
	merge.blocks()
	configuration, complete := merge.build()
	findings = append(findings, merge.findings...)
	for _, file := range parsed {
		unread = unread || file.broken
	}
	switch {
	case unread:
		findings = append(findings, notRun("checks across files", "a file could not be read"))
	default:
		findings = append(findings, complete...)
		findings = append(findings, judge(merge, configuration, circumstances, check.HasErrors(findings))...)
	}
	check.Sort(findings)
	findings = bounded(findings)
	return Result{Configuration: configuration, Findings: findings, Files: files(sources, parsed)}
}

// judge checks the structure, and the depth when the structure is sound.
func judge(merge *merge, configuration oleandervane.Configuration, circumstances check.Conditions, refused bool) []check.Finding {
	var findings []check.Finding
	for _, finding := range check.Structure(configuration) {
		if !merge.bad[finding.Key] {
			findings = append(findings, merge.locate(finding))
		}
	}
	if refused || len(findings) > 0 {
		return append(findings, notRun("checks of capacity, caps, objectives and drains", "there are errors"))
	}
	for _, finding := range check.Feasibility(configuration, circumstances) {
		findings = append(findings, merge.locate(finding))
	}
	return findings
}

func notRun(what, why string) check.Finding {
	return check.Finding{Severity: check.Warning, Reason: what + " were not run, because " + why, Fix: "mend the errors and check again"}
}

func bounded(findings []check.Finding) []check.Finding {
	if len(findings) <= maxFindings {
		return findings
	}
	// An error must not be cut off in favour of a warning, or a refused folder would look accepted.
	slices.SortStableFunc(findings, func(a, b check.Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) })
	rest := findings[maxFindings:]
	more := check.Finding{Severity: rest[0].Severity, Reason: "there are more findings than are listed", Fix: "mend these and check again"}
	return append(findings[:maxFindings:maxFindings], more)
}

func files(sources []Source, parsed []*parsedFile) []File {
	var files []File
	for index, source := range sources {
		files = append(files, File{Name: source.Name, Digest: parsed[index].digest})
	}
	return files
}

// parseAll parses files in parallel; the result has the order of the sources.
func parseAll(sources []Source) []*parsedFile {
	parsed := make([]*parsedFile, len(sources))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(sources)) {
		workers.Go(func() {
			for index := range next {
				parsed[index] = parse(sources[index])
			}
		})
	}
	for index := range sources {
		next <- index
	}
	close(next)
	workers.Wait()
	return parsed
}
