package revision_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
)

// Guards against an effect that is missing or has wrong numbers. The files of each archive are added to the folder
// testdata/association or replace files of it, and "want" has the expected difference.
func TestDiff(t *testing.T) {
	paths, err := filepath.Glob("testdata/diff/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			directory := t.TempDir()
			assert.NilError(t, os.CopyFS(directory, os.DirFS("../folder/testdata/association")))
			want := ""
			for _, file := range archive.Files {
				if file.Name == "want" {
					want = string(file.Data)
					continue
				}
				assert.NilError(t, os.WriteFile(filepath.Join(directory, file.Name), file.Data, 0o600))
			}
			result, err := folder.Read(directory, check.Conditions{})
			assert.NilError(t, err)
			difference := revision.Diff(association(t).WithRevision(7), result.Configuration)
			difference.Findings = result.Findings
			content, err := json.Marshal(difference)
			assert.NilError(t, err)
			assert.Assert(t, json.Valid(content))
			assert.Equal(t, difference.String(), strings.TrimLeft(want, "\n"))
		})
	}
}
