package folder

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"oleandervane.example/operator/check"
)

const (
	// maxFileBytes is the maximum size of a file. Larger files are hard to review, and the store limits a value to 1 MB.
	maxFileBytes = 1_000_000
	maxFiles     = 20_000
	// maxFolderBytes limits the memory for reading a folder; 1.5 million client blocks take about 40 MB.
	maxFolderBytes = 512_000_000
	extension      = ".toml"
)

// readSources reads the files of a folder in the order of their names. A file that cannot be read gives a finding.
func readSources(path string) (sources []Source, findings []check.Finding, err error) {
	before, err := os.ReadDir(path)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "list folder %q", path)
	}
	total := 0
	for _, entry := range before {
		if finding, skip := checkEntry(entry); skip {
			if finding.Reason != "" {
				findings = append(findings, finding)
			}
			continue
		}
		content, reason := readFile(filepath.Join(path, entry.Name()), entry)
		if reason != "" {
			findings = append(findings, errorFinding(entry.Name(), reason, "write the file again and check again"))
			continue
		}
		total += len(content)
		if len(sources) == maxFiles || total > maxFolderBytes {
			findings = append(findings, errorFinding(entry.Name(),
				fmt.Sprintf("the folder has more than %d files or %d bytes", maxFiles, maxFolderBytes), "join or remove files"))
			break
		}
		sources = append(sources, Source{Name: entry.Name(), Content: content})
	}
	if len(sources) == 0 && !check.HasErrors(findings) {
		findings = append(findings, check.Finding{
			Severity: check.Error, Reason: "the folder has no file that ends in .toml", Fix: "name the folder with the configuration",
		})
	}
	if changed(path, before) {
		findings = append(findings, check.Finding{
			Severity: check.Error, Reason: "the folder changed while it was read", Fix: "wait until copying is done and check again",
		})
	}
	return sources, findings, nil
}

func errorFinding(file, reason, fix string) check.Finding {
	return check.Finding{Severity: check.Error, File: file, Reason: reason, Fix: fix}
}

// checkEntry reports whether to skip an entry of the folder, with a finding unless it is skipped silently.
func checkEntry(entry fs.DirEntry) (finding check.Finding, skip bool) {
	name := entry.Name()
	hidden := strings.HasPrefix(name, ".")
	isTOML := strings.HasSuffix(name, extension)
	switch {
	case hidden && !isTOML:
		return check.Finding{}, true
	case entry.Type()&fs.ModeSymlink != 0:
		return errorFinding(name, "it is a symbolic link, whose target can change without notice", "put the file itself into the folder"), true
	case entry.IsDir():
		return warningFinding(name, "it is a folder and is not read", "move its files up, or remove it"), true
	case !entry.Type().IsRegular():
		return errorFinding(name, "it is not a regular file", "remove it"), true
	case hidden:
		return warningFinding(name, "a hidden file is not read", "remove the leading dot, or the file"), true
	case !isTOML:
		return warningFinding(name, "a file whose name does not end in .toml is not read", "rename or remove it"), true
	}
	return check.Finding{}, false
}

func warningFinding(file, reason, fix string) check.Finding {
	return check.Finding{Severity: check.Warning, File: file, Reason: reason, Fix: fix}
}

// readFile returns the content of a file, or the reason why it was not read. The entry may have been replaced since it
// was listed, so the file is opened without following links (O_NOFOLLOW) and without waiting for the writer of a pipe
// (O_NONBLOCK).
func readFile(path string, entry fs.DirEntry) (content []byte, reason string) {
	listed, err := entry.Info()
	if err != nil {
		return nil, "it cannot be read: " + err.Error()
	}
	if listed.Size() > maxFileBytes {
		return nil, fmt.Sprintf("it has %d bytes, at most %d are allowed", listed.Size(), maxFileBytes)
	}
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, "it cannot be read: " + err.Error()
	}
	defer file.Close()
	content, err = io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, "it cannot be read: " + err.Error()
	}
	after, err := file.Stat()
	if err != nil || !os.SameFile(listed, after) || after.Size() != int64(len(content)) || !after.ModTime().Equal(listed.ModTime()) {
		return nil, "it changed while it was read"
	}
	return content, ""
}

// changed reports whether entries were added, removed or replaced by another type since the folder was listed.
func changed(path string, before []fs.DirEntry) bool {
	after, err := os.ReadDir(path)
	if err != nil || len(after) != len(before) {
		return true
	}
	for index := range after {
		if after[index].Name() != before[index].Name() || after[index].Type() != before[index].Type() {
			return true
		}
	}
	return false
}

// nameWarnings returns warnings about files that are read in an order that operators may not expect, files with the same
// content, and names that differ only in case.
func nameWarnings(sources []Source) []check.Finding {
	var findings []check.Finding
	digests := map[[sha256.Size]byte]string{}
	folded := map[string]string{}
	for index, source := range sources {
		if index > 0 {
			findings = append(findings, orderWarnings(sources[index-1].Name, source.Name)...)
		}
		digest := sha256.Sum256(source.Content)
		if other, found := digests[digest]; found && len(bytes.TrimSpace(source.Content)) > 0 {
			findings = append(findings, warningFinding(source.Name, fmt.Sprintf("it has the same content as %q", other), "remove one of them"))
		}
		digests[digest] = source.Name
		lower := strings.ToLower(source.Name)
		if other, found := folded[lower]; found {
			findings = append(findings, warningFinding(source.Name, fmt.Sprintf("its name differs from %q only in case", other), "rename one of them"))
		}
		folded[lower] = source.Name
	}
	return findings
}

func orderWarnings(earlier, later string) []check.Finding {
	earlierNumber, earlierOK := leadingNumber(earlier)
	laterNumber, laterOK := leadingNumber(later)
	if earlierOK && laterOK && earlierNumber > laterNumber {
		return []check.Finding{warningFinding(later, fmt.Sprintf("it is read after %q, because names are compared byte by byte", earlier),
			"write the numbers with the same count of digits, such as 09-")}
	}
	if strings.ToLower(earlier) > strings.ToLower(later) {
		return []check.Finding{warningFinding(later, fmt.Sprintf("it is read after %q, because capital letters come first", earlier),
			"use lower-case names")}
	}
	return nil
}

func leadingNumber(name string) (uint64, bool) {
	digits := name[:len(name)-len(strings.TrimLeft(name, "0123456789"))]
	value, err := strconv.ParseUint(digits, 10, 64)
	return value, err == nil
}
