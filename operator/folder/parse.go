package folder

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// parsedFile is the parsed content of one file.
type parsedFile struct {
	name   string
	digest [sha256.Size]byte
	// incomplete is set if part of the file could not be read, so that names to which other files refer may be missing.
	incomplete bool
	overrides  []string
	entries    []entry
	tables     []table
	blocks     []locatedBlock
	findings   []check.Finding
}

// entry is the value of one key.
type entry struct {
	path    string
	names   []string
	setting *setting
	value   any
	line    int
	invalid bool
}

// table is an entity, such as a service, that a file names.
type table struct {
	path  string
	node  *node
	names []string
	line  int
}

// locatedBlock is a client block with the file and line where it is given.
type locatedBlock struct {
	oleandervane.ClientBlock
	file int32
	line int32
}

type fileParser struct {
	*parsedFile
	parser     unstable.Parser
	content    []byte
	lineOffset int
	line       int
	seenKeys   map[string]int
	seenTables map[string]int
	seenPaths  map[string]bool
}

// parse parses one file. After an error it continues wherever the meaning of the rest is clear.
func parse(source Source) *parsedFile {
	file := &parsedFile{name: source.Name, digest: sha256.Sum256(source.Content)}
	parser := &fileParser{
		parsedFile: file, content: source.Content[:len(source.Content):len(source.Content)], line: 1,
		seenKeys: map[string]int{}, seenTables: map[string]int{}, seenPaths: map[string]bool{},
	}
	if len(bytes.TrimSpace(source.Content)) == 0 {
		parser.incomplete = true
		parser.addError(0, "", "the file is empty and may be half written", "write its content, or remove it")
		return file
	}
	if source.Content[len(source.Content)-1] != '\n' {
		parser.incomplete = true
		parser.addError(bytes.Count(source.Content, []byte("\n"))+1, "", "the file does not end with a newline and may be half written",
			"write it again in full, ending with a newline")
	}
	parser.run()
	return file
}

func (parser *fileParser) addError(line int, key, reason, fix string) {
	parser.findings = append(parser.findings, check.Finding{
		Severity: check.Error, File: parser.name, Line: line, Key: key, Reason: reason, Fix: fix,
	})
}

func (parser *fileParser) run() {
	parser.parser.Reset(parser.content)
	position := position{node: schema}
	for parser.parser.NextExpression() {
		expression := parser.parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			position = parser.header(expression)
		case unstable.KeyValue:
			parser.keyValue(position, expression)
		}
	}
	var parserError *unstable.ParserError
	if err := parser.parser.Error(); errors.As(err, &parserError) {
		parser.incomplete = true
		offset := min(max(0, cap(parser.content)-cap(parserError.Highlight)), len(parser.content))
		parser.addError(parser.lineAt(offset), "", "it is not valid TOML: "+parserError.Message, "correct the line; the rest of the file was not read")
	}
}

// lineAt returns the line of an offset. Offsets mostly ascend, so it counts lines from the previous offset.
func (parser *fileParser) lineAt(offset int) int {
	if offset < parser.lineOffset {
		parser.lineOffset, parser.line = 0, 1
	}
	parser.line += bytes.Count(parser.content[parser.lineOffset:offset], []byte("\n"))
	parser.lineOffset = offset
	return parser.line
}

// position is the place in the schema of a header or a dotted key.
type position struct {
	node  *node
	path  string
	names []string
	// unknown is set if the place does not exist. This was reported with the header, so keys below are not reported.
	unknown bool
}

// step returns the position for the next part of a key, with a reason and a fix if there is no such place.
func (position position) step(part string) (next position, reason, fix string) {
	next = position
	next.path = strings.TrimPrefix(position.path+"."+part, ".")
	if position.node.setting != nil {
		next.unknown = true
		return next, "the key has a value and no keys below it", "remove what follows the dot"
	}
	if child, found := position.node.children[part]; found {
		next.node = child
		return next, "", ""
	}
	if position.node.wildcard == nil {
		next.unknown = true
		return next, "the key is unknown", position.node.suggestion(part)
	}
	next.node = position.node.wildcard
	next.names = append(position.names[:len(position.names):len(position.names)], part)
	if !check.IsValidName(part) {
		next.unknown = true
		return next, fmt.Sprintf("%q is not a name", part), "use lower-case letters, digits, - and _, at most 63, starting with a letter or digit"
	}
	return next, "", ""
}

