//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// runner is a stand-in of a model runner, or of a plain one if it has no models.
type runner struct {
	id, service, zone, address string
	slots                      int
	bornMS                     int64
	// work is the time of a plain answer, or the time to the first event of a stream. pause is the time between events.
	work, pause time.Duration
	events      int

	mu       sync.Mutex
	models   []loadedModel
	sequence uint64
	beats    uint64
	runs     map[string]int
	// leaving means that the runner drains, and gone that it has ended.
	leaving, gone bool
	server        *http.Server
	// ran is called when a request begins to run, and ended when it has ended.
	ran func(runner, attempt, path string)
}

func (r *runner) start(d *deployment) {
	r.server = &http.Server{Handler: r}
	r.bornMS, r.runs = time.Now().UnixMilli(), map[string]int{}
	r.address = d.serve(r.server)
	d.run("heartbeats", func() {
		for r.beat(d.store) {
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

// beat writes the runner's entry, unless the runner has ended.
func (r *runner) beat(s *store) bool {
	r.mu.Lock()
	gone := r.gone
	r.mu.Unlock()
	if !gone {
		s.put("servers/"+r.id, r.entry())
	}
	return !gone
}

// drain lets the runner say that it leaves.
func (r *runner) drain(s *store) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.beat(s)
}

// end removes the runner's entry and closes its channels.
func (r *runner) end(s *store) {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	s.remove("servers/" + r.id)
	_ = r.server.Close()
}

func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": r.models, "sequence": r.beats, "born": r.bornMS,
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Zinniaroute-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Zinniaroute-Attempt-Id", attempt)
	}
	if target := q.Header.Get("X-Zinniaroute-Target-Instance"); target != "" && target != r.id {
		r.decline(w, http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	switch q.URL.Path {
	case "/zinniaroute/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": "both", "models": r.models, "busy": false, "sequence": r.sequence, "born": r.bornMS, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 280000, "handles": 0,
		})
	case "/zinniaroute/order":
		r.take(w, q)
	case "/health":
		w.Header().Set("X-Zinniaroute-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	default:
		r.run(w, q, attempt)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (r *runner) decline(w http.ResponseWriter, status int) {
	w.Header().Set("X-Zinniaroute-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *runner) take(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Adapter   string  `json:"adapter"`
		Holder    string  `json:"holder"`
		Fence     uint64  `json:"fence"`
		Expected  *uint64 `json:"precondition"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.WriteHeader(r.execute(o.Operation, o.Model, o.Adapter, o.Expected))
}

// execute carries out an order on adapters. Orders on weights are refused as if another were in progress.
func (r *runner) execute(operation, model, adapter string, expected *uint64) int {
	if expected != nil && *expected != r.sequence || adapter == "" {
		return http.StatusConflict
	}
	i := slices.IndexFunc(r.models, func(m loadedModel) bool { return m.Name == model })
	if i < 0 {
		return http.StatusMisdirectedRequest
	}
	held := slices.Contains(r.models[i].Adapters, adapter)
	switch {
	case operation == "load" && held, operation == "unload" && !held:
		return http.StatusOK
	case operation == "load":
		r.sequence++
		r.models[i].Adapters = append(slices.Clone(r.models[i].Adapters), adapter)
		return http.StatusAccepted
	}
	r.sequence++
	r.models[i].Adapters = slices.DeleteFunc(slices.Clone(r.models[i].Adapters), func(a string) bool { return a == adapter })
	return http.StatusOK
}

func (r *runner) holds(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	return slices.ContainsFunc(r.models, func(m loadedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

func (r *runner) run(w http.ResponseWriter, q *http.Request, attempt string) {
	name := q.Header.Get("X-Zinniaroute-Model")
	r.mu.Lock()
	if name != "" && !r.holds(name) {
		r.mu.Unlock()
		r.decline(w, http.StatusMisdirectedRequest)
		return
	}
	r.runs[attempt]++
	stream := name != ""
	r.mu.Unlock()
	if r.ran != nil {
		r.ran(r.id, attempt, q.URL.Path)
	}
	w.Header().Set("X-Zinniaroute-Response-Seal", "seal."+r.id+"."+attempt)
	pause := func(d time.Duration) bool {
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !stream {
		if pause(r.work) {
			body := "answer to " + attempt
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write([]byte(body))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Zinniaroute-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for i := 1; i <= r.events; i++ {
		wait := r.pause
		if i == 1 {
			wait = r.work
		}
		if !pause(wait) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", i, attempt, i)
		flusher.Flush()
	}
}
