package folder_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/operator/folder"
)

const settingsPage = "../../docs/operators/settings.md"

// Guards against a settings page that does not match the settings in the code. UPDATE_SETTINGS=1 writes the page.
func TestSettingsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Settings\n\nEvery key of the folder. Names in angle brackets are chosen by operators. Durations are written as `\"20ms\"`,\n" +
		"`\"1h30m\"` or `\"30d\"`, times with their offset as `2027-01-10T01:00:00Z`. `operator/folder` holds this page in step.\n\n" +
		"| key | value | default | range | meaning | example |\n|---|---|---|---|---|---|\n")
	for _, setting := range folder.Settings() {
		fallback := setting.Default
		if setting.Required {
			fallback = "required"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s | `%s` |\n", setting.Path, setting.Type, fallback, setting.Range, setting.Help, setting.Example)
	}
	if os.Getenv("UPDATE_SETTINGS") != "" {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(page.String()), 0o644))
	}
	content, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(content), page.String())
}
