package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaroute/zinniaroute/state/lifecycle"
)

const (
	// lowestLatencyMicros and highestLatencyMicros bound the histograms, in microseconds. Values outside count as the
	// nearest bound.
	lowestLatencyMicros      = 100
	highestLatencyMicros     = 60_000_000
	latencySignificantDigits = 2
)

// The metrics. All gateways of a process share the counters.
var (
	requestsEnded    = expvar.NewMap("gatewayRequests")
	notServedByCause = expvar.NewMap("gatewayNotServed")
	ordersSent       = expvar.NewMap("gatewayOrders")
	latencies        = expvar.NewMap("gatewayLatency")
	// storeReturns counts the returns of the store from an older copy.
	storeReturns = expvar.NewInt("storeReturns")
	// crashRecords counts by event: crashes recorded here, records dropped after a complete answer, requests quarantined,
	// and requests refused because of it.
	crashRecords = expvar.NewMap("gatewayCrashRecords")
	// streamRecords counts the origins of streams that were stored, and the streams that callers took up, by the source of
	// what is known of their origin.
	streamRecords = expvar.NewMap("gatewayStreams")
	// ignoredEntries counts the entries in the store that could not be read or were too large.
	ignoredEntries = expvar.NewInt("ignoredEntries")
	// runnerDepartures counts the runners that said in an answer that they leave, and runnerRests the answers that asked for
	// a rest.
	runnerDepartures = expvar.NewInt("runnerDepartures")
	runnerRests      = expvar.NewInt("runnerRests")
	// forwards counts the requests that this VM forwarded to another one, by how that ended, and those of other VMs that it did
	// not take.
	forwards = expvar.NewMap("gatewayForwards")
	// reportsDropped counts the reports of VMs that gave up while theirs waited for others.
	reportsDropped = expvar.NewInt("gatewayReportsDropped")
	// confirmations counts the runners that the store was asked for as the list was old, by its answer.
	confirmations = expvar.NewMap("gatewayConfirmations")
	// refusedByOldConfiguration counts the requests without a route, or with an unknown key, that this VM refused because it may lack a
	// later configuration.
	refusedByOldConfiguration = expvar.NewInt("gatewayRefusedByOldConfiguration")
	// runnersTurnedAway counts the requests that brittle runners turned away.
	runnersTurnedAway = expvar.NewInt("brittleTurnedAway")
	// runnerFailures counts the failed connections to runners that this VM saw, and the runners that it avoids since others did.
	runnerFailures = expvar.NewMap("gatewayRunnerFailures")
	// queueRecords counts the requests that joined the queue, that left it for an endpoint, and that a full queue turned away.
	queueRecords = expvar.NewMap("gatewayQueue")
	// ownClaims counts the claims of this process by the way by which it learned of them first, and those that the store did not
	// answer.
	ownClaims = expvar.NewMap("gatewayOwnClaims")
	// requestsChosenAgain counts the requests whose endpoint could not take them any more when they were to be sent.
	requestsChosenAgain = expvar.NewInt("gatewayChosenAgain")
	// runnersFull counts the requests that plain runners which report their load turned away for want of room.
	runnersFull = expvar.NewInt("plainRunnersFull")
	// answersUnproven counts the answers that may be taken for a refusal without being one, by status.
	answersUnproven = expvar.NewMap("gatewayAnswersUnproven")
	// callersRefused counts the requests without a valid key, by reason.
	callersRefused = expvar.NewMap("gatewayUnauthorized")
	// limitRecords counts the changes of limits that runners name, and the requests sent to runners that named one.
	limitRecords = expvar.NewMap("gatewayLimits")
	// reservationRecords counts the runners whose owners were asked before a prompt was sent, those that have answered in time or
	// not, the prompts that went elsewhere than without the answers, and the releases that did not arrive.
	reservationRecords = expvar.NewMap("gatewayReservations")
	// allowanceRecords counts the requests of workspaces with a limit by the rule that admitted them, those that were refused,
	// and those that got their cost back.
	allowanceRecords = expvar.NewMap("gatewayAllowances")
)

// histogram is a histogram of durations that is safe for concurrent use.
type histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{histogram: hdrhistogram.New(lowestLatencyMicros, highestLatencyMicros, latencySignificantDigits)}
}

func (h *histogram) record(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the bounds.
	_ = h.histogram.RecordValue(min(max(duration.Microseconds(), lowestLatencyMicros), highestLatencyMicros))
}

// summary is a histogram as the metrics show it, with times in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

func (h *histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(quantile float64) float64 { return float64(h.histogram.ValueAtQuantile(quantile)) / 1000 }
	return summary{
		Count: h.histogram.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.histogram.Max()) / 1000,
	}
}

// metrics holds the latency histograms of one gateway.
type metrics struct {
	// beforeSend covers the time from the arrival of a request to its last send, firstByte the time from there to the
	// first byte of the answer, and whole the time from the arrival to the end.
	beforeSend, firstByte, whole *histogram
	// longestPause covers the longest time between two events of each stream that had two.
	longestPause *histogram
	// listAge covers the age of the list of endpoints when each request was sent to one.
	listAge *histogram
}

func newMetrics() *metrics {
	m := &metrics{
		beforeSend: newHistogram(), firstByte: newHistogram(), whole: newHistogram(), longestPause: newHistogram(), listAge: newHistogram(),
	}
	for name, h := range map[string]*histogram{
		"beforeSend": m.beforeSend, "firstByte": m.firstByte, "whole": m.whole, "longestPause": m.longestPause, "listAge": m.listAge,
	} {
		latencies.Set(name, expvar.Func(h.summary))
	}
	return m
}

// recordRequest counts a request that has ended and records its latencies.
func (m *metrics) recordRequest(x *exchange, action lifecycle.Action, status int, now time.Time) {
	requestsEnded.Add(string(x.route.Kind)+"."+string(action), 1)
	if reason := x.machine.Reason(); reason != "" && (action != lifecycle.End || status >= minServerErrorStatus) {
		notServedByCause.Add(x.machine.Cause(), 1)
	}
	m.whole.record(now.Sub(x.request.ArrivedAt))
	if !x.sentAt.IsZero() {
		m.beforeSend.record(x.sendDelay())
	}
	if x.sends > 0 {
		m.listAge.record(x.listAge)
	}
	if x.firstByteLatency > 0 {
		m.firstByte.record(x.firstByteLatency)
	}
	if pause := x.longestPause(); pause > 0 {
		m.longestPause.record(pause)
	}
}
