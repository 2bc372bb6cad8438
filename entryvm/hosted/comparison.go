package hosted

import (
	"strings"

	"oleandervane.example"
	"oleandervane.example/fleet/roster"
)

// comparison counts how many entries of a list were known before.
type comparison struct {
	// found are known keys that the list has, unchanged those with the version that was known.
	found, unchanged int
	// knownVMs and unchangedVMs count entries of other entry VMs.
	knownVMs, unchangedVMs int
}

// compare compares a list with the known versions. ownKey is the key of this VM.
func compare(versions map[string]uint64, entries []oleandervane.StoreEntry, ownKey string) comparison {
	var comparison comparison
	for key := range versions {
		if isOtherVM(key, ownKey) {
			comparison.knownVMs++
		}
	}
	for _, entry := range entries {
		version, found := versions[entry.Key]
		if !found {
			continue
		}
		comparison.found++
		if version != entry.Version {
			continue
		}
		comparison.unchanged++
		if isOtherVM(entry.Key, ownKey) {
			comparison.unchangedVMs++
		}
	}
	return comparison
}

func isOtherVM(key, ownKey string) bool {
	return strings.HasPrefix(key, roster.KeyPrefix) && key != ownKey
}
