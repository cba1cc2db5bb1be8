package httpcall

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The HTTP library panics at some malformed responses. One of them must not end the process.
func TestMalformedResponseEndsItsCallOnly(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct{ name, response string }{
		{"empty element in the list of trailers", "HTTP/1.1 200 OK\r\nTrailer: ,X-Checksum\r\nContent-Length: 2\r\n\r\nhi"},
		{"empty element in the list of trailers, chunks", chunked + "Trailer: ,X-Checksum\r\n\r\n2\r\nhi\r\n0\r\nX-Checksum: 1\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, address := newPeer(t)
			p.serve(t, test.response)
			client := NewClient(time.Second)
			_, err := client.Fetch(context.Background(), address, NewRequest("GET", address, "/", nil), time.Second, 100)
			assert.Assert(t, err != nil)
			assert.Check(t, WasSent(err), "the request is called not sent: %v", err)
			_, kept := client.takeIdle(address, "")
			assert.Check(t, !kept, "the connection is used again")
		})
	}
}
