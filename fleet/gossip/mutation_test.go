package gossip_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// mutation removes a check from source files and names the test that has to fail as a result.
type mutation struct {
	name                           string
	files, originals, replacements []string
	packageName, run, extra        string
}

func readMutations(t *testing.T) []mutation {
	content, err := os.ReadFile("testdata/mutations.txt")
	assert.NilError(t, err)
	var result []mutation
	for line := range strings.Lines(string(content)) {
		key, value, found := strings.Cut(strings.TrimRight(line, "\n"), ":")
		if !found || strings.HasPrefix(line, "#") {
			continue
		}
		value = strings.TrimSpace(value)
		if key == "name" {
			result = append(result, mutation{name: value})
		}
		last := &result[len(result)-1]
		switch key {
		case "file":
			last.files = append(last.files, value)
		case "old":
			last.originals = append(last.originals, value)
		case "new":
			last.replacements = append(last.replacements, value)
		case "test":
			last.packageName, last.run, _ = strings.Cut(value, " ")
			last.run, last.extra, _ = strings.Cut(last.run, " ")
		}
	}
	return result
}

// overlay writes the mutated files and a build overlay that replaces the real ones with them.
func (mutation mutation) overlay(t *testing.T) string {
	folder := t.TempDir()
	replace := map[string]string{}
	for index, file := range mutation.files {
		path, err := filepath.Abs(filepath.Join("..", file))
		assert.NilError(t, err)
		source := path
		if earlier, found := replace[path]; found {
			source = earlier
		}
		content, err := os.ReadFile(source)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(content), mutation.originals[index]), "%s lacks %q", file, mutation.originals[index])
		replace[path] = filepath.Join(folder, strings.ReplaceAll(file, "/", "_"))
		mutated := strings.Replace(string(content), mutation.originals[index], mutation.replacements[index], 1)
		assert.NilError(t, os.WriteFile(replace[path], []byte(mutated), 0o600))
	}
	content, err := json.Marshal(map[string]any{"Replace": replace})
	assert.NilError(t, err)
	path := filepath.Join(folder, "overlay.json")
	assert.NilError(t, os.WriteFile(path, content, 0o600))
	return path
}

// Guards against checks in the code that no test covers. Each mutation needs a build and a test run, so they run only
// with MUTATIONS=1; without it, the test still checks that each mutation applies to the source.
func TestMutations(t *testing.T) {
	for _, mutation := range readMutations(t) {
		t.Run(strings.ReplaceAll(mutation.name, " ", "_"), func(t *testing.T) {
			overlay := mutation.overlay(t)
			if os.Getenv("MUTATIONS") == "" {
				return
			}
			command := exec.Command("go", "test", "-count=1", "-vet=off", "-failfast", "-timeout", "60s", "-overlay", overlay, "-run", mutation.run, mutation.packageName)
			command.Dir = ".."
			command.Env = append(os.Environ(), strings.Fields(mutation.extra)...)
			output, err := command.CombinedOutput()
			if err == nil {
				t.Fatalf("no test that matches %s fails without this check", mutation.run)
			}
			assert.Assert(t, strings.Contains(string(output), "--- FAIL") || strings.Contains(string(output), "panic:"), "%s", output)
		})
	}
}
