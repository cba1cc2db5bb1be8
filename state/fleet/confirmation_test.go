package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRunnerOfAnOldListIsUsedWithoutConfirmation(t *testing.T) {
	const maxAge = 2500 * time.Millisecond
	tests := []struct {
		name                        string
		listAge, answerAge, failAge time.Duration
		maxAge                      time.Duration
		due                         bool
	}{
		{"recent list", maxAge - 1, time.Hour, time.Hour, maxAge, false},
		{"old list", maxAge, time.Hour, time.Hour, maxAge, true},
		{"old list, recent answer", maxAge, maxAge - 1, time.Hour, maxAge, false},
		{"old list, old answer", maxAge, maxAge, time.Hour, maxAge, true},
		{"the store did not answer a moment ago", maxAge, time.Hour, confirmationBackoff - 1, maxAge, false},
		{"the store did not answer before", maxAge, time.Hour, confirmationBackoff, maxAge, true},
		{"no bound", time.Hour, time.Hour, time.Hour, 0, false},
	}
	for _, test := range tests {
		c := NewConfirmations()
		c.RecordAnswer(now.Add(-test.answerAge), "r1")
		c.RecordFailure(now.Add(-test.failAge))
		assert.Equal(t, c.Due(now, now.Add(-test.listAge), "r1", test.maxAge), test.due, test.name)
		c.RecordAnswer(now, "r2")
		c.Remove("r1")
		assert.Equal(t, c.Due(now, now.Add(-test.listAge), "r2", test.maxAge), false, test.name)
	}
}
