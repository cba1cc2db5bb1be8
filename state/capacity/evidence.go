package capacity

import "slices"

// Kind is a kind of work of which runners' times are compared.
type Kind int

// The kinds of work. The expected time of each takes the amount of work into account.
const (
	// Prefill is the time to the first byte of a request that found no other prompt ahead.
	Prefill Kind = iota
	// Decode is the time between two events of a stream.
	Decode
	// Plain is the service time of a request at a plain runner that has places left.
	Plain
	kinds
)

const (
	// The sums after those of the kinds: the reported load of the machine, and its agreement with measured times.
	busySum     = int(kinds)
	agreement   = int(kinds) + 1
	sumCount    = int(kinds) + 2
	sumElements = 2 * sumCount
	// evidenceUnit is the part of one sample that the exchanged sums resolve. Rounding shifts the mean of twelve samples
	// by less than a thousandth.
	evidenceUnit = 1.0 / 64
)

// Evidence holds the decayed sums of what one or more VMs measured of one incarnation of a runner, as merged between VMs.
type Evidence struct {
	// Incarnation is the runner's start that was measured. Evidence of a later start replaces that of an earlier one.
	Incarnation int64 `cbor:"1,keyasint,omitempty"`
	// Sums holds pairs of a sum of weights and a sum of weighted logarithms in units of evidenceUnit. Integers encode to
	// two or three bytes and cancel exactly when a VM's own part is subtracted.
	Sums [sumElements]int32 `cbor:"2,keyasint"`
	// Service holds such pairs of the service times of a plain runner, by occupied places.
	Service []int32 `cbor:"3,keyasint,omitempty"`
}

// Add adds what other VMs measured. It keeps only the evidence of the later incarnation if they differ.
func (e *Evidence) Add(other Evidence) {
	switch {
	case other.Incarnation < e.Incarnation:
		return
	case other.Incarnation > e.Incarnation:
		*e = other
		e.Service = slices.Clone(other.Service)
		return
	}
	e.addScaled(other, 1)
}

func (e *Evidence) addScaled(other Evidence, sign int32) {
	for i, sum := range other.Sums {
		e.Sums[i] += sign * sum
	}
	if len(other.Service) == 0 {
		return
	}
	// Merged evidence shares its slice with reports and with the merge of all.
	service := make([]int32, max(len(e.Service), len(other.Service)))
	copy(service, e.Service)
	for i, sum := range other.Service {
		service[i] += sign * sum
	}
	e.Service = service
}

// Subtract removes evidence that was added before. Evidence of an earlier incarnation has not entered the sum.
func (e *Evidence) Subtract(other Evidence) {
	if e.Incarnation == other.Incarnation {
		e.addScaled(other, -1)
	}
}

// minWeight is the weight, in units of evidenceUnit, below which other VMs need not get evidence: a quarter of a sample. In a
// large fleet most pairs of a VM and a runner are below it.
const minWeight = 16

// Negligible reports whether other VMs need not get the evidence, since it holds no sample of any weight.
func (e *Evidence) Negligible() bool {
	for i := 0; i < sumElements; i += 2 {
		if e.Sums[i] >= minWeight {
			return false
		}
	}
	for i := 0; i < len(e.Service); i += 2 {
		if e.Service[i] >= minWeight {
			return false
		}
	}
	return true
}

// sum is a decayed sum of weights and of weighted values.
type sum struct{ weight, value float64 }

func (s sum) plus(other sum) sum { return sum{s.weight + other.weight, s.value + other.value} }

// mean returns the average with a prior of the given weight and value.
func (s sum) mean(priorWeight, prior float64) float64 {
	if s.weight+priorWeight <= 0 {
		return prior
	}
	return (s.value + priorWeight*prior) / (s.weight + priorWeight)
}

// at returns one pair of the sums.
func (e *Evidence) at(i int) sum {
	return sum{max(0, float64(e.Sums[2*i])*evidenceUnit), float64(e.Sums[2*i+1]) * evidenceUnit}
}
