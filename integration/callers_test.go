package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/standin/bookings"
	"github.com/zinniaroute/zinniaroute/standin/engine"
)

func TestBadRequestIsRejectedAsNotRun(t *testing.T) {
	_, node := singleVMSystem(t)
	validBody := chatBody("crest", "an owl", 4, false)
	cases := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
		code    string
		param   string
	}{
		{name: "malformed JSON", path: openai.ChatPath, body: `{"model":`, status: 400, code: "invalid_json"},
		{name: "empty body", path: openai.ChatPath, status: 400, code: "invalid_json"},
		{name: "wrong type", path: openai.ChatPath, body: `{"model":"crest","messages":[],"max_tokens":"x"}`, status: 400, code: "invalid_json", param: "max_tokens"},
		{name: "no model", path: openai.ChatPath, body: `{"messages":[{"role":"user","content":"x"}]}`, status: 400, param: "model"},
		{name: "no messages", path: openai.ChatPath, body: `{"model":"crest"}`, status: 400, param: "messages"},
		{name: "no prompt", path: openai.CompletionsPath, body: `{"model":"crest"}`, status: 400, param: "prompt"},
		{name: "negative tokens", path: openai.ChatPath, body: strings.Replace(validBody, ":4", ":-4", 1), status: 400, param: "max_tokens"},
		{name: "unknown model", path: openai.ChatPath, body: chatBody("owl", "x", 4, true), status: 404, code: "model_not_found", param: "model"},
		{name: "service as a model", path: openai.ChatPath, body: chatBody("booking", "x", 4, true), status: 404, code: "model_not_found", param: "model"},
		{name: "oversized body", path: openai.ChatPath, body: chatBody("crest", strings.Repeat("x", 5<<20), 4, true), status: 413, code: "body_too_large"},
		{name: "bad priority", path: openai.ChatPath, body: validBody, headers: []string{caller.HeaderPriority, "urgent"}, status: 400, code: "bad_header", param: caller.HeaderPriority},
		{name: "bad deadline", path: openai.ChatPath, body: validBody, headers: []string{caller.HeaderDeadline, "soon"}, status: 400, code: "bad_header", param: caller.HeaderDeadline},
		{name: "long key", path: "/services/booking/x", body: "x", headers: []string{caller.HeaderIdempotencyKey, strings.Repeat("k", 300)}, status: 400, code: "bad_header", param: caller.HeaderIdempotencyKey},
		{name: "unknown path", path: "/v1/owls", body: validBody, status: 404, code: "unknown_route"},
		{name: "unknown service", path: "/services/owls/x", body: validBody, status: 404, code: "unknown_route"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := post(context.Background(), node.callers, tc.path, tc.body, tc.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status, got.body)
			var failure openai.ErrorResponse
			assert.NilError(t, json.Unmarshal([]byte(got.body), &failure), got.body)
			assert.Equal(t, failure.Error.Code, tc.code)
			assert.Equal(t, failure.Error.Param, tc.param)
			assert.Equal(t, failure.Error.Outcome, string(caller.NotRun))
			assert.Equal(t, got.header.Get(caller.HeaderOutcome), string(caller.NotRun))
			assert.Equal(t, got.header.Get(caller.HeaderRequestID), failure.Error.RequestID)
		})
	}
	got := post(context.Background(), node.callers, openai.ChatPath, validBody)
	assert.Equal(t, got.status, 200, got.body)
}

// sendRaw writes the text to a new connection and returns the status of the response, or zero when none arrives.
func sendRaw(t *testing.T, address netip.AddrPort, text string) int {
	t.Helper()
	connection, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = connection.Write([]byte(text))
	assert.NilError(t, err)
	_ = connection.SetReadDeadline(time.Now().Add(30 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

func TestMalformedHTTPGetsErrorStatus(t *testing.T) {
	_, node := singleVMSystem(t)
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{name: "not HTTP", text: "hello\r\n\r\n", status: 400},
		{name: "header too long", text: "GET /v1/models HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("y", 40_000) + "\r\n\r\n", status: 431},
		{name: "slow body", text: "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", status: 408},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, sendRaw(t, node.callers, tc.text), tc.status)
		})
	}
}

