package folder_test

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
)

// conditions has the time at which drains are checked.
var conditions = check.Conditions{Now: time.Date(2027, 1, 10, 0, 0, 0, 0, time.UTC)}

func association(tb testing.TB) map[string]string {
	tb.Helper()
	paths, err := filepath.Glob("testdata/association/*.toml")
	assert.NilError(tb, err)
	files := map[string]string{}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		assert.NilError(tb, err)
		files[filepath.Base(path)] = string(content)
	}
	return files
}

func sources(files map[string]string) []folder.Source {
	var list []folder.Source
	for _, name := range slices.Sorted(maps.Keys(files)) {
		list = append(list, folder.Source{Name: name, Content: []byte(files[name])})
	}
	return list
}

func lines(result folder.Result) string {
	var text strings.Builder
	for _, finding := range result.Findings {
		text.WriteString(finding.String() + "\n")
	}
	return text.String()
}

// Guards against a finding that is lost, has the wrong place, or is reported without the others. The files of each archive
// are added to the folder testdata/association or replace files of it ("-- remove --" leaves files out), and "want" has
// all findings.
func TestFindings(t *testing.T) {
	paths, err := filepath.Glob("testdata/findings/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			files := association(t)
			want := ""
			for _, file := range archive.Files {
				switch file.Name {
				case "want":
					want = string(file.Data)
				case "remove":
					for _, name := range strings.Fields(string(file.Data)) {
						delete(files, name)
					}
				default:
					// An archive cannot contain a file without a final newline; "<cut>" marks where such a file ends.
					files[file.Name], _, _ = strings.Cut(string(file.Data), "<cut>")
				}
			}
			assert.Equal(t, lines(folder.Compile(sources(files), conditions)), want)
		})
	}
}

// Guards against a valid folder that is rejected or read with other values.
func TestAssociation(t *testing.T) {
	result, err := folder.Read("testdata/association", conditions)
	assert.NilError(t, err)
	assert.Equal(t, lines(result), "")
	configuration := result.Configuration
	assert.Equal(t, len(configuration.Regions), 3)
	assert.Equal(t, configuration.LookupLifetime, 30*time.Second)
	ledger := configuration.Services["ledger"]
	assert.Equal(t, ledger.ShiftWindow, 10*time.Second)
	assert.Equal(t, ledger.Kinds["filing"].Weight, 100)
	assert.Equal(t, ledger.Objectives["filing"].Window, 720*time.Hour)
	assert.Equal(t, len(configuration.Links), 6)
	assert.Equal(t, len(configuration.ClientBlocks), 6)
	assert.Equal(t, string(configuration.Regions["musanze"].Sites["musanze-1"]), "musanze-a")
	assert.Equal(t, len(result.Files), 5)
}

// Guards against reading an entry that is not a regular file of at most 1 MB, such as a link, a folder or a pipe, and
// against accepting an empty folder.
func TestUnsuitableFiles(t *testing.T) {
	directory := t.TempDir()
	_, err := folder.Read(filepath.Join(directory, "missing"), conditions)
	assert.ErrorContains(t, err, "list folder")
	result, err := folder.Read(directory, conditions)
	assert.NilError(t, err)
	assert.Equal(t, lines(result), "warning: checks across files were not run, because a file could not be read; fix the errors and check again\n"+
		"error: the folder has no file that ends in .toml; name the folder with the configuration\n")
	for name, content := range association(t) {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600))
	}
	assert.NilError(t, os.Symlink("10-regions.toml", filepath.Join(directory, "60-link.toml")))
	assert.NilError(t, os.Mkdir(filepath.Join(directory, "61-folder.toml"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "62-large.toml"), make([]byte, 1_000_001), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "63-note.txt"), nil, 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(directory, ".64-hidden.toml"), nil, 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(directory, ".oleandervane-base"), nil, 0o600))
	result, err = folder.Read(directory, conditions)
	assert.NilError(t, err)
	assert.Check(t, cmp.Equal(lines(result), strings.TrimLeft(`
warning: checks across files were not run, because a file could not be read; fix the errors and check again
.64-hidden.toml: warning: a hidden file is not read; remove the leading dot, or the file
60-link.toml: error: it is a symbolic link, whose target can change without notice; put the file itself into the folder
61-folder.toml: warning: it is a folder and is not read; move its files up, or remove it
62-large.toml: error: it has 1000001 bytes, at most 1000000 are allowed; write the file again and check again
63-note.txt: warning: a file whose name does not end in .toml is not read; rename or remove it
`, "\n")))
}

// Guards against input that causes a panic, results that vary, or a finding without reason or fix.
func FuzzCompile(f *testing.F) {
	for _, content := range association(f) {
		f.Add([]byte(content), []byte("lookup_lifetime = \"1s\"\n"))
	}
	f.Add([]byte("[client_blocks]\na = [\"::/0\"]\n"), []byte("overrides = [\"a.toml\"]\n[[x]]\na = {b = 1}\n"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		files := []folder.Source{{Name: "a.toml", Content: first}, {Name: "b.toml", Content: second}}
		result := folder.Compile(files, conditions)
		again := folder.Compile(files, conditions)
		assert.Equal(t, lines(result), lines(again))
		for _, finding := range result.Findings {
			assert.Assert(t, finding.Reason != "" && finding.Fix != "", finding.String())
		}
	})
}
