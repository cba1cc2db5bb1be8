package capacity

import (
	"math"
	"time"
)

const (
	// occupancyBins is the number of ranges of occupied places by which service times are kept. With six places each number
	// of requests in flight has its own.
	occupancyBins = 8
	// minBinWeight is the weight of samples from which a range counts. Without samples above it a limit lapses, so that the
	// next requests find out whether it still holds.
	minBinWeight = 4
	// kneeTolerance is the loss of power, as a part, that counts as none. Noise would halve the limit of a runner whose power
	// is flat.
	kneeTolerance = 0.08
)

// RecordService adds a sample of a plain runner: the service time of a request that was answered while the runner had a number
// of requests in flight, by its own count. Requests that found no place are left out, since their time includes a wait.
func (e *Estimator) RecordService(now time.Time, peer Peer, measured time.Duration, inFlight, slots int) {
	s := e.state(peer)
	inFlight = max(1, inFlight)
	if s == nil || measured <= 0 || inFlight > slots {
		return
	}
	s.advance(now)
	bin := (inFlight*occupancyBins+slots-1)/slots - 1
	s.service[bin] = s.service[bin].plus(sum{1, math.Log(measured.Seconds())})
}

// Limit returns the number of requests in flight beyond which a plain runner's time for each grows faster than its throughput, or
// the number of its places if that is not known. It is where throughput divided by time is highest (Kleinrock, "Power and
// deterministic rules of thumb", 1979).
func (e *Estimator) Limit(now time.Time, runner string, slots int) int {
	s := e.runners[runner]
	if s == nil || slots <= 1 {
		return max(1, slots)
	}
	best, bestPower, last := 0, 0.0, 0
	// The time never falls as more places are taken, so that the mean of lower ranges bounds the time of a higher one.
	slowest := math.Inf(-1)
	for bin := range occupancyBins {
		total := s.serviceTotal(now, bin)
		fewest, most := slots*bin/occupancyBins+1, slots*(bin+1)/occupancyBins
		if total.weight < minBinWeight || most < fewest {
			continue
		}
		last = most
		slowest = max(slowest, total.mean(0, 0))
		if power := float64(fewest+most) / 2 / math.Exp(2*slowest); power >= bestPower*(1-kneeTolerance) {
			best, bestPower = most, max(bestPower, power)
		}
	}
	if best == last {
		return slots
	}
	return best
}

// serviceTotal returns the sums of one range of occupied places over all VMs as of now.
func (s *runnerState) serviceTotal(now time.Time, bin int) sum {
	own := s.service[bin].after(int(Plain), now.Sub(s.ownAt))
	if 2*bin+1 >= len(s.others.Service) || s.others.Incarnation != s.incarnation {
		return own
	}
	others := sum{float64(s.others.Service[2*bin]) * evidenceUnit, float64(s.others.Service[2*bin+1]) * evidenceUnit}
	return own.plus(others.after(int(Plain), now.Sub(s.othersAt)))
}

// serviceEvidence returns the sums of this VM for the exchange, or nil if there are none.
func (s *runnerState) serviceEvidence() []int32 {
	all := make([]int32, 2*occupancyBins)
	known := false
	for bin, own := range s.service {
		all[2*bin], all[2*bin+1] = rounded(own)
		known = known || all[2*bin] > 0
	}
	if !known {
		return nil
	}
	return all
}

// rounded returns a sum in units of evidenceUnit.
func rounded(s sum) (weight, value int32) {
	return int32(math.Round(s.weight / evidenceUnit)), int32(math.Round(s.value / evidenceUnit))
}
