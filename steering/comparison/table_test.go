package comparison

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPrint(t *testing.T) {
	for _, d := range []string{"testdata", "testdata/step", "testdata/recovery"} {
		cases, err := ReadCases(os.DirFS(d))
		assert.NilError(t, err)
		st := []Strategy{Grants}
		if d == "testdata" {
			st = Strategies()
		}
		r, err := RunAll(cases, st)
		assert.NilError(t, err)
		var text strings.Builder
		assert.NilError(t, WriteTable(&text, r))
		t.Log("\n" + text.String())
		for _, x := range r {
			if len(x.Violations) > 0 {
				t.Log(x.Case.Name, x.Violations[0])
			}
		}
	}
}
