package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/standin/engine"
)

// An engine answers a request that it has run with the status of a refusal, which does not say that the request has not run.
func TestRequestThatAnEngineHasRunIsReportedAsNotRun(t *testing.T) {
	s, node := singleVMSystem(t)
	address := s.catalog.Runners[0].Address
	started := func() int64 {
		var state engine.State
		assert.NilError(t, getJSON(address, engine.StatePath, &state))
		return state.Started
	}
	const html, failure = "<html>unavailable</html>", `{"error":{"message":"timed out","type":"server_error"}}`
	forms := []engine.Form{
		{Status: 503},
		{Status: 503, Body: html},
		{Status: 503, Body: failure},
		{Status: 429, Body: html},
		{Status: 404, Body: html},
		{Status: 408, Body: failure},
		{Status: 409, Body: failure},
		{Status: 499, Body: html},
		{Status: 400, Body: html},
	}
	for _, form := range forms {
		data, err := json.Marshal(form)
		assert.NilError(t, err)
		for _, stream := range []bool{false, true} {
			s.put(address, engine.FormPath, []byte("{}"))
			waitServed(t, node)
			s.put(address, engine.FormPath, data)
			before := started()
			got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 4, stream))
			assert.NilError(t, got.err)
			ran := started() > before
			outcome := got.header.Get(caller.HeaderOutcome)
			assert.Check(t, !ran || outcome != string(caller.NotRun), "%d %q: ran, and is reported as %s", form.Status, form.Body, outcome)
			assert.Check(t, !ran || !isPromise(got.status), "%d %q: ran, and is answered %d", form.Status, form.Body, got.status)
		}
	}
}

// waitServed waits until a request is served. After a refusal an entry does not use the engine for a while.
func waitServed(t *testing.T, node vmNode) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 4, false))
		if got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("status %d", got.status)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(10*time.Second))
}
