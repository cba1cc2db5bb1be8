package allowance

import "time"

// binLength is the resolution of the spending by age.
const binLength = 500 * time.Millisecond

// binOf returns the number of the bin that holds a time.
func binOf(at time.Time) int64 { return at.UnixNano() / int64(binLength) }

// intoBin returns the time since the start of the bin that holds a time.
func intoBin(at time.Time) time.Duration { return time.Duration(at.UnixNano() % int64(binLength)) }

// binCount returns the number of bins that cover the window and half a second.
func binCount(window time.Duration) int { return int((window+binLength-1)/binLength) + 1 }

// history holds the spending in the latest bins, as a ring.
type history struct {
	amounts []int64
	last    int64
}

func newHistory(bins int) history { return history{amounts: make([]int64, bins)} }

func (h *history) slot(bin int64) *int64 { return &h.amounts[bin%int64(len(h.amounts))] }

// advance makes the bin the latest one. Bins that the ring does not cover any more are dropped.
func (h *history) advance(bin int64) {
	if bin-h.last > int64(len(h.amounts)) {
		clear(h.amounts)
		h.last = bin
	}
	for h.last < bin {
		h.last++
		*h.slot(h.last) = 0
	}
}

func (h *history) covers(bin int64) bool { return bin <= h.last && bin > h.last-int64(len(h.amounts)) }

// add adds an amount to a bin, if the ring covers it.
func (h *history) add(bin, amount int64) {
	if h.covers(bin) {
		*h.slot(bin) += amount
	}
}

// at returns the amount of a bin, or zero if the ring does not cover it.
func (h *history) at(bin int64) int64 {
	if !h.covers(bin) {
		return 0
	}
	return *h.slot(bin)
}

func (h *history) sum() int64 {
	sum := int64(0)
	for _, amount := range h.amounts {
		sum += amount
	}
	return sum
}

// byAge returns the amounts from the latest bin on, without the zeros at the end.
func (h *history) byAge() []int64 {
	bins := make([]int64, 0, len(h.amounts))
	used := 0
	for i := range h.amounts {
		amount := max(0, h.at(h.last-int64(i)))
		bins = append(bins, amount)
		if amount > 0 {
			used = i + 1
		}
	}
	return bins[:used]
}

// span holds the spending of another process, in bins of this one from the latest bin on.
type span struct {
	last    int64
	amounts []int64
}

// newSpan converts spending by age, as of a time. The latest bin of the sender has lasted for partial so far. A bin that
// overlaps two bins here is divided among them in proportion.
func newSpan(asOf time.Time, partial time.Duration, byAge []int64, maxBins int) span {
	partial = min(max(partial, 0), binLength)
	startedAt := asOf.Add(-partial)
	last, offset := binOf(startedAt)+1, intoBin(startedAt)
	byAge = byAge[:min(len(byAge), maxBins)]
	s := span{last: last, amounts: make([]int64, len(byAge)+1)}
	for i, amount := range byAge {
		length := binLength
		if i == 0 {
			length = partial
		}
		older := amount
		if room := binLength - offset; length > room {
			older = int64(float64(amount) * float64(room) / float64(length))
		}
		s.amounts[i] += amount - older
		s.amounts[i+1] += older
	}
	return s
}

func (s span) addTo(h *history, sign int64) {
	for i, amount := range s.amounts {
		h.add(s.last-int64(i), sign*amount)
	}
}

// recentBins is the number of bins, of which the latest has just begun, that tell the present rate of spending.
const recentBins = 3

// recentRate returns the tokens a second that were spent lately. It is an upper estimate, as the oldest of the bins counts as a whole.
func (s span) recentRate() float64 {
	sum := int64(0)
	for _, amount := range s.amounts[:min(recentBins, len(s.amounts))] {
		sum += amount
	}
	return float64(sum) / ((recentBins - 1) * binLength).Seconds()
}
