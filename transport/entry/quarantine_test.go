package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestResumedStreamIsTakenForTheCauseOfACrash(t *testing.T) {
	tests := []struct {
		name  string
		relay *relay
		early bool
	}{
		{"nothing delivered", nil, true},
		{"a token delivered", &relay{tokens: 1}, true},
		{"resumed after many tokens", &relay{tokens: 171, earlierTokens: 171}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := &modelRun{relay: test.relay}
			assert.Equal(t, m.crash(time.Unix(1_000_000, 0)).Early, test.early)
		})
	}
}
