package folder_test

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/figure"
	"oleandervane.example/operator/folder"
)

const (
	largeFiles  = 10_000
	largeBlocks = 1_500_000
	// readSeconds is the longest time that an operator should wait for a check. A configuration that is then published
	// is in force within another 4 s.
	readSeconds = 10
	// readBytes is the maximum memory for a check on an operator's machine.
	readBytes = 2 << 30
)

// writeLarge writes a folder of 10,000 files: 69 sites in 11 regions, a few services, and 1.5 million client blocks.
func writeLarge(tb testing.TB, path string) {
	tb.Helper()
	var regions, links strings.Builder
	site := 0
	for region := range 11 {
		fmt.Fprintf(&regions, "[regions.r%d]\nfailure_domains = [\"r%d-a\", \"r%d-b\"]\n", region, region, region)
		for ; site < 69*(region+1)/11; site++ {
			fmt.Fprintf(&regions, "sites.s%d = \"r%d-a\"\n", site, region)
		}
		for other := range 11 {
			if other != region {
				fmt.Fprintf(&links, "[links.r%d.r%d]\ndelay = \"12ms\"\nbytes_per_second = 500000000\n", region, other)
			}
		}
	}
	services, err := os.ReadFile("testdata/association/20-services.toml")
	assert.NilError(tb, err)
	write(tb, path, "00000-regions.toml", regions.String()+links.String())
	write(tb, path, "00001-services.toml", string(services))
	perFile := (largeBlocks + largeFiles - 3) / (largeFiles - 2)
	for file := 2; file < largeFiles; file++ {
		var text strings.Builder
		fmt.Fprintf(&text, "[client_blocks]\ns%d = [\n", file%69)
		for index := (file - 2) * perFile; index < min(largeBlocks, (file-1)*perFile); index++ {
			fmt.Fprintf(&text, "  \"%d.%d.%d.0/24\",\n", 1+index>>16, index>>8&255, index&255)
		}
		write(tb, path, fmt.Sprintf("%05d-blocks.toml", file), text.String()+"]\n")
	}
}

func write(tb testing.TB, path, name, content string) {
	tb.Helper()
	assert.NilError(tb, os.WriteFile(filepath.Join(path, name), []byte(content), 0o600))
}

// Guards against a large folder that takes too long to read, or more memory than a small machine has.
func BenchmarkFigureReadLarge(b *testing.B) {
	path := b.TempDir()
	writeLarge(b, path)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		result, err := folder.Read(path, conditions)
		assert.NilError(b, err)
		assert.Assert(b, !result.HasErrors(), "%v", result.Findings)
		assert.Equal(b, len(result.Configuration.ClientBlocks), largeBlocks)
	}
	runtime.ReadMemStats(&after)
	figure.Report(b, figure.Figure{Name: "operator_read_large_folder", Value: b.Elapsed().Seconds() / float64(b.N), Unit: "s", Bound: readSeconds})
	figure.Report(b, figure.Figure{
		Name: "operator_read_large_folder_allocated", Value: float64(after.TotalAlloc-before.TotalAlloc) / float64(b.N), Unit: "bytes", Bound: readBytes,
	})
}
