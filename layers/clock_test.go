package layers

import (
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var wallClock = regexp.MustCompile(`\btime\.(?:Now|Since|Until)\(`)

// Trouble: the time of day jumps, or the VM is suspended. What decides takes the time as an argument or from the clock
// of the VM's boot, which goes on in a suspension and does not jump.
func TestDecisionsFollowTheClockOfTheBoot(t *testing.T) {
	texts := sources(t, "../state/...", "../coordination/...", "../platform/...", "../transport/gateway/...")
	assert.Check(t, len(texts) > 50, "%d files", len(texts))
	for name, text := range texts {
		assert.Check(t, !wallClock.MatchString(text), "%s reads the time of day", name)
	}
}
