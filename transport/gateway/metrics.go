package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaroute/zinniaroute/state/lifecycle"
)

const (
	// lowestLatency and highestLatency bound the histograms, in microseconds. Values outside count as the nearest bound.
	lowestLatency  = 100
	highestLatency = 60_000_000
	latencyDigits  = 2
)

// The metrics. All gateways of a process share the counters.
var (
	requestsEnded = expvar.NewMap("gatewayRequests")
	requestsWhy   = expvar.NewMap("gatewayNotServed")
	ordersGiven   = expvar.NewMap("gatewayOrders")
	latencies     = expvar.NewMap("gatewayLatency")
)

// latency is a histogram of durations that is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (l *latency) record(span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values outside the bounds.
	_ = l.histogram.RecordValue(min(max(span.Microseconds(), lowestLatency), highestLatency))
}

// summary is a histogram as the metrics show it, with times in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

func (l *latency) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(quantile float64) float64 { return float64(l.histogram.ValueAtQuantile(quantile)) / 1000 }
	return summary{
		Count: l.histogram.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(l.histogram.Max()) / 1000,
	}
}

// metrics holds the latency histograms of one gateway.
type metrics struct {
	// before covers the time from the arrival of a request to its last send, first the time from there to the first byte
	// of the answer, and whole the time from the arrival to the end.
	before, first, whole *latency
}

func newMetrics() *metrics {
	m := &metrics{before: newLatency(), first: newLatency(), whole: newLatency()}
	for name, l := range map[string]*latency{"beforeSend": m.before, "firstByte": m.first, "whole": m.whole} {
		latencies.Set(name, expvar.Func(l.summary))
	}
	return m
}

// ended counts a request that has ended and records its latencies.
func (m *metrics) ended(x *exchange, action lifecycle.Action, status int, now time.Time) {
	requestsEnded.Add(string(x.route.Kind)+"."+string(action), 1)
	if reason := x.machine.Reason(); reason != "" && (action != lifecycle.End || status >= serverError) {
		requestsWhy.Add(x.machine.Cause(), 1)
	}
	m.whole.record(now.Sub(x.request.ArrivedAt))
	if !x.sent.IsZero() {
		m.before.record(x.before())
	}
	if x.first > 0 {
		m.first.record(x.first)
	}
}