// walk returns the position and the line of a dotted key. A place that does not exist is reported once.
func (parser *fileParser) walk(position position, keys unstable.Iterator) (position, int) {
	line := 0
	for keys.Next() {
		key := keys.Node()
		line = parser.lineAt(int(key.Raw.Offset))
		next, reason, fix := position.step(string(key.Data))
		if reason != "" && !position.unknown {
			parser.addError(line, next.path, reason, fix)
		}
		next.unknown = next.unknown || position.unknown
		position = next
		parser.recordEntity(position, line)
	}
	return position, line
}

// recordEntity records an entity the first time that a file names it.
func (parser *fileParser) recordEntity(position position, line int) {
	if position.unknown || !position.node.entity || parser.seenPaths[position.path] {
		return
	}
	parser.seenPaths[position.path] = true
	parser.tables = append(parser.tables, table{path: position.path, node: position.node, names: position.names, line: line})
}

func (parser *fileParser) header(expression *unstable.Node) position {
	position, line := parser.walk(position{node: schema}, expression.Key())
	if position.unknown {
		return position
	}
	if expression.Kind == unstable.ArrayTable {
		parser.addError(line, position.path, "a list of tables has no meaning here", "write ["+position.path+"] with single brackets")
		position.unknown = true
		return position
	}
	if position.node.setting != nil {
		parser.addError(line, position.path, "the key takes a value and is not a table", "write "+position.node.setting.example())
		position.unknown = true
		return position
	}
	if first, found := parser.seenTables[position.path]; found {
		parser.addError(line, position.path, fmt.Sprintf("the table is already on line %d", first), "join the two")
	} else {
		parser.seenTables[position.path] = line
	}
	return position
}

func (parser *fileParser) keyValue(from position, expression *unstable.Node) {
	if from.unknown {
		return
	}
	position, line := parser.walk(from, expression.Key())
	if position.unknown {
		return
	}
	value := expression.Value()
	if value.Kind == unstable.InlineTable && position.node.setting == nil {
		for children := value.Children(); children.Next(); {
			parser.keyValue(position, children.Node())
		}
		return
	}
	if position.node.setting == nil {
		parser.addError(line, position.path, "the key is a table and takes no value", "write ["+position.path+"] with its keys below")
		return
	}
	if first, found := parser.seenKeys[position.path]; found {
		parser.addError(line, position.path, fmt.Sprintf("the key is already on line %d", first), "keep one of them")
		return
	}
	parser.seenKeys[position.path] = line
	parser.setting(position, value, line)
}

func (parser *fileParser) setting(position position, value *unstable.Node, line int) {
	setting := position.node.setting
	if setting.kind == kindBlocks {
		parser.clientBlocks(position, value, line)
		return
	}
	decoded, reason, fix := setting.decode(value)
	if reason != "" {
		parser.addError(line, position.path, reason, fix)
	}
	if position.path == "overrides" {
		parser.overrides, _ = decoded.([]string)
		return
	}
	parser.entries = append(parser.entries, entry{
		path: position.path, names: position.names, setting: setting, value: decoded, line: line, invalid: reason != "",
	})
}

func (parser *fileParser) clientBlocks(position position, value *unstable.Node, line int) {
	site := oleandervane.Site(position.names[0])
	if value.Kind != unstable.Array {
		parser.addError(line, position.path, wrongType(kindBlocks, value), "write "+position.node.setting.example())
		return
	}
	for children := value.Children(); children.Next(); {
		child := children.Node()
		if child.Kind != unstable.String {
			parser.addError(line, position.path, "an element is not a string", "write "+position.node.setting.example())
			continue
		}
		blockLine := parser.lineAt(int(child.Raw.Offset))
		prefix, err := netip.ParsePrefix(string(child.Data))
		if err != nil {
			parser.addError(blockLine, position.path, fmt.Sprintf("%q is not a client block", child.Data), "write an address and a length, such as \"10.0.0.0/8\"")
			continue
		}
		parser.blocks = append(parser.blocks, locatedBlock{
			ClientBlock: oleandervane.ClientBlock{Prefix: prefix, Site: site}, line: int32(blockLine),
		})
	}
}
