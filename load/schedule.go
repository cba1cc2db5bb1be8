package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan describes a reproducible load.
type Plan struct {
	Seed uint64 `json:"seed"`
	// Rate is the mean number of requests per second outside bursts.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"durationNs"`
	// Burst is the factor on the rate in every fourth period, each of length BurstPeriod. One means no bursts.
	Burst       float64       `json:"burst"`
	BurstPeriod time.Duration `json:"burstPeriodNs"`
	// Models is ordered by popularity, which follows Zipf's law with the exponent Skew.
	Models []string `json:"models"`
	Skew   float64  `json:"skew"`
	// PrefixShare is the fraction of prompts that begin with a shared text. Prefixes is the number of shared texts.
	PrefixShare float64 `json:"prefixShare"`
	Prefixes    int     `json:"prefixes"`
	PromptWords int     `json:"promptWords"`
	Tokens      int     `json:"tokens"`
	// BookingShare is the fraction of requests that are bookings with an idempotency key.
	BookingShare float64 `json:"bookingShare"`
	BookingRoute string  `json:"bookingRoute"`
}

// Arrival is one request of a load. At is relative to the start of the load.
type Arrival struct {
	Number  int
	At      time.Duration
	Model   string
	Prompt  string
	Booking bool
}

// Schedule returns the arrivals of a plan in order of time. Arrivals are a Poisson process. The same plan always gives
// the same arrivals.
func Schedule(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	cumulativeWeights := zipfWeights(len(plan.Models), plan.Skew)
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		rate := plan.rateAt(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= plan.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			Number:  len(arrivals),
			At:      at,
			Model:   plan.Models[pickIndex(random, cumulativeWeights)],
			Prompt:  plan.prompt(random),
			Booking: random.Float64() < plan.BookingShare,
		})
	}
}

const burstCyclePeriods = 4

func (p Plan) rateAt(at time.Duration) float64 {
	if p.Burst <= 1 || p.BurstPeriod <= 0 || int(at/p.BurstPeriod)%burstCyclePeriods != burstCyclePeriods-1 {
		return p.Rate
	}
	return p.Rate * p.Burst
}

// zipfWeights returns the cumulative weights of count items. The weight of item i, counted from one, is i raised to
// -exponent.
func zipfWeights(count int, exponent float64) []float64 {
	weights := make([]float64, count)
	total := 0.0
	for i := range weights {
		total += math.Pow(float64(i+1), -exponent)
		weights[i] = total
	}
	return weights
}

func pickIndex(random *rand.Rand, cumulative []float64) int {
	at := random.Float64() * cumulative[len(cumulative)-1]
	for i, weight := range cumulative {
		if at < weight {
			return i
		}
	}
	return len(cumulative) - 1
}

func (p Plan) prompt(random *rand.Rand) string {
	words := make([]string, 0, p.PromptWords)
	shared := random.Float64() < p.PrefixShare && p.Prefixes > 0
	if shared {
		prefix := rand.New(rand.NewPCG(p.Seed, 2+random.Uint64N(uint64(p.Prefixes))))
		for range p.PromptWords / 2 {
			words = append(words, randomWord(prefix))
		}
	}
	for len(words) < p.PromptWords {
		words = append(words, randomWord(random))
	}
	return strings.Join(words, " ")
}

func randomWord(random *rand.Rand) string { return fmt.Sprintf("p%05x", random.Uint32N(1<<20)) }
