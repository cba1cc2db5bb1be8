//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
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

// trailer sends one request with a body in chunks that announces a trailer, while other clients wait for their answers on
// kept channels. With trouble, the list of trailers has an empty element.
func trailer(d *deployment, trouble bool) []string {
	d.configure(1)
	d.addPlainRunner("i-booking-1", bookingWork)
	n := d.addGateway("front-a-1")
	d.awaitReady(n)
	time.Sleep(contactTime)
	outcomes := make([]string, keptChannels)
	var clients sync.WaitGroup
	for i := range keptChannels {
		clients.Add(1)
		go func() {
			defer clients.Done()
			outcomes[i] = bookTwice(d, n, i+1)
		}()
	}
	// The second booking of each client is at the runner.
	time.Sleep(bookingWork + bookingWork/2)
	names := "X-Checksum"
	if trouble {
		names = ",X-Checksum"
	}
	text := "POST " + unsafePath + " HTTP/1.1\r\nHost: " + host + "\r\nX-Zinniaroute-Attempt-Id: trailing" +
		"\r\nX-Zinniaroute-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\nTrailer: " + names +
		"\r\n\r\n2\r\nhi\r\n0\r\nX-Checksum: 1\r\n\r\n"
	d.note("client sends %q", text)
	d.note("client gets %q", exchangeRaw(n.callers.String(), text))
	clients.Wait()
	var broken []string
	lost := 0
	for _, outcome := range outcomes {
		if outcome != "" {
			lost++
			d.note("%s", outcome)
		}
	}
	time.Sleep(time.Second)
	if ended := n.ended(); ended != "" {
		d.note("the gateway's process has ended: %s; %s", ended, d.panicLine(n))
		if lost > 3 {
			broken = append(broken, fmt.Sprintf(
				"the process ended by itself, and %d requests on kept channels were passed on to a sound runner and not answered", lost,
			))
		}
	}
	return broken
}

// bookTwice sends two bookings on one channel, one after the other. It returns "" if both are answered.
func bookTwice(d *deployment, n *node, client int) string {
	conn, err := net.Dial("tcp", n.callers.String())
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		id := fmt.Sprintf("client-%d-%d", client, i+1)
		request, err := http.NewRequest(http.MethodPost, "http://"+n.callers.String()+unsafePath, strings.NewReader("{}"))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header.Set(caller.AttemptHeader, id)
		request.Header.Set("X-Zinniaroute-Deadline-Ms", "3000")
		d.note("client sends attempt %s", id)
		if err := request.Write(conn); err != nil {
			return fmt.Sprintf("attempt %s: %v", id, err)
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return fmt.Sprintf("attempt %s ends without an answer: %v", id, err)
		}
		_ = response.Body.Close()
		d.note("attempt %s is answered %d", id, response.StatusCode)
	}
	return ""
}
