package layers

import (
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var wallClock = regexp.MustCompile(`\btime\.(?:Now|Since|Until)\(`)

// The wall clock may jump, and the VM may be suspended. Code that makes decisions therefore receives the time as an
// argument or reads the boot-time clock, which does not jump and continues during a suspension.
func TestDecisionCodeDoesNotReadWallClock(t *testing.T) {
	texts := sources(t, "../state/...", "../coordination/...", "../platform/...", "../transport/gateway/...")
	assert.Check(t, len(texts) > 50, "%d files", len(texts))
	for name, text := range texts {
		assert.Check(t, !wallClock.MatchString(text), "%s reads the wall clock", name)
	}
}
