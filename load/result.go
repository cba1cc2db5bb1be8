package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

// Histogram is a histogram of durations with microsecond resolution. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits)}
}

func (h *Histogram) record(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(min(histogramMaxMicroseconds, max(1, duration.Microseconds())))
}

// Summary holds the count, mean, percentiles and maximum of a Histogram.
type Summary struct {
	Count  int64         `json:"count"`
	Mean   time.Duration `json:"meanNs"`
	Median time.Duration `json:"p50Ns"`
	P95    time.Duration `json:"p95Ns"`
	P99    time.Duration `json:"p99Ns"`
	Max    time.Duration `json:"maxNs"`
}

// Summary returns the statistics of the durations recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantile := func(percent float64) time.Duration {
		return time.Duration(h.counts.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Summary{
		Count:  h.counts.TotalCount(),
		Mean:   time.Duration(h.counts.Mean() * float64(time.Microsecond)),
		Median: quantile(50),
		P95:    quantile(95),
		P99:    quantile(99),
		Max:    time.Duration(h.counts.Max()) * time.Microsecond,
	}
}

// OutcomeCount is the number of requests with one outcome.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Report holds the results of a load.
type Report struct {
	Requests int            `json:"requests"`
	Tokens   int64          `json:"tokens"`
	Elapsed  time.Duration  `json:"elapsedNs"`
	Outcomes []OutcomeCount `json:"outcomes"`
	// FirstToken is measured from the time at which the request was due, so that it includes delays before the send.
	FirstToken    Summary `json:"firstToken"`
	BetweenTokens Summary `json:"betweenTokens"`
	// Total is the time until the end of the answer, measured like FirstToken.
	Total Summary `json:"whole"`
	// Attainment is the fraction of requests that completed and whose first token arrived within the target.
	Attainment float64 `json:"attained"`
}
