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

// merge joins files in their order.
type merge struct {
	parsed   []*parsedFile
	index    map[string]int
	held     map[string]heldEntry
	tables   map[string]heldTable
	bad      map[string]bool
	sorted   []placedBlock
	used     map[[2]int]bool
	findings []check.Finding
}

type heldEntry struct {
	entry
	file int
}

type heldTable struct {
	table
	file int
}

func newMerge(parsed []*parsedFile) *merge {
	merge := &merge{
		parsed: parsed, index: map[string]int{}, held: map[string]heldEntry{}, tables: map[string]heldTable{},
		bad: map[string]bool{}, used: map[[2]int]bool{},
	}
	for index, file := range parsed {
		merge.index[file.name] = index
		merge.findings = append(merge.findings, file.findings...)
	}
	return merge
}

func (merge *merge) refuse(file, line int, key, reason, mend string) {
	merge.findings = append(merge.findings, check.Finding{
		Severity: check.Error, File: merge.parsed[file].name, Line: line, Key: key, Reason: reason, Fix: mend,
	})
}

// add joins one file to those before it.
func (merge *merge) add(index int) {
	file := merge.parsed[index]
	for _, name := range file.overrides {
		merge.checkOverride(index, name)
	}
	for _, table := range file.tables {
		if _, found := merge.tables[table.path]; !found {
			merge.tables[table.path] = heldTable{table, index}
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
		merge.refuse(index, 0, "overrides", fmt.Sprintf("file %q does not exist", name), "correct the name or remove it")
	case other >= index:
		merge.refuse(index, 0, "overrides", fmt.Sprintf("file %q is not read before this one", name),
			"rename this file so that it sorts later, or remove the name")
	}
}

func (merge *merge) addEntry(index int, entry entry) {
	if entry.bad {
		merge.bad[entry.path] = true
	}
	held, found := merge.held[entry.path]
	if !found || merge.mayReplace(held.file, index) {
		merge.held[entry.path] = heldEntry{entry, index}
		return
	}
	if reflect.DeepEqual(held.value, entry.value) || entry.bad || held.bad {
		return
	}
	earlier := merge.parsed[held.file].name
	merge.refuse(index, entry.line, entry.path,
		fmt.Sprintf("the value differs from %s in %s:%d", written(held.value), earlier, held.line),
		fmt.Sprintf("keep one of them, or add overrides = [%q] at the top of this file", earlier))
}

// mayReplace says whether a file overrides an earlier one, and notes that it made use of it.
func (merge *merge) mayReplace(earlier, later int) bool {
	if !slices.Contains(merge.parsed[later].overrides, merge.parsed[earlier].name) {
		return false
	}
	merge.used[[2]int{earlier, later}] = true
	return true
}

// written returns a value as it stands in a file, shortened.
func written(value any) string {
	text := fmt.Sprint(value)
	if texts, isList := value.([]string); isList {
		text = "[" + strings.Join(texts, ", ") + "]"
	}
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return text
}

// blocks joins the client blocks of all files, each block as a key of its own, ordered by prefix.
func (merge *merge) blocks() {
	count := 0
	for _, file := range merge.parsed {
		count += len(file.blocks)
	}
	merge.sorted = make([]placedBlock, 0, count)
	for index, file := range merge.parsed {
		for _, block := range file.blocks {
			block.file = int32(index)
			merge.sorted = append(merge.sorted, block)
		}
		file.blocks = nil
	}
	slices.SortStableFunc(merge.sorted, func(a, b placedBlock) int { return check.ComparePrefixes(a.Prefix, b.Prefix) })
	kept := merge.sorted[:0]
	for _, block := range merge.sorted {
		if len(kept) == 0 || kept[len(kept)-1].Prefix != block.Prefix {
			kept = append(kept, block)
			continue
		}
		held := &kept[len(kept)-1]
		if merge.sameBlock(*held, block) {
			*held = block
		}
	}
	merge.sorted = kept
}

// sameBlock judges a block that is given again, and says whether the later one holds.
func (merge *merge) sameBlock(held, later placedBlock) bool {
	place := fmt.Sprintf("%s:%d", merge.parsed[held.file].name, held.line)
	switch {
	case held.file == later.file:
		merge.refuse(int(later.file), int(later.line), check.BlockKey(later.Prefix), "the block is already at "+place, "keep one of them")
	case merge.mayReplace(int(held.file), int(later.file)):
		return true
	case held.Site != later.Site:
		merge.refuse(int(later.file), int(later.line), check.BlockKey(later.Prefix),
			fmt.Sprintf("the block is assigned to site %q here and to %q in %s", later.Site, held.Site, place),
			fmt.Sprintf("keep one of them, or add overrides = [%q] at the top of this file", merge.parsed[held.file].name))
	}
	return false
}

// build makes the configuration, and findings of what it lacks.
func (merge *merge) build() (oleandervane.Configuration, []check.Finding) {
	draft := newDraft()
	for _, table := range merge.tables {
		draft.touch(table.node, table.names)
	}
	for _, held := range merge.held {
		held.setting.apply(draft, held.names, held.value)
	}
	configuration := draft.configuration()
	configuration.ClientBlocks = make([]oleandervane.ClientBlock, len(merge.sorted))
	for index, block := range merge.sorted {
		configuration.ClientBlocks[index] = block.ClientBlock
	}
	return configuration, append(merge.missing(), merge.unusedOverrides()...)
}

// missing finds named things without a required key. Keys with a bad value count as given.
func (merge *merge) missing() []check.Finding {
	var findings []check.Finding
	for path, table := range merge.tables {
		for _, setting := range table.node.required() {
			key := path + "." + setting.name()
			if _, found := merge.held[key]; found {
				continue
			}
			merge.bad[key] = true
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
			if found && other < index && !merge.used[[2]int{other, index}] {
				findings = append(findings, warning(file.name, fmt.Sprintf("overrides names %q, but no key of it is replaced", name), "remove the name"))
			}
		}
	}
	return findings
}

// locate gives a finding the place of its key, or of the named thing that the key belongs to.
func (merge *merge) locate(finding check.Finding) check.Finding {
	if prefix, isBlock := strings.CutPrefix(finding.Key, "client_blocks."); isBlock {
		return merge.locateBlock(finding, prefix)
	}
	for key := finding.Key; key != ""; key = parentKey(key) {
		if held, found := merge.held[key]; found {
			return finding.At(merge.parsed[held.file].name, held.line)
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
	index, found := slices.BinarySearchFunc(merge.sorted, prefix, func(block placedBlock, prefix netip.Prefix) int {
		return check.ComparePrefixes(block.Prefix, prefix)
	})
	if !found {
		return finding
	}
	block := merge.sorted[index]
	return finding.At(merge.parsed[block.file].name, int(block.line))
}
