package folder

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// merge merges parsed files in their order.
type merge struct {
	parsed        []*parsedFile
	index         map[string]int
	entries       map[string]mergedEntry
	tables        map[string]mergedTable
	invalid       map[string]bool
	sortedBlocks  []locatedBlock
	usedOverrides map[[2]int]bool
	findings      []check.Finding
}

type mergedEntry struct {
	entry
	file int
}

type mergedTable struct {
	table
	file int
}

func newMerge(parsed []*parsedFile) *merge {
	merge := &merge{
		parsed: parsed, index: map[string]int{}, entries: map[string]mergedEntry{}, tables: map[string]mergedTable{},
		invalid: map[string]bool{}, usedOverrides: map[[2]int]bool{},
	}
	for index, file := range parsed {
		merge.index[file.name] = index
		merge.findings = append(merge.findings, file.findings...)
	}
	return merge
}

func (merge *merge) addError(file, line int, key, reason, fix string) {
	merge.findings = append(merge.findings, check.Finding{
		Severity: check.Error, File: merge.parsed[file].name, Line: line, Key: key, Reason: reason, Fix: fix,
	})
}

// add merges one file with the files before it.
func (merge *merge) add(index int) {
	file := merge.parsed[index]
	for _, name := range file.overrides {
		merge.checkOverride(index, name)
	}
	for _, table := range file.tables {
		if _, found := merge.tables[table.path]; !found {
			merge.tables[table.path] = mergedTable{table, index}
		}
	}
	for _, entry := range file.entries {
		merge.addEntry(index, entry)
	}
}

func (merge *merge) checkOverride(index int, name string) {
	other, found := merge.index[name]
	switch {
	case !found:
		merge.addError(index, 0, "overrides", fmt.Sprintf("file %q does not exist", name), "correct the name or remove it")
	case other >= index:
		merge.addError(index, 0, "overrides", fmt.Sprintf("file %q is not read before this one", name),
			"rename this file so that it sorts later, or remove the name")
	}
}

func (merge *merge) addEntry(index int, entry entry) {
	if entry.invalid {
		merge.invalid[entry.path] = true
	}
	merged, found := merge.entries[entry.path]
	if !found || merge.mayReplace(merged.file, index) {
		merge.entries[entry.path] = mergedEntry{entry, index}
		return
	}
	if reflect.DeepEqual(merged.value, entry.value) || entry.invalid || merged.invalid {
		return
	}
	earlier := merge.parsed[merged.file].name
	merge.addError(index, entry.line, entry.path,
		fmt.Sprintf("the value differs from %s in %s:%d", formatValue(merged.value), earlier, merged.line),
		fmt.Sprintf("keep one of them, or add overrides = [%q] at the top of this file", earlier))
}

// mayReplace reports whether a file overrides an earlier file, and records that this override was used.
func (merge *merge) mayReplace(earlier, later int) bool {
	if !slices.Contains(merge.parsed[later].overrides, merge.parsed[earlier].name) {
		return false
	}
	merge.usedOverrides[[2]int{earlier, later}] = true
	return true
}

// formatValue returns a value as text of at most 60 bytes, plus "..." if it is longer.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if texts, isList := value.([]string); isList {
		text = "[" + strings.Join(texts, ", ") + "]"
	}
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return text
}

// blocks merges the client blocks of all files, ordered by prefix. Each block counts as a key.
func (merge *merge) blocks() {
	count := 0
	for _, file := range merge.parsed {
		count += len(file.blocks)
	}
	merge.sortedBlocks = make([]locatedBlock, 0, count)
	for index, file := range merge.parsed {
		for _, block := range file.blocks {
			block.file = int32(index)
			merge.sortedBlocks = append(merge.sortedBlocks, block)
		}
		file.blocks = nil
	}
	slices.SortStableFunc(merge.sortedBlocks, func(a, b locatedBlock) int { return check.ComparePrefixes(a.Prefix, b.Prefix) })
	unique := merge.sortedBlocks[:0]
	for _, block := range merge.sortedBlocks {
		if len(unique) == 0 || unique[len(unique)-1].Prefix != block.Prefix {
			unique = append(unique, block)
			continue
		}
		merged := &unique[len(unique)-1]
		if merge.resolveDuplicate(*merged, block) {
			*merged = block
		}
	}
	merge.sortedBlocks = unique
}

