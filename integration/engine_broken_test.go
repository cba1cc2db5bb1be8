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
)

// An engine answers a completion that it has run with bytes that are no answer in HTTP.
func TestBrokenAnswerOfAnEngineReachesCallers(t *testing.T) {
	t.Parallel()
	s, node := singleVMSystem(t)
	address := s.catalog.Runners[0].Address
	const (
		whole  = `{"choices":[{"message":{"content":"` + brokenData + `"}}]}`
		events = `data: {"choices":[{"delta":{"content":"` + brokenData + `"}}]}` + "\n\ndata: [DONE]\n\n"
	)
	bodies := []struct {
		name, body string
		stream     bool
	}{
		{"plain", fmt.Sprintf("\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole), false},
		{"streamed", fmt.Sprintf(
			"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events,
		), true},
	}
	starts := []string{
		"HTTP/1.1 000 Status", "HTTP/1.1 999 Status", "HTTP/1.1 200 OK\r\nX Odd: odd", "HTTP/1.1 200 OK\r\nX\x01Odd: odd",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Status", "HTTP/1.1 200 OK\rX-Odd: odd",
	}
	for _, start := range starts {
		for _, b := range bodies {
			name := fmt.Sprintf("%s, %q", b.name, start)
			s.put(address, engine.FormPath, []byte("{}"))
			waitServed(t, node)
			data, err := json.Marshal(engine.Form{Raw: start + b.body})
			assert.NilError(t, err)
			s.put(address, engine.FormPath, data)
			before := s.engineState(address).Started
			got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 4, b.stream))
			assert.NilError(t, got.err, name)
			assert.Check(t, !strings.Contains(got.body, brokenData), "%s: status %d, %q", name, got.status, got.body)
			outcome := got.header.Get(caller.HeaderOutcome)
			assert.Check(t, s.engineState(address).Started > before, "%s: no request ran", name)
			assert.Check(t, outcome != string(caller.NotRun) && !isPromise(got.status), "%s: ran, and is answered %d, %s", name, got.status, outcome)
		}
	}
}
