package httpcall

import (
	"context"
	"errors"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	endlessBodyLimit = 1 << 20
	// endlessReadLimit bounds what an endpoint can make the client read: the limit of a body and the buffers of the
	// sockets.
	endlessReadLimit = endlessBodyLimit + 8<<20
	// endlessTimeLimit is far below the deadline of the call, which would end it too.
	endlessTimeLimit = 3 * time.Second
)

// serveEndless sends a start and then repeats a text to the next connection until the client closes it. It returns the
// number of bytes sent.
func (p *peer) serveEndless(t *testing.T, start, repeated string) *atomic.Int64 {
	t.Helper()
	var sent atomic.Int64
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	g.Run("serve", func(context.Context) {
		conn := <-p.conns
		block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
		for text := start + block; ; text = block {
			n, err := io.WriteString(conn, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	t.Cleanup(func() { assert.Check(t, g.Stop()) })
	return &sent
}

func TestEndlessBytesInPlaceOfAnAnswerAreReadWithoutEnd(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, start, repeated string }{
		{"no line", "", "x"},
		{"empty lines", "", "\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header lines", head, "X-A: b\r\n"},
		{"header value", head + "X-A: ", "x"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"},
		{"body of another request's response", "HTTP/1.1 200 OK\r\nX-Id: other\r\n" + chunked, "5\r\nabcde\r\n"},
		{"body until the connection closes", head + "\r\n", "x"},
		{"fixed length", head + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		{"chunks", head + chunked, "5\r\nabcde\r\n"},
		{"one chunk", head + chunked + "7fffffffffffff\r\n", "x"},
		{"chunk size", head + chunked, "0"},
		{"chunk extension", head + chunked + "5;", "x"},
		{"trailer lines", head + chunked + "0\r\n", "X-A: b\r\n"},
		{"trailer value", head + chunked + "0\r\nX-A: ", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, address := newPeer(t)
			sent := p.serveEndless(t, test.start, test.repeated)
			client := NewClient(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 2*endlessTimeLimit)
			defer cancel()
			startedAt := time.Now()
			options := Options{Match: matchID("mine")}
			exchange, err := client.Start(ctx, address, NewRequest("GET", address, "/", nil), options)
			if err == nil {
				_, err = exchange.ReadAll(ctx, endlessBodyLimit)
			}
			assert.Check(t, err != nil)
			took := time.Since(startedAt)
			assert.Check(t, took < endlessTimeLimit, "read for %v: %v", took, err)
			time.Sleep(50 * time.Millisecond)
			assert.Check(t, sent.Load() < endlessReadLimit, "the client took %d bytes", sent.Load())
		})
	}
}

func TestEndlessBodiesTakeAllMemory(t *testing.T) {
	const calls, limit = 24, 8 << 20
	// Like a gateway's, the limit keeps garbage from adding up. It cannot be kept if the calls hold more.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(3 * bufferedBodyBytes))
	p, address := newPeer(t)
	for range calls {
		p.serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	}
	client := NewClient(time.Second)
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	var ended, largest atomic.Int64
	for range calls {
		g.Run("call", func(ctx context.Context) {
			defer ended.Add(1)
			exchange, err := client.Start(ctx, address, NewRequest("GET", address, "/", nil), Options{})
			if assert.Check(t, err); err == nil {
				_, err = exchange.ReadAll(ctx, limit)
				assert.Check(t, errors.Is(err, ErrBodyTooLarge))
			}
		})
	}
	for ended.Load() < calls {
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		largest.Store(max(largest.Load(), int64(memory.HeapInuse)))
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, g.Stop())
	assert.Check(t, largest.Load() < 4*bufferedBodyBytes, "%d MiB in use", largest.Load()>>20)
}