func TestModelListHoldsModelsAdaptersAndRoutes(t *testing.T) {
	_, node := singleVMSystem(t)
	var list openai.ModelList
	assert.NilError(t, getJSON(node.callers, openai.ModelsPath, &list))
	var names []string
	for _, model := range list.Data {
		names = append(names, model.ID)
	}
	assert.DeepEqual(t, names, []string{"carvers", "crest", "crest-shrine"})
}

func (s *system) engineState(address netip.AddrPort) engine.State {
	s.t.Helper()
	var state engine.State
	assert.NilError(s.t, getJSON(address, engine.StatePath, &state))
	return state
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%t", stream), func(t *testing.T) {
			s, node := singleVMSystem(t)
			address := s.catalog.Runners[0].Address
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			post(ctx, node.callers, openai.ChatPath, chatBody("crest", "an owl", 100_000, stream))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				state := s.engineState(address)
				if state.Started == 1 && state.Cancelled == 1 {
					return poll.Success()
				}
				return poll.Continue("engine-1 started %d runs and cancelled %d", state.Started, state.Cancelled)
			}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(5*time.Second))
		})
	}
}

func (s *system) bookingRuns(address netip.AddrPort) map[string]int {
	s.t.Helper()
	var state bookings.State
	assert.NilError(s.t, getJSON(address, bookings.StatePath, &state))
	runs := make(map[string]int)
	for _, run := range state.Runs {
		runs[run.ID] = run.Count
	}
	return runs
}

// A non-idempotent request with an idempotency key runs at most once, however often the caller sends it.
func TestRequestWithIdempotencyKeyRunsOnce(t *testing.T) {
	s, node := singleVMSystem(t)
	bookingsAddress := s.catalog.Runners[1].Address
	const concurrentSends = 8
	responses := make([]entryResponse, concurrentSends)
	var wait sync.WaitGroup
	for i := range concurrentSends {
		wait.Go(func() {
			responses[i] = post(context.Background(), node.callers, "/services/booking/hold", "log 7",
				caller.HeaderIdempotencyKey, "key-7")
		})
	}
	wait.Wait()
	responses = append(responses, post(context.Background(), node.callers, "/services/booking/hold", "log 7",
		caller.HeaderIdempotencyKey, "key-7"))
	last := responses[concurrentSends]
	assert.Equal(t, last.status, 200, last.body)
	assert.Equal(t, last.header.Get(caller.HeaderReplayed), "true")
	for _, got := range responses {
		assert.NilError(t, got.err)
		if got.status == 200 {
			assert.Equal(t, got.body, last.body)
			continue
		}
		assert.Equal(t, got.status, 409, got.body)
		assert.Equal(t, got.header.Get("Retry-After"), "1")
	}
	other := post(context.Background(), node.callers, "/services/booking/hold", "log 8", caller.HeaderIdempotencyKey, "key-7")
	assert.Equal(t, other.status, 422, other.body)
	assert.DeepEqual(t, s.bookingRuns(bookingsAddress), map[string]int{"log 7": 1})
}

// A request whose reported outcome is notRun did not run. Here the entry cannot commit the claim on the key.
func TestRequestWithIdempotencyKeyIsNotRunWithoutKeyValueService(t *testing.T) {
	s, node := singleVMSystem(t)
	bookingsAddress := s.catalog.Runners[1].Address
	s.put(s.keyValueAddress, "/standin/faults", []byte(`{"down":true}`))
	got := post(context.Background(), node.callers, "/services/booking/hold", "log 7", caller.HeaderIdempotencyKey, "key-7")
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, got.header.Get(caller.HeaderOutcome), string(caller.NotRun))
	assert.Assert(t, got.header.Get("Retry-After") != "")
	s.put(s.keyValueAddress, "/standin/faults", []byte(`{}`))
	got = post(context.Background(), node.callers, "/services/booking/hold", "log 7", caller.HeaderIdempotencyKey, "key-7")
	assert.Equal(t, got.status, 200, got.body)
	assert.DeepEqual(t, s.bookingRuns(bookingsAddress), map[string]int{"log 7": 1})
}

