package entryvm_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"oleandervane.example/entryvm"
	"oleandervane.example/entryvm/settingsfile"
)

// Guards against a process that starts with settings that it silently ignores or misreads.
func TestParseSettings(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "settings", "cases.txtar"))
	assert.NilError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			firstLine, _, _ := strings.Cut(string(file.Data), "\n")
			expected := strings.TrimPrefix(firstLine, "# ")
			_, err := entryvm.ParseSettings(file.Name, file.Data)
			if expected == "ok" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, settingsfile.ErrSettings)
			assert.ErrorContains(t, err, expected)
		})
	}
}
