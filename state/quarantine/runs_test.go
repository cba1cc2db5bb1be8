package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCrashAfterProgressIsNotEarly(t *testing.T) {
	runs := NewRuns()
	run := runs.Begin(start, 7, "a", 1)
	assert.Assert(t, run.Crash(start.Add(time.Minute)).Early, "an endpoint that has not answered made no progress")
	run.RecordFirstByte(start.Add(time.Minute))
	assert.Assert(t, run.Crash(start.Add(time.Minute+time.Second)).Early)
	assert.Assert(t, !run.Crash(start.Add(time.Minute+3*time.Second)).Early)
}
