package capacity

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

const (
	// halfLife is the half-life of samples of measured times. 66 VMs with 60 runners together get one to two samples of Prefill
	// and some ten of Decode for each runner a second.
	halfLife = 8 * time.Second
	// busyHalfLife is the half-life of the load that runners report. Episodes of other work on their machines last some 0.6 s.
	busyHalfLife = 600 * time.Millisecond
	// maxRatio bounds a sample, and its inverse is the lower bound. maxFactor bounds an estimate likewise.
	maxRatio  = 8
	maxFactor = 4
	// maxBusy bounds the reported time that work takes, as a multiple of the usual.
	maxBusy = 4
	// priorWeight is the weight, in samples, of the assumption that a runner is like the others.
	priorWeight = 4
	// busyPriorWeight is the weight of the assumption that the machine has no other work. One report half a second old
	// counts somewhat more.
	busyPriorWeight = 0.2
	// minPeerWeight is the weight from which a runner counts in the median of its peers.
	minPeerWeight = 2
	// tolerance and sampleDeviation define the difference that counts as none: a fixed part, and half the standard error
	// of a mean of samples with a standard deviation of 0.5.
	tolerance       = 0.05
	sampleDeviation = 0.25
	// minReportedLoad is the logarithm from which a reported load says something about its agreement with measured times.
	minReportedLoad = 0.25
	// agreementPrior is the weight of the assumption that a runner reports its load correctly: two reports of 2.5.
	agreementPrior = 1.7
	// maxRunners bounds the runners of which samples are kept.
	maxRunners = 1024
	// announcedChange is the change of a factor that operators are told, and announcementInterval the shortest time
	// between two of them for one runner.
	announcedChange      = 1.5
	announcementInterval = 10 * time.Second
)

// Peer names a runner in one incarnation.
type Peer struct {
	Runner      string
	Incarnation int64
}

// Estimate says how much longer than its peers a runner takes for each kind of work. A factor of 1 is the median.
type Estimate struct {
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
	Plain   float64 `json:"plain"`
	// PlainLevel is the service time of the median plain runner, relative to the expected one.
	PlainLevel float64 `json:"plainLevel"`
	// The weights are the decayed numbers of samples of all VMs on which the factors rest.
	PrefillWeight float64 `json:"prefillWeight"`
	DecodeWeight  float64 `json:"decodeWeight"`
	PlainWeight   float64 `json:"plainWeight"`
	// Agreement says to which part the load that the runner reports shows in its times, from 0 to 1.
	Agreement float64 `json:"agreement"`
	// At is when the estimate was made, from the sums that the other VMs had reported by then.
	At time.Time `json:"at,omitzero"`
}

// alike is the estimate for a runner without evidence.
var alike = Estimate{Prefill: 1, Decode: 1, Plain: 1, PlainLevel: 1, Agreement: 1}

// Alike returns the estimate for a runner that is taken to be like the others.
func Alike() Estimate { return alike }

// Confidence returns the part, from 0 to 1, to which an estimate rests on the given weight of samples and not on the assumption
// that the runner is like the others.
func Confidence(weight float64) float64 { return weight / (weight + priorWeight) }

// Speed is an estimate with the present load of the runner's machine.
type Speed struct {
	Estimate
	// Busy is the time that work takes now, as a multiple of the usual time on this runner.
	Busy float64 `json:"busy"`
}

// Judgement is a change of an estimate that operators are told.
type Judgement struct {
	Runner   string
	Estimate Estimate
}

type runnerState struct {
	incarnation int64
	// own holds the sums of this VM as of ownAt.
	own [sumCount]sum
	// service holds the logarithms of service times in seconds, by occupied places.
	service [occupancyBins]sum
	ownAt   time.Time
	// others holds the sums of the other VMs as of othersAt.
	others   Evidence
	othersAt time.Time
	estimate Estimate
	// announced is the factor that operators were last told, at announcedAt.
	announced   float64
	announcedAt time.Time
}

// Estimator keeps what this VM and the others measured of each runner. It is not safe for concurrent use.
type Estimator struct{ runners map[string]*runnerState }

// NewEstimator returns an estimator to which all runners are alike.
func NewEstimator() *Estimator { return &Estimator{runners: make(map[string]*runnerState)} }

// state returns the state of a runner, or nil if the incarnation is over or there are too many runners. A later incarnation
// starts afresh.
func (e *Estimator) state(peer Peer) *runnerState {
	s := e.runners[peer.Runner]
	switch {
	case s == nil && len(e.runners) >= maxRunners, s != nil && peer.Incarnation < s.incarnation:
		return nil
	case s == nil || peer.Incarnation > s.incarnation:
		s = &runnerState{incarnation: peer.Incarnation, estimate: alike, announced: 1}
		e.runners[peer.Runner] = s
	}
	return s
}

