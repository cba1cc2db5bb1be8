//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

func init() { cases["trailer"] = trailer }

const (
	// keptChannels is the number of channels on which clients wait for an answer at a time, and bookingWork how long a
	// runner works on a booking.
	keptChannels = 6
	bookingWork  = 400 * time.Millisecond
)

// trailer plays two malformed messages at two gateways: a client's request and a runner's answer to a report.
func trailer(d *deployment, trouble bool) []string {
	d.configure(1)
	booking := d.addPlainRunner("i-booking-1", bookingWork)
	return append(spoiledRequest(d, booking, trouble), spoiledReport(d, booking, trouble)...)
}

// spoiledRequest sends one request with a body in chunks that announces a trailer, while other clients wait for their
// answers on kept channels. With trouble, the list of trailers has an empty element.
func spoiledRequest(d *deployment, booking *plainRunner, trouble bool) []string {
	n := d.addGateway("front-a-1")
	d.awaitReady(n)
	time.Sleep(contactTime)
	names := "X-Checksum"
	if trouble {
		names = ",X-Checksum"
	}
	text := "POST " + unsafePath + " HTTP/1.1\r\nHost: " + host + "\r\nX-Zinniaroute-Attempt-Id: trailing" +
		"\r\nX-Zinniaroute-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\nTrailer: " + names +
		"\r\n\r\n2\r\nhi\r\n0\r\nX-Checksum: 1\r\n\r\n"
	return d.judgeBookings(n, booking, 2, func() {
		// The second booking of each client is at the runner.
		time.Sleep(bookingWork + bookingWork/2)
		d.note("client sends %q", text)
		d.note("client gets %q", exchangeRaw(n.callers.String(), text))
	})
}

// book sends bookings on one channel, one after the other. It returns the attempt that is not
// answered, or "".
func book(d *deployment, n *node, client, most int) string {
	conn, err := net.Dial("tcp", n.callers.String())
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range most {
		id := fmt.Sprintf("%s-client-%d-%d", n.name, client, i+1)
		request, err := http.NewRequest(http.MethodPost, "http://"+n.callers.String()+unsafePath, strings.NewReader("{}"))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header.Set(caller.AttemptHeader, id)
		request.Header.Set("X-Zinniaroute-Deadline-Ms", "3000")
		d.note("client sends attempt %s", id)
		if err := request.Write(conn); err != nil {
			d.note("attempt %s cannot be sent: %v", id, err)
			return id
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			d.note("attempt %s ends without an answer: %v", id, err)
			return id
		}
		_ = response.Body.Close()
		d.note("attempt %s is answered %d", id, response.StatusCode)
	}
	return ""
}
