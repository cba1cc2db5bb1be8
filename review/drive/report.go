//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

// reportRunner is a model runner that answers reports. It can spoil one answer in spoilEvery.
type reportRunner struct {
	d       *deployment
	id      string
	born    int64
	spoil   atomic.Bool
	answers atomic.Int64
}

// addReportRunner starts a runner without models and writes its entry to the store.
func (d *deployment) addReportRunner(id string) *reportRunner {
	listener := listen()
	r := &reportRunner{d: d, id: id, born: time.Now().UnixMilli()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": modelService, "address": addressOf(listener).String(), "zone": "kumamoto-a", "version": "v1", "slots": 64,
		"state": "ready", "stage": "both", "models": []any{}, "cold_remaining_ms": 0, "sequence": 0, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	d.store.Put(caller.RunnerKeys+id, entry)
	return r
}

// serve answers each request on a channel: a report with the runner's state, anything else with 409.
func (r *reportRunner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	first := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if first == "" {
			first = line
		}
		if line != "\r\n" {
			continue
		}
		if !strings.HasPrefix(first, "GET /zinniaroute/report") {
			r.answers.Add(1)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		first = ""
		body := fmt.Sprintf(
			`{"stage":"both","models":[],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":281907,"born":%d}`, r.born,
		)
		spoiled := ""
		if r.answers.Add(1) >= spoilEvery && r.spoil.CompareAndSwap(true, false) {
			spoiled = "Trailer: ,X-Checksum\r\n"
			r.d.note("runner %s spoils its answer number %d, which is to a report", r.id, r.answers.Load())
		}
		_, _ = fmt.Fprintf(
			conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", spoiled, len(body), body,
		)
	}
}

const (
	// spoilEvery is the number of answers of which one is spoiled: a share of 0.02.
	spoilEvery = 50
	// spoilTimeout is the longest time until one report is spoiled, and bookings the number of bookings of each client.
	spoilTimeout = 25 * time.Second
	bookings     = 70
)

// spoiledReport lets a model runner spoil one report, while clients book at a plain service.
func spoiledReport(d *deployment, booking *plainRunner, trouble bool) []string {
	r := d.addReportRunner("i-model-1")
	n := d.addGateway("front-a-2")
	d.awaitReady(n)
	time.Sleep(contactTime)
	time.AfterFunc(bookingWork, func() { r.spoil.Store(trouble) })
	return d.judgeBookings(n, booking, bookings, func() {
		for end := time.Now().Add(spoilTimeout); n.ended() == "" && time.Now().Before(end); {
			time.Sleep(bookingWork)
		}
	})
}

// judgeBookings lets clients book on kept channels, up to a number of times each, while something happens. It returns a
// finding if the process ends by itself and leaves more than three of them without an answer.
func (d *deployment) judgeBookings(n *node, booking *plainRunner, most int, happens func()) []string {
	var clients sync.WaitGroup
	unanswered := make([]string, keptChannels)
	for i := range keptChannels {
		clients.Add(1)
		go func() {
			defer clients.Done()
			unanswered[i] = book(d, n, i+1, most)
		}()
	}
	happens()
	clients.Wait()
	lost := 0
	for _, id := range unanswered {
		if id != "" && booking.ran(id) {
			lost++
		}
	}
	time.Sleep(time.Second)
	ended := n.ended()
	if ended == "" {
		return nil
	}
	d.note("the process of %s has ended: %s; %s", n.name, ended, d.panicLine(n))
	if lost <= 3 {
		return nil
	}
	return []string{fmt.Sprintf(
		"%s ended by itself, and %d requests on kept channels were passed on to a sound runner and not answered", n.name, lost,
	)}
}
