package simulation

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Safeguards are disabled by tests only: no other code constructs a DisabledSafeguards or DisabledReportSafeguards value, and only the
// packages that declare or pass on such a type name it.
func TestSafeguardsAreDisabledByTestsOnly(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	allowed := map[string]bool{"internal/cdn/consensus": true, "internal/cdn/configstore": true, "internal/cdn/simulation": true, "internal/cdn/statesync": true}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		name, _ := filepath.Rel(root, path)
		if strings.Contains(string(text), "Safeguards{") {
			assert.Check(t, false, "%s sets a value of disabled safeguards", name)
		}
		if strings.Contains(string(text), "Safeguards") {
			assert.Check(t, allowed[filepath.Dir(name)], "%s names a type of disabled safeguards", name)
		}
		return err
	})
	assert.NilError(t, err)
}
