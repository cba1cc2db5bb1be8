package layers

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var wallClock = regexp.MustCompile(`\btime\.(?:Now|Since|Until)\(`)

// Trouble: the time of day jumps, or the VM is suspended. What decides takes the time as an argument or from the clock
// of the VM's boot, which goes on in a suspension and does not jump.
func TestDecisionsFollowTheClockOfTheBoot(t *testing.T) {
	list := `{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}`
	output, err := exec.Command(
		"go", "list", "-f", list, "../state/...", "../coordination/...", "../platform/...", "../transport/gateway/...",
	).Output()
	assert.NilError(t, err)
	names := strings.Fields(string(output))
	assert.Check(t, len(names) > 50, "%d files", len(names))
	for _, name := range names {
		source, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.Check(t, !wallClock.Match(source), "%s reads the time of day", name)
	}
}
