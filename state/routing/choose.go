package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// remotePenalty is added to the time to the first token of endpoints in other failure domains.
	remotePenalty = 4 * time.Millisecond
	// defaultFirstToken is the assumed time to the first token of an endpoint without a measurement.
	defaultFirstToken = 50 * time.Millisecond
	// slotsAssumed is the assumed number of requests that an endpoint serves concurrently.
	slotsAssumed = 16
	// choices is the number of randomly sampled endpoints of which the best is chosen.
	choices = 2
	// rankUnit is the time to the first token that costs as much as one queued request.
	rankUnit = 8 * time.Millisecond
	// smoothing is the weight of a new measurement in an exponentially weighted moving average.
	smoothing = 0.2
)

// Endpoint is an entry's view of a runner that can serve a request.
type Endpoint struct {
	Name string
	// Local reports whether the runner is in the entry's own failure domain.
	Local bool
	// Reported is the number of running and waiting requests in the runner's latest report.
	Reported int
	// Own is the number of the entry's requests in flight to the runner. OwnAtReport is its value at the time of the
	// latest report.
	Own         int
	OwnAtReport int
	// FirstToken is a moving average of the time to the first byte; zero means no measurement yet.
	FirstToken time.Duration
	// Breaker limits requests to the runner; nil allows all.
	Breaker *Breaker
}

// Predicted returns the expected time to the first token: the average, scaled by the queue, plus remotePenalty.
func (e Endpoint) Predicted() time.Duration {
	base := e.FirstToken
	if base == 0 {
		base = defaultFirstToken
	}
	predicted := base + base*time.Duration(e.queue())/slotsAssumed
	if !e.Local {
		predicted += remotePenalty
	}
	return predicted
}

// cost returns the cost by which endpoints are compared. Each queued request adds one, and each rankUnit of the time to
// the first token adds one. The time alone does not suffice, since its average follows the queue too slowly.
func (e Endpoint) cost() float64 {
	first := e.FirstToken
	if first == 0 {
		first = defaultFirstToken
	}
	if !e.Local {
		first += remotePenalty
	}
	return float64(e.queue()) + float64(first)/float64(rankUnit)
}

// queue returns the estimated number of requests on an endpoint: the reported number plus the change in the entry's own
// requests since that report.
func (e Endpoint) queue() int { return max(e.Reported+e.Own-e.OwnAtReport, e.Own) }

// Choice is a chosen endpoint with its predicted time to the first token, which operators see.
type Choice struct {
	Endpoint  Endpoint
	Predicted time.Duration
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
	sample := min(choices, len(allowed))
	for i := range sample {
		j := i + random.IntN(len(allowed)-i)
		allowed[i], allowed[j] = allowed[j], allowed[i]
	}
	best := slices.MinFunc(allowed[:sample], func(a, b Endpoint) int { return cmp.Compare(a.cost(), b.cost()) })
	return Choice{Endpoint: best, Predicted: best.Predicted()}, true
}

// Smooth returns the moving average after one more measurement. The first measurement becomes the average.
func Smooth(average, measured time.Duration) time.Duration {
	if average == 0 {
		return measured
	}
	return average + time.Duration(smoothing*float64(measured-average))
}