// resolveDuplicate checks a block that is given twice, and reports whether the later block replaces the earlier one.
func (merge *merge) resolveDuplicate(merged, later locatedBlock) bool {
	place := fmt.Sprintf("%s:%d", merge.parsed[merged.file].name, merged.line)
	switch {
	case merged.file == later.file:
		merge.addError(int(later.file), int(later.line), check.BlockKey(later.Prefix), "the block is already at "+place, "keep one of them")
	case merge.mayReplace(int(merged.file), int(later.file)):
		return true
	case merged.Site != later.Site:
		merge.addError(int(later.file), int(later.line), check.BlockKey(later.Prefix),
			fmt.Sprintf("the block is assigned to site %q here and to %q in %s", later.Site, merged.Site, place),
			fmt.Sprintf("keep one of them, or add overrides = [%q] at the top of this file", merge.parsed[merged.file].name))
	}
	return false
}

// build returns the configuration, and findings about missing keys and unused overrides.
func (merge *merge) build() (oleandervane.Configuration, []check.Finding) {
	draft := newDraft()
	for _, table := range merge.tables {
		draft.createEntity(table.node, table.names)
	}
	for _, merged := range merge.entries {
		merged.setting.apply(draft, merged.names, merged.value)
	}
	configuration := draft.configuration()
	configuration.ClientBlocks = make([]oleandervane.ClientBlock, len(merge.sortedBlocks))
	for index, block := range merge.sortedBlocks {
		configuration.ClientBlocks[index] = block.ClientBlock
	}
	return configuration, append(merge.missingKeys(), merge.unusedOverrides()...)
}

// missingKeys returns findings about entities without a required key. A key with an invalid value counts as present.
func (merge *merge) missingKeys() []check.Finding {
	var findings []check.Finding
	for path, table := range merge.tables {
		for _, setting := range table.node.required() {
			key := path + "." + setting.name()
			if _, found := merge.entries[key]; found {
				continue
			}
			merge.invalid[key] = true
			findings = append(findings, check.Finding{
				Severity: check.Error, File: merge.parsed[table.file].name, Line: table.line, Key: key,
				Reason: "the key is missing", Fix: "add " + setting.example(),
			})
		}
	}
	return findings
}

func (merge *merge) unusedOverrides() []check.Finding {
	var findings []check.Finding
	for index, file := range merge.parsed {
		for _, name := range file.overrides {
			other, found := merge.index[name]
			if found && other < index && !merge.usedOverrides[[2]int{other, index}] {
				findings = append(findings, warningFinding(file.name, fmt.Sprintf("overrides names %q, but no key of it is replaced", name), "remove the name"))
			}
		}
	}
	return findings
}

// locate adds to a finding the place of its key, or of the entity that the key belongs to.
func (merge *merge) locate(finding check.Finding) check.Finding {
	if prefix, isBlock := strings.CutPrefix(finding.Key, "client_blocks."); isBlock {
		return merge.locateBlock(finding, prefix)
	}
	for key := finding.Key; key != ""; key = parentKey(key) {
		if merged, found := merge.entries[key]; found {
			return finding.At(merge.parsed[merged.file].name, merged.line)
		}
		if table, found := merge.tables[key]; found {
			return finding.At(merge.parsed[table.file].name, table.line)
		}
	}
	return finding
}

func parentKey(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '.'))]
}

func (merge *merge) locateBlock(finding check.Finding, text string) check.Finding {
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return finding
	}
	index, found := slices.BinarySearchFunc(merge.sortedBlocks, prefix, func(block locatedBlock, prefix netip.Prefix) int {
		return check.ComparePrefixes(block.Prefix, prefix)
	})
	if !found {
		return finding
	}
	block := merge.sortedBlocks[index]
	return finding.At(merge.parsed[block.file].name, int(block.line))
}
