// Package check judges a configuration: Structure finds what no entry VM could work with, Depth finds what
// cannot be kept, such as a drain that the shift cap makes too late.
package check

import (
	"fmt"
	"slices"
	"strings"
)

// Severity says whether a finding refuses a configuration.
type Severity string

// The severities of findings.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is something wrong with a configuration. It is immutable.
type Finding struct {
	Severity Severity `json:"severity"`
	// File and Line are empty when the finding is not about one place of a folder.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Key is the dotted path of the setting, such as "services.ledger.slots".
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
	// Mend says how to put it right.
	Mend string `json:"mend,omitempty"`
}

// At returns a copy at the given place.
func (finding Finding) At(file string, line int) Finding {
	finding.File = file
	finding.Line = line
	return finding
}

// String returns the finding on one line: place, severity, key, reason and how to mend it.
func (finding Finding) String() string {
	var text strings.Builder
	if finding.File != "" {
		text.WriteString(finding.File)
		if finding.Line > 0 {
			fmt.Fprintf(&text, ":%d", finding.Line)
		}
		text.WriteString(": ")
	}
	text.WriteString(string(finding.Severity) + ": ")
	if finding.Key != "" {
		text.WriteString(finding.Key + ": ")
	}
	text.WriteString(finding.Reason)
	if finding.Mend != "" {
		text.WriteString("; " + finding.Mend)
	}
	return text.String()
}

// Refuses says whether any finding is an error.
func Refuses(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(finding Finding) bool { return finding.Severity == Error })
}

// Sort orders findings by place, then key, then text, so that the same folder always gives the same output.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if order := strings.Compare(a.Key, b.Key); order != 0 {
			return order
		}
		return strings.Compare(a.Reason, b.Reason)
	})
}

type findings []Finding

func (findings *findings) refuse(key, reason, mend string) {
	*findings = append(*findings, Finding{Severity: Error, Key: key, Reason: reason, Mend: mend})
}

func (findings *findings) warn(key, reason, mend string) {
	*findings = append(*findings, Finding{Severity: Warning, Key: key, Reason: reason, Mend: mend})
}
