package openai

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStatusAloneIsTakenForNotRun(t *testing.T) {
	tests := []struct {
		status            int
		err               Error
		declines, rejects bool
	}{
		{404, Error{Message: "m", Code: CodeModelNotFound}, true, true},
		{429, Error{Message: "m", Code: CodeOverloaded}, true, false},
		{503, Error{Message: "m", Code: CodeLeaving}, true, false},
		{503, Error{Message: "m", Code: CodeOverloaded}, true, false},
		{400, Error{Message: "m"}, false, true},
		{422, Error{Message: "m"}, false, true},
		{503, Error{Message: "m"}, false, false},
		{503, Error{}, false, false},
		{429, Error{Message: "m"}, false, false},
		{404, Error{}, false, false},
		{400, Error{}, false, false},
		{408, Error{Message: "m", Code: CodeOverloaded}, false, false},
		{409, Error{Message: "m"}, false, false},
		{500, Error{Message: "m"}, false, false},
	}
	for _, test := range tests {
		assert.Equal(t, test.err.Declines(test.status), test.declines, "%d %v", test.status, test.err)
		assert.Equal(t, test.err.Rejects(test.status), test.rejects, "%d %v", test.status, test.err)
	}
}
