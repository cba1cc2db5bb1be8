package integration

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A request waits for a model whose load takes longer than the VM may go on after SIGTERM.
func TestGatewayThatStopsCutsRequestsThatWait(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.loadS = 6
	d.configure(2, 10_000)
	d.addRunnerWith(modelrunner.Options{
		ID: "r1", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, LoadTime: time.Minute,
		StreamEvents: 5, Pause: 20 * time.Millisecond, Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	d.addGateway("vm-1")
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", modelPath, "large").status == http.StatusOK })
	responses := make(chan gatewayResponse, 4)
	for range cap(responses) {
		d.group.Run("call", func(context.Context) { responses <- d.send("vm-1", modelPath, "small") })
	}
	group.Sleep(t.Context(), 300*time.Millisecond)
	stoppedAt := time.Now()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	for range cap(responses) {
		response := <-responses
		assert.Check(t, response.err == nil && response.status == http.StatusServiceUnavailable, "status %d, %v", response.status, response.err)
		assert.Check(t, response.retryAfter != "", "no time to come back")
	}
	took := time.Since(stoppedAt)
	assert.Check(t, took < 2*time.Second, "they were answered after %v", took)
}

// A caller reads its answer slowly, and the VM counts the request as ended once the handler has written it.
func TestGatewayThatStopsCutsAnswersThatAreReadSlowly(t *testing.T) {
	t.Parallel()
	const size = 7 << 20
	d := newDeployment(t)
	d.addRunnerWith(modelrunner.Options{ID: "p1", Service: plainService, Domain: "a", AnswerBytes: size})
	node := d.addGateway("vm-1")
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", unsafePath, "").status == http.StatusOK })
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			// Otherwise the buffers of the sockets hold the whole answer.
			err = conn.(*net.TCPConn).SetReadBuffer(256 << 10)
		}
		return conn, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	response, err := client.Do(newRequest(t.Context(), node, unsafePath, "", []byte("{}")))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	group.Sleep(t.Context(), 4*time.Second)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
	assert.NilError(t, d.processes["vm-1"].command.Wait())
}
