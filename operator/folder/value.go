package folder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

type valueKind uint8

const (
	kindInteger valueKind = iota
	kindFloat
	kindBoolean
	kindString
	kindStrings
	kindDuration
	kindTime
	kindBlocks
)

var kindDescriptions = []string{
	"an integer", "a number", "true or false", "a string", "a list of strings", "a duration", "a time with its offset", "a list of client blocks",
}

// String returns the description of the kind for messages.
func (kind valueKind) String() string {
	return kindDescriptions[kind]
}

var tomlTypeNames = map[unstable.Kind]string{
	unstable.String: "a string", unstable.Bool: "true or false", unstable.Float: "a number with a fraction", unstable.Integer: "an integer",
	unstable.LocalDate: "a date", unstable.LocalTime: "a time of day", unstable.LocalDateTime: "a time without an offset",
	unstable.DateTime: "a time", unstable.Array: "a list", unstable.InlineTable: "a table",
}

func wrongType(kind valueKind, value *unstable.Node) string {
	return fmt.Sprintf("the value is %s and should be %s", tomlTypeNames[value.Kind], kind)
}

// decode returns the value of a setting, or the reason why it is invalid and how to write it.
func (setting *setting) decode(value *unstable.Node) (decoded any, reason, fix string) {
	decoded, reason = decodeValue(setting.kind, value)
	if reason != "" {
		return zeroValues[setting.kind], reason, "write " + setting.example()
	}
	return decoded, "", ""
}

// zeroValues replace values that could not be decoded.
var zeroValues = map[valueKind]any{
	kindInteger: int64(0), kindFloat: 0.0, kindBoolean: false, kindString: "", kindStrings: []string(nil),
	kindDuration: time.Duration(0), kindTime: time.Time{},
}

func decodeValue(kind valueKind, value *unstable.Node) (decoded any, reason string) {
	text := string(value.Data)
	var err error
	switch {
	case kind == kindInteger && value.Kind == unstable.Integer:
		decoded, err = strconv.ParseInt(text, 0, 64)
	case kind == kindFloat && value.Kind == unstable.Integer:
		var integer int64
		integer, err = strconv.ParseInt(text, 0, 64)
		decoded = float64(integer)
	case kind == kindFloat && value.Kind == unstable.Float:
		decoded, err = strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	case kind == kindBoolean && value.Kind == unstable.Bool:
		decoded = text == "true"
	case kind == kindString && value.Kind == unstable.String:
		decoded = text
	case kind == kindStrings && value.Kind == unstable.Array:
		return decodeStrings(value)
	case kind == kindDuration && value.Kind == unstable.String:
		decoded, err = ParseDuration(text)
	case kind == kindTime && value.Kind == unstable.DateTime:
		text = strings.Replace(strings.ToUpper(text), " ", "T", 1)
		decoded, err = time.Parse(time.RFC3339Nano, text)
	default:
		return nil, wrongType(kind, value)
	}
	if err != nil {
		return nil, fmt.Sprintf("%q is not %s", text, kind)
	}
	if at, isTime := decoded.(time.Time); isTime {
		decoded = at.UTC()
	}
	return decoded, ""
}

func decodeStrings(value *unstable.Node) (decoded any, reason string) {
	texts := []string{}
	for children := value.Children(); children.Next(); {
		child := children.Node()
		if child.Kind != unstable.String {
			return nil, fmt.Sprintf("an element is %s and should be a string", tomlTypeNames[child.Kind])
		}
		texts = append(texts, string(child.Data))
	}
	return texts, ""
}

// ParseDuration parses a duration such as "20ms" or "1h30m"; "30d" means 30 days of 24 hours.
func ParseDuration(text string) (time.Duration, error) {
	days, found := strings.CutSuffix(text, "d")
	if !found {
		return time.ParseDuration(text)
	}
	count, err := strconv.ParseUint(days, 10, 16)
	return time.Duration(count) * 24 * time.Hour, err
}
