package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// longUploadBytes is more than the kernel buffers of a request that is not read.
	longUploadBytes = 16 << 20
	// uploadTries is how often each case is played, as it depends on which goroutine meets the error of the connection.
	uploadTries = 20
)

// uploadSizes are sizes of uploads: written before the response is read, buffered by the kernel, and more than that.
var uploadSizes = []int{concurrentBodyBytes, 32 << 10, longUploadBytes, longUploadBytes}

// uploadEnd ends a connection on which a response was written while the request is still being sent.
type uploadEnd struct {
	name string
	// fails means that the response must not be taken for a whole one.
	fails bool
	// end gets a channel that is closed when the call has ended.
	end func(conn *net.TCPConn, called <-chan struct{})
}

// uploadEnds returns ends at which the upload is not read.
func uploadEnds() []uploadEnd {
	return []uploadEnd{
		{"reset", true, func(conn *net.TCPConn, _ <-chan struct{}) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}},
		// The kernel resets a connection that is closed with bytes unread.
		{"close", true, func(conn *net.TCPConn, _ <-chan struct{}) { _ = conn.Close() }},
		// An endpoint that answers early closes its side, and reads what the caller still sends (RFC 9112, section 9.6).
		{"end of one side, rest read", false, func(conn *net.TCPConn, _ <-chan struct{}) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}},
		{"end of one side, rest not read", false, func(conn *net.TCPConn, called <-chan struct{}) {
			_ = conn.CloseWrite()
			<-called
			_ = conn.Close()
		}},
	}
}

// An endpoint answers a long upload before it has read it, and resets the connection. The error of the reset may reach the goroutine that
// writes, so that the one that reads sees an end like that of a body without a length.
func TestPartOfAnAnswerToALongUploadIsTakenForAWholeOne(t *testing.T) {
	const part = "part of the body"
	heads := []struct {
		name, head, body string
		// complete means that the end of the body does not depend on the connection.
		complete bool
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", part, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", part, false},
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(part)), part, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(part), part), true},
	}
	for _, h := range heads {
		for _, e := range uploadEnds() {
			t.Run(h.name+"/"+e.name, func(t *testing.T) {
				for i := range uploadTries {
					body, err := uploadOnce(t, uploadSizes[i%len(uploadSizes)], h.head+h.body, e.end)
					switch {
					case e.fails && !h.complete:
						assert.Assert(t, err != nil, "%q is taken for the whole body", body)
						assert.Assert(t, WasSent(err), "the request is called not sent: %v", err)
					case err != nil:
						// A reset may reach the caller before the response does.
						assert.Assert(t, e.fails, "a whole answer is lost: %v", err)
					default:
						assert.Equal(t, string(body), part)
					}
				}
			})
		}
	}
}

// uploadOnce sends a request with a body of a size to an endpoint that answers it before it has read it, and returns the body of the answer.
func uploadOnce(t *testing.T, size int, answer string, end func(conn *net.TCPConn, called <-chan struct{})) ([]byte, error) {
	t.Helper()
	p, address := newPeer(t)
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	called := make(chan struct{})
	g.Run("serve", func(context.Context) {
		conn := (<-p.conns).(*net.TCPConn)
		readHead(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer)
		time.Sleep(time.Millisecond)
		end(conn, called)
	})
	client := NewClient(time.Second)
	request := NewRequest("POST", address, "/", bytes.Repeat([]byte("x"), size))
	startedAt := time.Now()
	result, err := client.Fetch(t.Context(), address, request, 5*time.Second, 1<<20)
	assert.Check(t, time.Since(startedAt) < 4*time.Second, "the call waits for the end of the upload")
	close(called)
	client.Close()
	assert.Check(t, g.Stop())
	if err != nil {
		return nil, err
	}
	return result.Body, nil
}
