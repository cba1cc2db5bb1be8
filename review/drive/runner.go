//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

// plainRunner is a runner of a plain service. It answers each request for itself with its signature.
type plainRunner struct {
	id      string
	address netip.AddrPort
	work    time.Duration
	born    int64
	server  *http.Server
	d       *deployment

	mu   sync.Mutex
	runs []run
}

// run is a request that a runner began to work on.
type run struct {
	at                             time.Time
	attempt, method, path, content string
}

// addPlainRunner starts a runner and writes its entry to the store.
func (d *deployment) addPlainRunner(id string, work time.Duration) *plainRunner {
	listener := listen()
	r := &plainRunner{id: id, address: addressOf(listener), work: work, born: time.Now().UnixMilli(), d: d}
	r.server = &http.Server{Handler: r}
	go func(l net.Listener) { _ = r.server.Serve(l) }(listener)
	r.writeEntry("ready")
	return r
}

// writeEntry writes the runner's entry to the store.
func (r *plainRunner) writeEntry(state string) {
	data, err := json.Marshal(map[string]any{
		"service": plainService, "address": r.address.String(), "zone": "kumamoto-a", "version": "v1", "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": 0, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.d.store.Put(caller.RunnerKeys+r.id, data)
}

// ServeHTTP runs a request that names this runner and an attempt.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if target := q.Header.Get("X-Zinniaroute-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("X-Zinniaroute-Instance-Id", r.id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	attempt := q.Header.Get(caller.AttemptHeader)
	if attempt == "" {
		w.Header().Set("X-Zinniaroute-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{time.Now(), attempt, q.Method, q.URL.RequestURI(), string(body)})
	r.mu.Unlock()
	r.d.note("runner %s runs %s %s of attempt %s with a body of %d bytes", r.id, q.Method, q.URL.RequestURI(), attempt, len(body))
	time.Sleep(r.work)
	w.Header().Set(caller.AttemptHeader, attempt)
	w.Header().Set("X-Zinniaroute-Response-Seal", "seal-"+r.id)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// allRuns returns the runs so far.
func (r *plainRunner) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// ran reports whether the runner has begun to work on an attempt.
func (r *plainRunner) ran(attempt string) bool {
	return slices.ContainsFunc(r.allRuns(), func(run run) bool { return run.attempt == attempt })
}
