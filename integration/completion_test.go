package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/standin/engine"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// chatBody returns the JSON body of a chat request with one message from the user.
func chatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`,
		model, prompt, tokens, stream)
}

// expectedText returns the text that the stand-in engine generates for a chat request.
func expectedText(engineName, prompt string, tokens int) string {
	return engine.Answer(&openai.Request{
		Model:     engineName,
		Messages:  []openai.Message{{Role: "user", Content: openai.Text(prompt)}},
		MaxTokens: tokens,
	}, 0)
}

// streamResult is what a caller received of a streamed response: the text, whether the end marker arrived, and the data
// of the error events.
type streamResult struct {
	text    string
	done    bool
	failure string
}

// parseStream parses the body of a streamed response.
func parseStream(t *testing.T, body string) streamResult {
	t.Helper()
	var result streamResult
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == openai.StreamEnd {
			result.done = true
			continue
		}
		var event openai.Completion
		assert.NilError(t, json.Unmarshal([]byte(data), &event))
		if len(event.Choices) == 0 {
			result.failure += data
			continue
		}
		if event.Choices[0].Delta != nil {
			result.text += event.Choices[0].Delta.Content
		}
	}
	return result
}

func singleVMSystem(t *testing.T) (*system, vmNode) {
	t.Helper()
	s := newSystem(t, "kumamoto-a")
	s.addEngine("engine-1", "kumamoto-a", 40_000, true)
	s.addBookingService("bookings-1", "kumamoto-a", "bookings")
	s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000, ReserveMiB: 2_000}}
	s.catalog.Adapters = []catalog.Adapter{{Name: "crest-shrine", Base: "crest", MemoryMiB: 200}}
	s.catalog.Services = []catalog.Service{{Name: "bookings"}}
	s.catalog.Routes = []catalog.Route{
		{Name: "carvers", Targets: []catalog.RouteTarget{{Name: "crest-shrine"}}},
		{Name: "booking", Service: "bookings"},
	}
	node := s.addVM("vm-1", "kumamoto-a")
	s.publishCatalog()
	s.waitUnitsReady(node)
	return s, node
}

func TestChatCompletionByModelAdapterAndRoute(t *testing.T) {
	_, node := singleVMSystem(t)
	cases := []struct {
		name   string
		model  string
		engine string
		stream bool
	}{
		{name: "model, streamed", model: "crest", engine: "crest", stream: true},
		{name: "model, not streamed", model: "crest", engine: "crest"},
		{name: "adapter, streamed", model: "crest-shrine", engine: "crest-shrine", stream: true},
		{name: "route, not streamed", model: "carvers", engine: "crest-shrine"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := post(context.Background(), node.callers, openai.ChatPath, chatBody(tc.model, "an owl", 12, tc.stream))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200, got.body)
			assert.Assert(t, got.header.Get(caller.HeaderRequestID) != "")
			want := expectedText(tc.engine, "an owl", 12)
			if tc.stream {
				result := parseStream(t, got.body)
				assert.Assert(t, result.done)
				assert.Equal(t, result.text, want)
				return
			}
			var completion openai.Completion
			assert.NilError(t, json.Unmarshal([]byte(got.body), &completion))
			assert.Equal(t, string(completion.Choices[0].Message.Content), want)
			assert.Equal(t, completion.Usage.CompletionTokens, 12)
		})
	}
}

func TestPlainServiceRequestIsForwarded(t *testing.T) {
	_, node := singleVMSystem(t)
	got := post(context.Background(), node.callers, "/services/booking/logs/7?hold=1", "camphor")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, got.header.Get(caller.HeaderOutcome), string(caller.Complete))
	assert.Equal(t, got.body, `{"method":"POST","path":"/logs/7","query":"hold=1","body":"camphor","run":1}`)
}
