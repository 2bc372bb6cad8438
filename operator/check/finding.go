// Package check validates a configuration: Structure finds errors that make it unusable for entry VMs, Feasibility finds
// settings that cannot be met, such as a drain that starts too late for the shift cap.
package check

import (
	"fmt"
	"slices"
	"strings"
)

// Severity is the severity of a finding. A configuration with an Error is rejected; a Warning does not prevent its use.
type Severity string

// The severities of findings.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is an error or a warning about a configuration. It is immutable.
type Finding struct {
	Severity Severity `json:"severity"`
	// File and Line are empty when the finding is not about a single place in a folder.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Key is the dotted path of the setting, such as "services.ledger.slots".
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
	// Fix describes how to correct the configuration.
	Fix string `json:"mend,omitempty"`
}

// At returns a copy at the given place.
func (finding Finding) At(file string, line int) Finding {
	finding.File = file
	finding.Line = line
	return finding
}

// String returns the finding on one line: place, severity, key, reason and fix.
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
	if finding.Fix != "" {
		text.WriteString("; " + finding.Fix)
	}
	return text.String()
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(finding Finding) bool { return finding.Severity == Error })
}

// Sort orders findings by place, then key, then reason, so that the same folder always gives the same output.
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

func (findings *findings) addError(key, reason, fix string) {
	*findings = append(*findings, Finding{Severity: Error, Key: key, Reason: reason, Fix: fix})
}

func (findings *findings) addWarning(key, reason, fix string) {
	*findings = append(*findings, Finding{Severity: Warning, Key: key, Reason: reason, Fix: fix})
}
