package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

// A caller closes its side of the connection when it has sent its request, and reads on.
func TestCallerThatClosesItsSideGetsAnAnswerThatNoRunnerGave(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addRunner("p1", plainService)
	d.addRunner("r1", modelService, "large", "small")
	node := d.addGateway("vm-1")
	d.waitServing("vm-1")
	conn, err := net.Dial("tcp", node.callers.String())
	assert.NilError(t, err)
	defer func() { assert.Check(t, conn.Close()) }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: half-closed\r\nContent-Length: 2\r\n\r\n{}", unsafePath, testHost, caller.AttemptHeader)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer, err := io.ReadAll(conn)
	assert.Check(t, err)
	assert.Check(t, len(answer) == 0 || strings.Contains(string(answer), caller.SealHeader), "%q", answer)
}
