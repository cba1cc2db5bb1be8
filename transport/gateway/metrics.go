package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaroute/zinniaroute/state/lifecycle"
)

const (
	// lowestLatency to highestLatency is the range of the histograms in microseconds; longer times count as the highest.
	lowestLatency  = 100
	highestLatency = 60_000_000
	latencyDigits  = 2
)

// The counters of a gateway, which all gateways of a process share.
var (
	requestsEnded = expvar.NewMap("gatewayRequests")
	requestsWhy   = expvar.NewMap("gatewayNotServed")
	ordersGiven   = expvar.NewMap("gatewayOrders")
	latencies     = expvar.NewMap("gatewayLatency")
)

// latency is a histogram of times that may be read while it is written.
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
	// A value within the bounds is always recorded.
	_ = l.histogram.RecordValue(min(max(span.Microseconds(), lowestLatency), highestLatency))
}

// summary is what the metrics show of a histogram, with times in milliseconds.
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

// metrics are the histograms of one gateway.
type metrics struct {
	// before is the time from arrival to the last send, first that from it to the first byte, and whole that from arrival
	// to the end.
	before, first, whole *latency
}

func newMetrics() *metrics {
	m := &metrics{before: newLatency(), first: newLatency(), whole: newLatency()}
	for name, l := range map[string]*latency{"beforeSend": m.before, "firstByte": m.first, "whole": m.whole} {
		latencies.Set(name, expvar.Func(l.summary))
	}
	return m
}

// ended counts a request's end.
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
