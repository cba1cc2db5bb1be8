package gateway

import (
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
)

// A VM of the build before passes on the headers and the status of a runner as they are.
func TestAnswerThatTheBuildBeforePassesOnIsTakenForARefusal(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name   string
		answer forwardedAnswer
		event  lifecycle.Event
	}{
		{"answer", forwardedAnswer{status: 200, sealed: true}, lifecycle.Answered{}},
		{"failure", forwardedAnswer{status: 500, sealed: true}, lifecycle.Answered{}},
		{"not taken", forwardedAnswer{status: 503, outcome: vm.NotTaken}, lifecycle.Unreachable{}},
		{"refused", forwardedAnswer{status: 503, outcome: vm.Refused, retryAfter: second}, lifecycle.NoEndpoint{
			Reason: "refused by vm-2, which forwards it", RetryAfter: second,
		}},
		{"failed", forwardedAnswer{status: 502, outcome: vm.Failed, runs: 1}, lifecycle.Lost{}},
		{"503 of a runner", forwardedAnswer{status: 503, sealed: true}, lifecycle.Lost{Unstated: true}},
		{"429 of a runner", forwardedAnswer{status: 429}, lifecycle.Lost{Unstated: true}},
		{"success without a seal", forwardedAnswer{status: 200}, lifecycle.Lost{}},
		{"not taken, by a runner", forwardedAnswer{status: 200, sealed: true, outcome: vm.NotTaken}, lifecycle.Lost{}},
		{"refused, by a runner", forwardedAnswer{status: 503, sealed: true, outcome: vm.Refused}, lifecycle.Lost{}},
		{"outcome of a later build", forwardedAnswer{status: 503, outcome: "other"}, lifecycle.Lost{}},
	}
	for _, test := range tests {
		assert.Equal(t, test.answer.event("vm-2"), test.event, test.name)
	}
}

func TestRunnerNamesTheOutcomeOfAForwardedRequest(t *testing.T) {
	header := &protocol.ResponseHeader{}
	vm.WriteOutcome(header, vm.NotTaken, 0)
	vm.RemoveOutcome(header)
	outcome, runs := vm.ReadOutcome(header)
	assert.Equal(t, outcome, vm.Passed)
	assert.Equal(t, runs, 1)
}
