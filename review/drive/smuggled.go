//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["smuggled"] = smuggled }

const answerTimeout = 2 * time.Second

// smuggled sends bookings whose body is the text of another request. With trouble, the header names two lengths, so that
// a receiver that takes the wrong one finds a request in the body.
func smuggled(d *deployment, trouble bool) []string {
	d.configure(1)
	runner := d.addPlainRunner("i-booking-1", 60*time.Millisecond)
	n := d.addGateway("front-a-1")
	d.awaitReady(n)
	time.Sleep(contactTime)
	sent := make(map[string]string)
	for i := range 5 {
		attempt := fmt.Sprintf("sent-%d", i+1)
		body := bookingText(fmt.Sprintf("inside-%d", i+1))
		sent[attempt] = body
		lengths := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if trouble {
			lengths += "Content-Length: 0\r\n"
		}
		text := "POST " + unsafePath + " HTTP/1.1\r\nHost: " + host + "\r\nX-Zinniaroute-Attempt-Id: " + attempt +
			"\r\nX-Zinniaroute-Deadline-Ms: 3000\r\nContent-Type: text/plain\r\n" + lengths + "\r\n" + body
		d.note("client sends attempt %s: %q", attempt, text)
		d.note("client gets %q", exchangeRaw(n.callers.String(), text))
	}
	var broken []string
	for _, r := range runner.allRuns() {
		switch body, ok := sent[r.attempt]; {
		case !ok:
			broken = append(broken, fmt.Sprintf("a runner ran %s %s of attempt %s, which no client sent", r.method, r.path, r.attempt))
		case body != r.content:
			broken = append(broken, fmt.Sprintf("a runner ran attempt %s with another body than the client's: %q", r.attempt, r.content))
		}
	}
	if !trouble && len(runner.allRuns()) != len(sent) {
		panic("the proper requests were not all run")
	}
	return broken
}

// bookingText is the text of a whole booking.
func bookingText(attempt string) string {
	return "POST /book/other HTTP/1.1\r\nHost: " + host + "\r\nX-Zinniaroute-Attempt-Id: " + attempt +
		"\r\nX-Zinniaroute-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
}

// exchangeRaw sends bytes on a new channel and returns what comes back until the channel ends or a time has passed.
func exchangeRaw(address, text string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		return err.Error()
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