// A non-idempotent request whose response is lost has the outcome unknown, and the entry does not send it again.
func TestRequestWithLostResponseIsNotRetried(t *testing.T) {
	s, node := singleVMSystem(t)
	bookingsAddress := s.catalog.Runners[1].Address
	s.put(bookingsAddress, "/standin/faults", []byte(`{"dropAnswers":1,"only":"/hold"}`))
	got := post(context.Background(), node.callers, "/services/booking/hold", "log 7", caller.HeaderIdempotencyKey, "key-7")
	assert.Equal(t, got.status, 502, got.body)
	assert.Equal(t, got.header.Get(caller.HeaderOutcome), string(caller.Unknown))
	got = post(context.Background(), node.callers, "/services/booking/hold", "log 7", caller.HeaderIdempotencyKey, "key-7")
	assert.Equal(t, got.status, 409, got.body)
	assert.Equal(t, got.header.Get(caller.HeaderOutcome), string(caller.Unknown))
	assert.DeepEqual(t, s.bookingRuns(bookingsAddress), map[string]int{"log 7": 1})
}

// A drain aborts no request in flight.
func TestDrainAbortsNoRequest(t *testing.T) {
	s, node := singleVMSystem(t)
	const tokens = 300
	result := make(chan entryResponse, 1)
	background.Go(func() {
		result <- post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", tokens, true))
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.engineState(s.catalog.Runners[0].Address).Started == 1 {
			return poll.Success()
		}
		return poll.Continue("engine-1 has not started the request")
	}, poll.WithDelay(10*time.Millisecond))
	output, code := s.runZinniactl("drain", node.entryOperations.String())
	assert.Equal(t, code, 0, output)
	output, code = s.runZinniactl("drain", node.controlOperations.String())
	assert.Equal(t, code, 0, output)
	got := <-result
	assert.NilError(t, got.err)
	stream := parseStream(t, got.body)
	assert.Assert(t, stream.done)
	assert.Equal(t, stream.text, expectedText("crest", "an owl", tokens))
	assert.NilError(t, s.processes["entry-"+node.name].command.Wait())
	assert.NilError(t, s.processes["control-"+node.name].command.Wait())
}

func TestPlainServiceResponseIsForwarded(t *testing.T) {
	_, node := singleVMSystem(t)
	cases := []struct {
		name    string
		method  string
		path    string
		status  int
		body    string
		trailer string
	}{
		{name: "no content", method: http.MethodGet, path: bookings.EmptyPath, status: 204},
		{name: "head", method: http.MethodHead, path: "/logs", status: 200},
		{name: "trailer", method: http.MethodGet, path: bookings.TrailerPath, status: 200, body: "with a trailer", trailer: "7"},
		{name: "delete", method: http.MethodDelete, path: "/logs/7", status: 200, body: `{"method":"DELETE","path":"/logs/7","run":1}`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			request, err := http.NewRequest(tc.method, "http://"+node.callers.String()+"/services/booking"+tc.path, nil)
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tc.status)
			assert.Equal(t, string(body), tc.body)
			assert.Equal(t, response.Trailer.Get(bookings.TrailerName), tc.trailer)
		})
	}
}

func TestLargeUploadIsStreamed(t *testing.T) {
	_, node := singleVMSystem(t)
	got := post(context.Background(), node.callers, "/services/booking/plans", strings.Repeat("x", 3<<20))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200, got.body[:min(200, len(got.body))])
	assert.Assert(t, len(got.body) > 3<<20)
}