// advance decays the sums of this VM to now.
func (s *runnerState) advance(now time.Time) {
	elapsed := now.Sub(s.ownAt)
	for i := range s.own {
		s.own[i] = s.own[i].after(i, elapsed)
	}
	for bin := range s.service {
		s.service[bin] = s.service[bin].after(int(Plain), elapsed)
	}
	s.ownAt = now
}

func (s sum) after(i int, elapsed time.Duration) sum {
	life := halfLife
	if i == busySum {
		life = busyHalfLife
	}
	return sum{decay.After(s.weight, elapsed, life), decay.After(s.value, elapsed, life)}
}

// total returns one of the sums over all VMs as of now.
func (s *runnerState) total(now time.Time, i int) sum {
	all := s.own[i].after(i, now.Sub(s.ownAt))
	if s.others.Incarnation == s.incarnation {
		all = all.plus(s.others.at(i).after(i, now.Sub(s.othersAt)))
	}
	return all
}

// clippedLog returns the logarithm of a ratio within a bound and its inverse.
func clippedLog(ratio, bound float64) float64 { return math.Log(min(max(ratio, 1/bound), bound)) }

// Record adds a sample: the measured time of work that takes the expected time on an average runner. The weight, up to 1, is
// lower for samples that are less exact.
func (e *Estimator) Record(now time.Time, peer Peer, kind Kind, measured, expected time.Duration, weight float64) {
	s := e.state(peer)
	if s == nil || measured <= 0 || expected <= 0 || !(weight > 0) {
		return
	}
	s.advance(now)
	value := clippedLog(float64(measured)/float64(expected), maxRatio)
	reported := s.total(now, busySum).mean(busyPriorWeight, 0)
	if known := s.total(now, int(kind)); math.Abs(reported) > minReportedLoad && known.weight > 1 {
		s.own[agreement] = s.own[agreement].plus(
			sum{weight * reported * reported, weight * reported * (value - known.mean(0, 0))},
		)
	}
	value -= s.agreement(now) * reported
	s.own[kind] = s.own[kind].plus(sum{weight, weight * value})
}

// RecordBusy records that a runner reports the time that work takes on its machine now, in percent of the usual time.
func (e *Estimator) RecordBusy(now time.Time, peer Peer, percent float64) {
	s := e.state(peer)
	if s == nil || !(percent > 0) {
		return
	}
	s.advance(now)
	s.own[busySum] = s.own[busySum].plus(sum{1, clippedLog(percent/100, maxBusy)})
}

// agreement returns the slope of measured times over the reported load, from 0 to 1. A load that does not show in the times
// counts for nothing.
func (s *runnerState) agreement(now time.Time) float64 {
	return min(max(s.total(now, agreement).mean(agreementPrior, 1), 0), 1)
}

// busy returns the time that work takes now, as a multiple of the usual.
func (s *runnerState) busy(now time.Time) float64 {
	reported := s.total(now, busySum).mean(busyPriorWeight, 0)
	if reported == 0 {
		return 1
	}
	return math.Exp(s.agreement(now) * reported)
}

// Speed returns the estimate for a runner with the present load of its machine.
func (e *Estimator) Speed(now time.Time, runner string) Speed {
	s := e.runners[runner]
	if s == nil {
		return Speed{alike, 1}
	}
	return Speed{s.estimate, s.busy(now)}
}

// Evidence returns the sums of this VM for the exchange, by runner.
func (e *Estimator) Evidence(now time.Time) map[string]Evidence {
	all := make(map[string]Evidence)
	for runner, s := range e.runners {
		s.advance(now)
		evidence := Evidence{Incarnation: s.incarnation, Service: s.serviceEvidence()}
		for i, own := range s.own {
			evidence.Sums[2*i], evidence.Sums[2*i+1] = rounded(own)
		}
		if !evidence.Negligible() {
			all[runner] = evidence
		}
	}
	return all
}

