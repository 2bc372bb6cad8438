// Package settingsfile reads settings in TOML and reports all faults of a file at once.
package settingsfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// ErrSettings is the error for settings that cannot be used. The error text names the file, the key and the reason.
var ErrSettings = errors.New("settings cannot be used")

// Duration is a time.Duration that is written as text in settings, such as "250ms" or "5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"5s\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

// Faults collects the faults of settings, each as the key and the reason.
type Faults []string

// Check adds a fault of a key unless ok is true.
func (faults *Faults) Check(ok bool, key, reason string) {
	if !ok {
		*faults = append(*faults, key+": "+reason)
	}
}

// Load reads the file at path, and decodes and checks its text like Decode.
func Load[Settings any](path string, settings *Settings, check func(settings Settings, faults *Faults)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrapf(ErrSettings, "reading settings: %v", err)
	}
	return Decode(path, text, settings, check)
}

// Decode decodes text into settings, which must contain the defaults, and checks them; errors use name as the name of
// the file. Keys that do not exist in the settings are faults.
func Decode[Settings any](name string, text []byte, settings *Settings, check func(settings Settings, faults *Faults)) error {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return eris.Wrap(ErrSettings, describe(name, err))
	}
	var faults Faults
	check(*settings, &faults)
	if len(faults) > 0 {
		return eris.Wrap(ErrSettings, name+": "+strings.Join(faults, "; "))
	}
	return nil
}

func describe(name string, err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]string, 0, len(strict.Errors))
		for _, unknown := range strict.Errors {
			line, _ := unknown.Position()
			faults = append(faults, fmt.Sprintf("%s:%d: unknown key %q", name, line, strings.Join(unknown.Key(), ".")))
		}
		return strings.Join(faults, "; ")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return fmt.Sprintf("%s:%d:%d: key %q: %v", name, line, column, strings.Join(decode.Key(), "."), decode)
	}
	return name + ": " + err.Error()
}
