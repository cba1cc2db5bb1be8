package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/standin/engine"
	"github.com/zinniaroute/zinniaroute/state/catalog"
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

// An engine refuses some calls of each kind and sends a copy of each refusal in place of the next answer on the connection.
func TestCopyOfAnEnginesRefusalEndsARequest(t *testing.T) {
	s, node := singleVMSystem(t)
	address := s.catalog.Runners[0].Address
	for _, status := range []int{404, 409, 412, 429, 503} {
		data, err := json.Marshal(engine.Form{Status: status, Body: `{"error":"refused"}`, RefuseEvery: 2})
		assert.NilError(t, err)
		before := s.engineState(address)
		s.put(address, engine.FormPath, data)
		for i := range 40 {
			started := s.engineState(address).Started
			got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 4, i%2 == 0))
			assert.NilError(t, got.err)
			ran, outcome := s.engineState(address).Started > started, got.header.Get(caller.HeaderOutcome)
			assert.Check(t, !ran || outcome != string(caller.NotRun), "%d: a request ran, and is reported as %s", status, outcome)
			assert.Check(t, !ran || !isPromise(got.status), "%d: a request ran, and is answered %d", status, got.status)
			assert.Check(t, ran || got.status != http.StatusOK, "%d: a request that did not run is answered %q", status, got.body)
			time.Sleep(25 * time.Millisecond)
		}
		after := s.engineState(address)
		t.Log(status, "refused", after.Refused-before.Refused, "calls, ran", after.Started-before.Started, "of 40 requests")
		assert.Check(t, after.Refused > before.Refused, "%d: no call was refused", status)
		assert.Check(t, after.Started > before.Started, "%d: no request ran", status)
		s.put(address, engine.FormPath, []byte("{}"))
		waitServed(t, node)
		assert.Equal(t, s.engineState(address).Overcommits, 0)
	}
}

// The engine refuses some of the calls while the control has it load the first model.
func TestCopyOfAnEnginesRefusalEndsAnOrder(t *testing.T) {
	for _, status := range []int{404, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			s := newSystem(t, "kumamoto-a")
			s.addEngine("engine-1", "kumamoto-a", 40_000, true)
			s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000, ReserveMiB: 2_000}}
			s.catalog.Adapters = []catalog.Adapter{{Name: "crest-shrine", Base: "crest", MemoryMiB: 200}}
			address := s.catalog.Runners[0].Address
			data, err := json.Marshal(engine.Form{Status: status, Body: `{"error":"refused"}`, RefuseEvery: 2})
			assert.NilError(t, err)
			s.put(address, engine.FormPath, data)
			node := s.addVM("vm-1", "kumamoto-a")
			s.publishCatalog()
			s.waitUnitsReady(node)
			state := s.engineState(address)
			t.Log("refused", state.Refused, "calls, accepted", state.Orders, "orders")
			assert.Equal(t, state.Overcommits, 0)
			assert.Equal(t, len(state.Items), 2)
		})
	}
}
