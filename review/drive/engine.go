//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

const adapterSlots = 8

// arrival is an order that has reached a runner, whether the runner took it or not.
type arrival struct {
	at     time.Time
	holder string
	fence  uint64
	status int
}

// engineRunner is a model runner that holds one model and loads its adapters at once. It records all orders.
type engineRunner struct {
	d       *deployment
	id      string
	born    int64
	address netip.AddrPort

	mu       sync.Mutex
	sequence uint64
	adapters []string
	arrivals []arrival
}

// addEngineRunner starts a runner behind a link and returns both.
func (d *deployment) addEngineRunner(id string) (*engineRunner, *link) {
	listener := listen()
	r := &engineRunner{d: d, id: id, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(listener, r) }()
	l := newLink(d, addressOf(listener))
	r.address = l.address
	go func() {
		for ; ; time.Sleep(heartbeatInterval) {
			r.writeEntry()
		}
	}()
	return r, l
}

func (r *engineRunner) models() []map[string]any {
	return []map[string]any{{"name": "large", "version": 1, "adapters": slices.Clone(r.adapters)}}
}

func (r *engineRunner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": modelService, "address": r.address.String(), "zone": "kumamoto-a", "version": "v1", "slots": 64,
		"state": "ready", "stage": "both", "models": r.models(), "cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.d.store.Put(caller.RunnerKeys+r.id, data)
}

// ServeHTTP answers reports, orders and requests of clients.
func (r *engineRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if target := q.Header.Get("X-Zinniaroute-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch q.URL.Path {
	case "/zinniaroute/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "sequence": r.sequence, "queued": 0, "running": 0, "born": r.born,
		})
	case "/zinniaroute/order":
		r.order(w, q)
	default:
		r.run(w, q)
	}
}

// order carries an order out if the number of accepted orders is the expected one. It doesn't check the fence.
func (r *engineRunner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition, Fence               uint64
	}
	status := http.StatusConflict
	switch err := json.NewDecoder(q.Body).Decode(&o); {
	case err != nil || o.Holder == "" || o.Fence == 0 || o.Model != "large" || o.Adapter == "":
		status = http.StatusBadRequest
	case o.Precondition != r.sequence:
	case o.Operation == "unload":
		r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == o.Adapter })
		r.sequence++
		status = http.StatusOK
	case slices.Contains(r.adapters, o.Adapter):
		status = http.StatusOK
	case len(r.adapters) < adapterSlots:
		r.adapters = append(r.adapters, o.Adapter)
		r.sequence++
		status = http.StatusAccepted
	}
	r.arrivals = append(r.arrivals, arrival{time.Now(), o.Holder, o.Fence, status})
	w.WriteHeader(status)
}

func (r *engineRunner) run(w http.ResponseWriter, q *http.Request) {
	_, adapter, _ := strings.Cut(q.Header.Get("X-Zinniaroute-Model"), "/")
	if !slices.Contains(r.adapters, adapter) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(caller.AttemptHeader, q.Header.Get(caller.AttemptHeader))
	w.Header().Set("X-Zinniaroute-Response-Seal", "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, "id: 1\ndata: token\n\n")
}

// allArrivals returns the orders so far.
func (r *engineRunner) allArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}
