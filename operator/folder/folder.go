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

// File is the name and digest of a file that was read.
type File struct {
	Name   string
	Digest [sha256.Size]byte
}

// Result is the configuration and the findings of a folder. It is immutable.
type Result struct {
	// Configuration is valid only if HasErrors returns false. Its revision is 0.
	Configuration oleandervane.Configuration
	Findings      []check.Finding
	// Files are the files that were read, in order.
	Files []File
}

// HasErrors reports whether any finding is an error.
func (result Result) HasErrors() bool {
	return check.HasErrors(result.Findings)
}

// maxFindings is the maximum number of findings reported for one folder; the first ones show the cause.
const maxFindings = 1_000

// Read reads and compiles the folder at a path. It returns an error only if the folder cannot be listed.
func Read(path string, conditions check.Conditions) (Result, error) {
	sources, findings, err := readSources(path)
	if err != nil {
		return Result{}, err
	}
	incomplete := check.HasErrors(findings)
	result := compile(sources, findings, incomplete, conditions)
	return result, nil
}

// Compile compiles files in memory into a configuration.
func Compile(sources []Source, conditions check.Conditions) Result {
	sources = slices.Clone(sources)
	slices.SortFunc(sources, func(a, b Source) int { return strings.Compare(a.Name, b.Name) })
	return compile(sources, nil, false, conditions)
}

func compile(sources []Source, findings []check.Finding, incomplete bool, conditions check.Conditions) Result {
	findings = append(findings, nameWarnings(sources)...)
	parsed := parseAll(sources)
	merge := newMerge(parsed)
	for index := range parsed {
		merge.add(index)
	}
	merge.blocks()
	configuration, complete := merge.build()
	findings = append(findings, merge.findings...)
	for _, file := range parsed {
		incomplete = incomplete || file.incomplete
	}
	switch {
	case incomplete:
		findings = append(findings, checksNotRun("checks across files", "a file could not be read"))
	default:
		findings = append(findings, complete...)
		findings = append(findings, checkConfiguration(merge, configuration, conditions, check.HasErrors(findings))...)
	}
	check.Sort(findings)
	findings = limitFindings(findings)
	return Result{Configuration: configuration, Findings: findings, Files: files(sources, parsed)}
}

// checkConfiguration runs check.Structure and, if there are no errors, check.Feasibility.
func checkConfiguration(merge *merge, configuration oleandervane.Configuration, conditions check.Conditions, rejected bool) []check.Finding {
	var findings []check.Finding
	for _, finding := range check.Structure(configuration) {
		if !merge.invalid[finding.Key] {
			findings = append(findings, merge.locate(finding))
		}
	}
	if rejected || len(findings) > 0 {
		return append(findings, checksNotRun("checks of capacity, caps, objectives and drains", "there are errors"))
	}
	for _, finding := range check.Feasibility(configuration, conditions) {
		findings = append(findings, merge.locate(finding))
	}
	return findings
}

func checksNotRun(what, why string) check.Finding {
	return check.Finding{Severity: check.Warning, Reason: what + " were not run, because " + why, Fix: "fix the errors and check again"}
}

func limitFindings(findings []check.Finding) []check.Finding {
	if len(findings) <= maxFindings {
		return findings
	}
	// Errors come first: if only warnings were left after the cut, a folder with errors would look accepted.
	slices.SortStableFunc(findings, func(a, b check.Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) })
	rest := findings[maxFindings:]
	more := check.Finding{Severity: rest[0].Severity, Reason: "there are more findings than are listed", Fix: "fix these and check again"}
	return append(findings[:maxFindings:maxFindings], more)
}

func files(sources []Source, parsed []*parsedFile) []File {
	var files []File
	for index, source := range sources {
		files = append(files, File{Name: source.Name, Digest: parsed[index].digest})
	}
	return files
}

// parseAll parses files in parallel and returns them in the order of the sources.
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
