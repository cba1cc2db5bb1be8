package layers

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sources returns the source text of all non-test files in the packages that match patterns, by file name.
func sources(t *testing.T, patterns ...string) map[string]string {
	t.Helper()
	list := `{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}`
	output, err := exec.Command("go", append([]string{"list", "-f", list}, patterns...)...).Output()
	assert.NilError(t, err)
	texts := make(map[string]string)
	for _, name := range strings.Fields(string(output)) {
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		texts[name] = string(text)
	}
	return texts
}
