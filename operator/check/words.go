package check

import (
	"fmt"
	"strings"
)

// maxQuoted is the maximum number of names that a finding lists.
const maxQuoted = 8

func fields(text string) []string {
	return strings.Fields(text)
}

// quoted returns the quoted names, separated by commas, with the number of those left out.
func quoted[Name ~string](names []Name) string {
	if len(names) == 0 {
		return "those of the configuration (there are none yet)"
	}
	var words []string
	for index, name := range names {
		if index == maxQuoted {
			words = append(words, fmt.Sprintf("%d more", len(names)-maxQuoted))
			break
		}
		words = append(words, fmt.Sprintf("%q", string(name)))
	}
	return strings.Join(words, ", ")
}