// Apply replaces the sums of the other VMs and renews the estimates for runners of one service. It returns the judgements
// that have changed enough for operators to be told.
func (e *Estimator) Apply(now time.Time, peers []Peer, others map[string]Evidence) []Judgement {
	states := make(map[string]*runnerState, len(peers))
	for _, peer := range peers {
		s := e.state(peer)
		if s == nil {
			continue
		}
		s.others, s.othersAt = others[peer.Runner], now
		states[peer.Runner] = s
	}
	var medians [kinds]float64
	for kind := range kinds {
		medians[kind] = median(now, states, kind)
	}
	var changed []Judgement
	for runner, s := range states {
		s.renew(now, medians)
		factor := s.estimate.Prefill * s.estimate.Plain
		if math.Abs(math.Log(factor/s.announced)) > math.Log(announcedChange) &&
			(s.announcedAt.IsZero() || now.Sub(s.announcedAt) >= announcementInterval) {
			s.announced, s.announcedAt = factor, now
			changed = append(changed, Judgement{runner, s.estimate})
		}
	}
	slices.SortFunc(changed, func(a, b Judgement) int { return strings.Compare(a.Runner, b.Runner) })
	return changed
}

// median returns the median of the runners' mean samples. It takes the median and not the mean, so that the prediction for
// the larger group of runners stays the one for runners that are all alike.
func median(now time.Time, states map[string]*runnerState, kind Kind) float64 {
	var means []float64
	for _, s := range states {
		if total := s.total(now, int(kind)); total.weight >= minPeerWeight {
			means = append(means, total.mean(0, 0))
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return (means[(len(means)-1)/2] + means[len(means)/2]) / 2
}

func (s *runnerState) renew(now time.Time, medians [kinds]float64) {
	var weights, logs [kinds]float64
	for kind := range kinds {
		total := s.total(now, int(kind))
		weights[kind] = total.weight
		logs[kind] = total.mean(priorWeight, medians[kind]) - medians[kind]
	}
	// A runner of which few prompts were measured reads as fast as it decodes, as far as is known.
	prior := medians[Prefill] + significant(logs[Decode], weights[Decode])
	logs[Prefill] = s.total(now, int(Prefill)).mean(priorWeight, prior) - medians[Prefill]
	// The evidence on Prefill includes that on Decode, by its prior.
	combined := weights[Prefill] + min(priorWeight, weights[Decode])
	s.estimate = Estimate{
		Prefill: factor(logs[Prefill], combined), PrefillWeight: weights[Prefill],
		Decode: factor(logs[Decode], weights[Decode]), DecodeWeight: weights[Decode],
		Plain: factor(logs[Plain], weights[Plain]), PlainWeight: weights[Plain],
		PlainLevel: math.Exp(medians[Plain]), Agreement: s.agreement(now), At: now,
	}
}

// significant moves a logarithm toward zero by the difference that chance explains, so that runners that are alike are treated
// alike.
func significant(value, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	excess := math.Abs(value) - tolerance - sampleDeviation/math.Sqrt(weight)
	return math.Copysign(max(0, excess), value)
}

func factor(value, weight float64) float64 {
	return min(max(math.Exp(significant(value, weight)), 1.0/maxFactor), maxFactor)
}

// Remove deletes what is known of a runner.
func (e *Estimator) Remove(runner string) { delete(e.runners, runner) }

// State is what a dump shows of a runner, from which its Speed can be restored.
type State struct {
	Speed
	// Incarnation is the runner's start to which the estimate applies.
	Incarnation int64 `json:"incarnation,omitempty"`
	// BusyWeight and LogBusy are the sums of the reported loads.
	BusyWeight float64 `json:"busyWeight"`
	LogBusy    float64 `json:"logBusy"`
	// AgreementWeight is the weight of the evidence on the reported load.
	AgreementWeight float64 `json:"agreementWeight"`
	AgreementSum    float64 `json:"agreementSum"`
	// AgeMs is the age of the estimate.
	AgeMs int64 `json:"ageMs"`
}

// States returns what is known of each runner.
func (e *Estimator) States(now time.Time) map[string]State {
	states := make(map[string]State, len(e.runners))
	for runner, s := range e.runners {
		load, agrees := s.total(now, busySum), s.total(now, agreement)
		state := State{
			Speed: Speed{s.estimate, s.busy(now)}, Incarnation: s.incarnation, BusyWeight: load.weight, LogBusy: load.value,
			AgreementWeight: agrees.weight, AgreementSum: agrees.value,
		}
		if !s.estimate.At.IsZero() {
			state.AgeMs = now.Sub(s.estimate.At).Milliseconds()
		}
		states[runner] = state
	}
	return states
}

// Restore returns an estimator with what States returned at a time. It lacks the samples, so it keeps the estimates.
func Restore(at time.Time, states map[string]State) *Estimator {
	e := NewEstimator()
	for runner, state := range states {
		s := &runnerState{incarnation: state.Incarnation, estimate: state.Estimate, ownAt: at, announced: 1}
		s.own[busySum] = sum{state.BusyWeight, state.LogBusy}
		s.own[agreement] = sum{state.AgreementWeight, state.AgreementSum}
		e.runners[runner] = s
	}
	return e
}
