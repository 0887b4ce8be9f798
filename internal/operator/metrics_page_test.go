package operator

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var metricName = regexp.MustCompile("[\"`](jayford_[a-z0-9_]+)")

// The metrics page must list exactly the metrics that the code exports.
func TestMetricsPageMatchesTheCode(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	assert.NilError(t, err)
	inPage := names(string(page))
	inCode := map[string]bool{}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		assert.NilError(t, filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for n := range names(string(text)) {
				inCode[n] = true
			}
			return err
		}))
	}
	for n := range inCode {
		assert.Check(t, inPage[n], "%s isn't on the page", n)
	}
	for n := range inPage {
		assert.Check(t, inCode[n], "%s isn't in the code", n)
	}
}

func names(text string) map[string]bool {
	out := map[string]bool{}
	for _, m := range metricName.FindAllStringSubmatch(text, -1) {
		out[m[1]] = true
	}
	return out
}
