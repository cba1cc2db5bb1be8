package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Timing is a histogram of durations with microsecond resolution. It is safe for concurrent use.
type Timing struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTiming() *Timing {
	return &Timing{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (t *Timing) record(span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histogram.RecordValue(min(histogramMax, max(1, span.Microseconds())))
}

// Summary holds the count, mean, percentiles and maximum of a timing.
type Summary struct {
	Count  int64         `json:"count"`
	Mean   time.Duration `json:"meanNs"`
	Median time.Duration `json:"p50Ns"`
	P95    time.Duration `json:"p95Ns"`
	P99    time.Duration `json:"p99Ns"`
	Max    time.Duration `json:"maxNs"`
}

// Summary returns the statistics of the durations recorded so far.
func (t *Timing) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(percent float64) time.Duration {
		return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Summary{
		Count:  t.histogram.TotalCount(),
		Mean:   time.Duration(t.histogram.Mean() * float64(time.Microsecond)),
		Median: at(50),
		P95:    at(95),
		P99:    at(99),
		Max:    time.Duration(t.histogram.Max()) * time.Microsecond,
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
	Whole         Summary `json:"whole"`
	// Attained is the fraction of requests that completed and whose first token arrived within the target.
	Attained float64 `json:"attained"`
}
