package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crossDomainPenalty is added to the time to the first token of endpoints in other failure domains.
	crossDomainPenalty = 4 * time.Millisecond
	// defaultTimeToFirstToken is the assumed time to the first token of an endpoint without a measurement.
	defaultTimeToFirstToken = 50 * time.Millisecond
	// assumedConcurrency is the assumed number of requests that an endpoint serves concurrently.
	assumedConcurrency = 16
	// sampleSize is the number of randomly sampled endpoints of which the best is chosen.
	sampleSize = 2
	// timePerQueuedRequest is the time to the first token that costs as much as one queued request.
	timePerQueuedRequest = 8 * time.Millisecond
	// measurementWeight is the weight of a new measurement in an exponentially weighted moving average.
	measurementWeight = 0.2
)

// Endpoint is an entry's view of a runner that can serve a request.
type Endpoint struct {
	Name string
	// Local reports whether the runner is in the entry's own failure domain.
	Local bool
	// ReportedRequests is the number of running and waiting requests in the runner's latest report.
	ReportedRequests int
	// OwnInFlight is the number of the entry's requests in flight to the runner. OwnInFlightAtReport is its value at
	// the time of the latest report.
	OwnInFlight         int
	OwnInFlightAtReport int
	// TimeToFirstToken is a moving average of the time to the first byte; zero means no measurement yet.
	TimeToFirstToken time.Duration
	// Breaker limits requests to the runner; nil allows all.
	Breaker *Breaker
}

// PredictedTimeToFirstToken returns the expected time to the first token: the average, scaled by the
// queue, plus crossDomainPenalty for another failure domain.
func (e Endpoint) PredictedTimeToFirstToken() time.Duration {
	base := e.TimeToFirstToken
	if base == 0 {
		base = defaultTimeToFirstToken
	}
	predicted := base + base*time.Duration(e.queueLength())/assumedConcurrency
	if !e.Local {
		predicted += crossDomainPenalty
	}
	return predicted
}

// cost returns the cost by which endpoints are compared. Each queued request adds one, and each timePerQueuedRequest of
// the time to the first token adds one. The time alone does not suffice, since its average follows the queue
// too slowly.
func (e Endpoint) cost() float64 {
	first := e.TimeToFirstToken
	if first == 0 {
		first = defaultTimeToFirstToken
	}
	if !e.Local {
		first += crossDomainPenalty
	}
	return float64(e.queueLength()) + float64(first)/float64(timePerQueuedRequest)
}

// queueLength returns the estimated number of requests on an endpoint: the reported number plus the change in the
// entry's own requests since that report, but no less than the entry's own requests.
func (e Endpoint) queueLength() int {
	return max(e.ReportedRequests+e.OwnInFlight-e.OwnInFlightAtReport, e.OwnInFlight)
}

// Choice is a chosen endpoint with its predicted time to the first token, which operators see.
type Choice struct {
	Endpoint                  Endpoint
	PredictedTimeToFirstToken time.Duration
}

// Choose returns the endpoint with the lowest cost in a random sample of those that their breakers allow. It reports
// false if there are none. The sample keeps entries with the same view from all choosing the same endpoint.
// Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
func Choose(now time.Time, random *rand.Rand, endpoints []Endpoint) (Choice, bool) {
	allowed := make([]Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Breaker == nil || endpoint.Breaker.Allows(now) {
			allowed = append(allowed, endpoint)
		}
	}
	if len(allowed) == 0 {
		return Choice{}, false
	}
	sample := min(sampleSize, len(allowed))
	for i := range sample {
		j := i + random.IntN(len(allowed)-i)
		allowed[i], allowed[j] = allowed[j], allowed[i]
	}
	best := slices.MinFunc(allowed[:sample], func(a, b Endpoint) int { return cmp.Compare(a.cost(), b.cost()) })
	return Choice{Endpoint: best, PredictedTimeToFirstToken: best.PredictedTimeToFirstToken()}, true
}

// MovingAverage returns the moving average after one more measurement. The first measurement becomes the average.
func MovingAverage(average, measured time.Duration) time.Duration {
	if average == 0 {
		return measured
	}
	return average + time.Duration(measurementWeight*float64(measured-average))
}
