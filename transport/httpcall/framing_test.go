package httpcall

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response whose end is ambiguous would be passed on with a part of its body, or with bytes that are none of it, and look
// complete.
func TestResponseWithAnAmbiguousEndIsTakenForAWholeOne(t *testing.T) {
	tests := []malformedResponseTest{
		{"the length is that of the body, then shorter", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 2\r\n\r\nright"},
		{"the length is shorter, then that of the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nright"},
		{"two lengths in one field", "HTTP/1.1 200 OK\r\nContent-Length: 5, 2\r\nContent-Length: 2\r\n\r\nright"},
		{"space after a field name", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 2\r\n\r\nright"},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nri\r\n0\r\n\r\n"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\n2\r\nri\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nri\r\n0\r\n\r\n"},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n\r\nright"},
		{"line end in a field value", "HTTP/1.1 200 OK\r\nX-Value: a\rContent-Length: 2\r\n\r\nright"},
		{"another protocol", "HTTQ/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"},
		{"a status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\nright"},
		{"a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nright"},
	}
	checkMalformed(t, tests)
}

// The HTTP library reports the status 000 as 200, and passes on those above 599.
func TestResponseWithAnInvalidStatusIsTakenForAWholeOne(t *testing.T) {
	var tests []malformedResponseTest
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "0200", "-20", "2e2"} {
		tests = append(tests, malformedResponseTest{status, "HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nright"})
	}
	// An interim response is skipped. This one must not be, although a response follows it.
	tests = append(tests, malformedResponseTest{"101 before a response", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"})
	checkMalformed(t, tests)
}

// The head after an interim response is checked like the first one.
func TestMalformedHeadAfterAnInterimResponseIsTakenForAWholeOne(t *testing.T) {
	var tests []malformedResponseTest
	for _, interim := range []string{"100 Continue", "103 Early Hints"} {
		for _, start := range []string{"000 OK", "999 OK", "200 OK\r\nX Odd: odd", "200 OK\r\nX\x01Odd: odd", "200 OK\r\nContent-Length: 2"} {
			tests = append(tests, malformedResponseTest{
				interim + ", " + start,
				"HTTP/1.1 " + interim + "\r\n\r\nHTTP/1.1 " + start + "\r\nContent-Length: 5\r\n\r\nright",
			})
		}
	}
	checkMalformed(t, tests)
}

func TestControlByteInAStatusLineIsTakenForAPartOfIt(t *testing.T) {
	const rest = "\r\nContent-Length: 5\r\n\r\nright"
	checkMalformed(t, []malformedResponseTest{
		{"line end in the reason phrase", "HTTP/1.1 200 OK\rX-Odd: odd" + rest},
		{"0x00 in the reason phrase", "HTTP/1.1 200 O\x00K" + rest},
		{"0x7f in the reason phrase", "HTTP/1.1 200 O\x7fK" + rest},
		{"line end before the protocol", "\rHTTP/1.1 200 OK" + rest},
	})
}

// The HTTP library reads a body until the connection closes if its length is no number and a list of trailers follows.
func TestResponseWithALengthThatIsNoNumberIsTakenForAWholeOne(t *testing.T) {
	var tests []malformedResponseTest
	for _, length := range []string{"", "+2", "-2", "-0", "2x", "0x2", "2 2", "2,2", "2.0", "1e1", "99999999999999999999", "21000000000000000000"} {
		start := "HTTP/1.1 200 OK\r\nContent-Length: " + length
		tests = append(
			tests,
			malformedResponseTest{length, start + "\r\n\r\nright"},
			malformedResponseTest{length + " and trailers", start + "\r\nTrailer: X-Odd\r\n\r\nright"},
		)
	}
	checkMalformed(t, tests)
}

// malformedResponseTest is a response that is none in HTTP.
type malformedResponseTest struct{ name, response string }

// checkMalformed checks that no response is taken for one, and that the requests may have run.
func checkMalformed(t *testing.T, tests []malformedResponseTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, address := newPeer(t)
			p.serve(t, test.response)
			client := NewClient(time.Second)
			exchange, err := client.Start(context.Background(), address, NewRequest("GET", address, "/", nil), Options{})
			if err == nil {
				_, err = exchange.ReadAll(context.Background(), 100)
			}
			assert.Assert(t, err != nil, "the response is taken for a whole one")
			assert.Check(t, WasSent(err), "the request is called not sent: %v", err)
			assert.Check(t, !BeforeAnswer(err), "the response is taken for a lost connection: %v", err)
			_, kept := client.takeIdle(address, "")
			assert.Check(t, !kept, "the connection is used again")
		})
	}
}

// Recipients may be lenient in these.
func TestUnusualStatusLinesAreRead(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 \u00fcber\tall", "HTTP/1.1 200 \xfcber", "\r\n\nHTTP/1.1 200 OK", "HTTP/1.0 299 Odd",
	} {
		p, address := newPeer(t)
		p.serve(t, line+"\r\nContent-Length: 5\r\n\r\nright")
		result, err := NewClient(time.Second).Fetch(t.Context(), address, NewRequest("GET", address, "/", nil), time.Second, 100)
		assert.NilError(t, err, "%q", line)
		assert.Equal(t, string(result.Body), "right")
	}
}

// The own interface passes the trailers on that a response announces. Others are dropped with what may be wrong with them: the last
// chunk has shown the end of the body.
func TestMalformedTrailersAreTakenForSoundOnes(t *testing.T) {
	const start, body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n5\r\nright\r\n0\r\n"
	checkMalformed(t, []malformedResponseTest{
		{"announced name with a blank", start + "Trailer: X Odd\r\n" + body + "X Odd: odd\r\n\r\n"},
		{"announced name with a tab", start + "Trailer: X-Sum, X\tOdd\r\n" + body + "X-Sum: 1\r\n\r\n"},
		{"announced value with 0x01", start + "Trailer: X-Sum\r\n" + body + "X-Sum: 1\x012\r\n\r\n"},
		{"announced value with a line end", start + "Trailer: X-Sum\r\n" + body + "X-Sum: 1\rX-Odd: odd\r\n\r\n"},
	})
	for _, rest := range []string{
		"Trailer: X-Sum\r\n" + body, "Trailer: X-Sum\r\n" + body + "X-Sum: 1\r\n", "Trailer: X-Sum, X-Odd\r\n" + body, "Trailer:\r\n" + body,
		body + "X\x01Odd: odd\r\n", body + "X-Odd: \x01\r\n",
	} {
		p, address := newPeer(t)
		p.serve(t, start+rest+"\r\n")
		result, err := NewClient(time.Second).Fetch(t.Context(), address, NewRequest("GET", address, "/", nil), time.Second, 100)
		assert.NilError(t, err, "%q", rest)
		assert.Equal(t, string(result.Body), "right")
		result.Header.Trailer().VisitAll(func(_, value []byte) {
			assert.Check(t, len(value) == 0 || string(value) == "1", "%q: %q is passed on", rest, value)
		})
	}
}
