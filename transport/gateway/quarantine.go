package gateway

import (
	"context"
	"io"
	"maps"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

// errStartedAgain is the evidence of a crash that ended no connection here.
var errStartedAgain = errors.New("the runner started again")

// crashState holds what a VM knows of crashes during requests. The gateway's lock protects it.
type crashState struct {
	tracker *quarantine.Tracker
	parts   *quarantine.PartTracker
	// records and clearances hold what the trackers know in the form in which VMs exchange it.
	records    recordSet[quarantine.Crash]
	clearances recordSet[quarantine.Clearance]
	runs       *quarantine.Runs
	// occupants maps an address to the runner that was last seen there.
	occupants map[netip.AddrPort]occupant
	// stored holds the quarantines that the store has, by name. missingSince is the time since when it has lacked one,
	// outdatedSince that since when it has had one that was cleared, and observed holds when this VM last observed a crash of
	// one, or a completion that cleared it, itself.
	stored                      map[string]storedKey
	missingSince, outdatedSince map[string]time.Time
	observed                    map[string]time.Time
	// held holds the crashes that wait for a check of the path to the runners.
	held []heldCrash
	// logged holds the quarantines that this VM has logged.
	logged map[quarantine.Fingerprint]bool
}

type occupant struct {
	runner      string
	incarnation int64
}

func newCrashState() crashState {
	return crashState{
		tracker: quarantine.NewTracker(), parts: quarantine.NewPartTracker(), runs: quarantine.NewRuns(),
		records: newRecordSet[quarantine.Crash](), clearances: newRecordSet[quarantine.Clearance](),
		occupants: make(map[netip.AddrPort]occupant), stored: make(map[string]storedKey),
		missingSince: make(map[string]time.Time), outdatedSince: make(map[string]time.Time), observed: make(map[string]time.Time),
		logged: make(map[quarantine.Fingerprint]bool),
	}
}

// quarantineRefusal returns the refusal of a request that is quarantined because it, or requests with a part of its
// prompt, crashed several endpoints, or nil.
func (g *Gateway) quarantineRefusal(now time.Time, x *exchange) *lifecycle.NoEndpoint {
	g.mu.Lock()
	var retryAfter time.Duration
	var refused quarantine.Fingerprint
	if !x.trial {
		retryAfter, refused = g.admit(now, x)
	}
	partRetryAfter, part := g.crashes.parts.RetryAfter(now, x.request.SharedParts())
	g.mu.Unlock()
	switch {
	case retryAfter > 0:
		crashRecords.Add("refused", 1)
		g.log.Emit(eventlog.RequestQuarantined, x.request.ID, refused.String(), retryAfter.Milliseconds())
		return &lifecycle.NoEndpoint{Reason: "the request has crashed several endpoints", RetryAfter: retryAfter}
	case partRetryAfter > 0:
		crashRecords.Add("partRefused", 1)
		g.log.Emit(eventlog.PartRefused, x.request.ID, quarantine.PartName(part), partRetryAfter.Milliseconds())
		return &lifecycle.NoEndpoint{Reason: "a part of the prompt has crashed several endpoints", RetryAfter: partRetryAfter}
	default:
		return nil
	}
}

// admit returns the time until the quarantine of a request ends, with its fingerprint, or zero when the request may run. The
// caller must hold the lock.
func (g *Gateway) admit(now time.Time, x *exchange) (time.Duration, quarantine.Fingerprint) {
	for _, fingerprint := range x.fingerprints() {
		retryAfter, trial := g.crashes.tracker.Admit(now, fingerprint)
		if retryAfter > 0 {
			return retryAfter, fingerprint
		}
		x.trial = x.trial || trial
	}
	return 0, 0
}

// fingerprints returns the fingerprints of the request: that of its content and, if it differs, that by which the build
// before counts crashes.
func (x *exchange) fingerprints() []quarantine.Fingerprint {
	all := []quarantine.Fingerprint{quarantine.Fingerprint(x.request.Fingerprint)}
	if byModel := x.request.ModelFingerprint; byModel != 0 && byModel != x.request.Fingerprint {
		all = append(all, quarantine.Fingerprint(byModel))
	}
	return all
}

// beginRun records that the request is sent to its endpoint. The caller must hold the lock.
func (x *exchange) beginRun(now time.Time) {
	runner := x.choice.Runner
	x.run = x.gateway.crashes.runs.Begin(
		now, quarantine.Fingerprint(x.request.Fingerprint), runner.ID, runner.Incarnation, x.run,
	)
	x.run.Origin = quarantine.Origin{
		Request: x.request.ID, Caller: x.request.Caller, Target: x.request.Target, Parts: x.request.SharedParts(),
		ModelFingerprint: quarantine.Fingerprint(x.request.ModelFingerprint),
	}
}

// endRun records that the result of the run is known. A response with a success status that arrived whole clears the
// crashes of the request. The caller must hold the lock.
func (x *exchange) endRun(now time.Time, succeeded bool) {
	g := x.gateway
	g.crashes.runs.End(now, x.run)
	if !succeeded {
		return
	}
	g.putClearances(now, g.crashes.parts.RecordCompleted(x.run.Origin.Parts, x.run.AnsweredAt()))
	g.recordAnswered(now, x.choice.Runner.ID, x.choice.Runner.Incarnation, x.run.SentAt())
	for _, fingerprint := range x.fingerprints() {
		cleared := g.crashes.tracker.RecordCompleted(now, fingerprint, x.choice.Runner.ID, x.run.SentAt())
		if len(cleared) == 0 {
			continue
		}
		g.putCrashRecords(now, cleared)
		g.crashes.observed[fingerprint.String()] = now
		crashRecords.Add("dropped", 1)
		g.log.Emit(eventlog.CrashRecordDropped, x.request.ID, fingerprint.String(), x.choice.Runner.ID)
	}
}

// failRun records a run that ended without a whole answer. If the runner ended the connection, the request may have
// crashed it. The caller must hold the lock.
func (x *exchange) failRun(ctx context.Context, now time.Time, err error) {
	g := x.gateway
	if ctx.Err() != nil || errors.Is(err, errCallerLeft) || errors.Is(err, syscall.ETIMEDOUT) {
		g.crashes.runs.Abandon(now, x.run)
		return
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) &&
		!errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		g.crashes.runs.End(now, x.run)
		return
	}
	// The loss of the path ends connections too, so the crash counts only if a check finds the path. Until then, as after a
	// loss, another start of the runner is the only evidence.
	g.recordConnectionFailure(now, x.choice.Runner)
	crash := x.run.Crash(now)
	g.crashes.runs.GiveUp(now, x.run)
	g.doubtPath()
	g.crashes.held = append(g.crashes.held, heldCrash{run: x.run, crash: crash, evidence: err})
}

// heldCrash is the end of a connection that may be due to the loss of the path to the runners.
type heldCrash struct {
	run      *quarantine.Run
	crash    quarantine.Crash
	evidence error
}

// settleHeldCrashes records the crashes that were held until a check of the path, unless it found the path lost. The caller
// must hold the lock.
func (g *Gateway) settleHeldCrashes(now time.Time) {
	held := g.crashes.held
	g.crashes.held = nil
	if g.path.Lost() {
		return
	}
	for _, h := range held {
		if g.crashes.runs.Take(now, h.run) {
			g.recordCrash(now, h.run.Origin, h.crash, h.evidence)
		}
	}
}

// recordCrash records a crash that this VM observed. The caller must hold the lock.
func (g *Gateway) recordCrash(now time.Time, origin quarantine.Origin, crash quarantine.Crash, evidence error) {
	suspicion, quarantined := g.countCrash(now, crash)
	for _, part := range crash.Parts {
		g.crashes.observed[partKey(part)] = now
	}
	g.recordPartCrashes(now, "this VM", []quarantine.Crash{crash})
	crashRecords.Add("recorded", 1)
	g.log.Emit(
		eventlog.EndpointEnded, origin.Request, crash.Fingerprint.String(), origin.Caller, origin.Target,
		partNames(origin.Parts), crash.Endpoint,
		crash.EndedAt.Sub(crash.SentAt).Milliseconds(), crash.Early, len(suspicion.Endpoints), evidence,
	)
	if quarantined {
		g.logQuarantines("this VM", suspicion)
	}
	g.countForBuildBefore(now, origin, crash)
}

// countCrash adds a crash to those of its request. It returns what they add up to, and whether the request is quarantined
// because of it. The caller must hold the lock.
func (g *Gateway) countCrash(now time.Time, crash quarantine.Crash) (suspicion quarantine.Suspicion, quarantined bool) {
	refused := g.crashes.tracker.RetryAfter(now, crash.Fingerprint) > 0
	suspicion = g.crashes.tracker.RecordCrash(now, crash)
	if len(suspicion.Endpoints) > 0 || len(crash.Parts) > 0 {
		g.putCrashRecords(now, []quarantine.Crash{crash})
		g.crashes.observed[crash.Fingerprint.String()] = now
	}
	return suspicion, suspicion.Quarantined() && !refused
}

// countForBuildBefore records a crash also under the fingerprint by which VMs of the build before count it. The caller must
// hold the lock.
func (g *Gateway) countForBuildBefore(now time.Time, origin quarantine.Origin, crash quarantine.Crash) {
	if origin.ModelFingerprint == 0 || origin.ModelFingerprint == crash.Fingerprint {
		return
	}
	crash.Fingerprint, crash.Parts = origin.ModelFingerprint, nil
	if suspicion, quarantined := g.countCrash(now, crash); quarantined {
		g.logQuarantines("this VM", suspicion)
	}
}

// recordPartCrashes adds crashes to those from which the quarantined parts of prompts are found. The caller must hold
// the lock.
func (g *Gateway) recordPartCrashes(now time.Time, source string, crashes []quarantine.Crash) {
	quarantined, clearances := g.crashes.parts.RecordCrashes(now, crashes)
	g.putClearances(now, clearances)
	for _, s := range quarantined {
		crashRecords.Add("partsQuarantined", 1)
		g.log.Emit(eventlog.PartQuarantined, quarantine.PartName(s.Part), s.Crashes, s.Endpoints, source)
	}
}

// recordAnswered records that an incarnation of a runner answered a call that was sent at a time. The caller must hold the
// lock.
func (g *Gateway) recordAnswered(now time.Time, runner string, incarnation int64, sentAt time.Time) {
	g.putClearances(now, g.crashes.parts.RecordAnswered(runner, incarnation, sentAt))
}

// putClearances adds clearances to those that VMs exchange. The caller must hold the lock.
func (g *Gateway) putClearances(now time.Time, clearances []quarantine.Clearance) {
	for _, c := range clearances {
		g.crashes.clearances.Put(now, c)
	}
}

// partNames returns parts of a prompt as callers name them.
func partNames(parts []uint64) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, quarantine.PartName(part))
	}
	return names
}

// partKey returns the name of the quarantine of a part in the store.
func partKey(part uint64) string { return "part-" + quarantine.PartName(part) }

// recordRunnerStart records that the runner of an entry has started: its earlier incarnation has ended, and so has any
// other runner at its address. It must be called before the entry is put into the directory. The caller must hold the
// lock.
func (g *Gateway) recordRunnerStart(now time.Time, runner fleet.Runner) {
	startedAt := time.UnixMilli(runner.Incarnation)
	if old := g.directory.Get(runner.ID); old != nil && old.Incarnation < runner.Incarnation {
		g.recordRunnerEnd(now, runner.ID, startedAt)
	}
	before, known := g.crashes.occupants[runner.Address]
	if known && before.incarnation >= runner.Incarnation {
		return
	}
	g.crashes.occupants[runner.Address] = occupant{runner: runner.ID, incarnation: runner.Incarnation}
	if known && before.runner != runner.ID {
		g.recordRunnerEnd(now, before.runner, startedAt)
	}
}

func (g *Gateway) recordRunnerEnd(now time.Time, runner string, startedAt time.Time) {
	for _, run := range g.crashes.runs.EndpointStarted(now, runner, startedAt) {
		g.recordCrash(now, run.Origin, run.Crash, errStartedAgain)
	}
}

// logQuarantines logs and counts requests that are now quarantined, with what decided it.
func (g *Gateway) logQuarantines(source string, suspicions ...quarantine.Suspicion) {
	for _, s := range suspicions {
		g.crashes.logged[s.Fingerprint] = true
		crashRecords.Add("quarantined", 1)
		g.log.Emit(eventlog.QuarantineStarted, s.Fingerprint.String(), s.Score, s.Endpoints, source)
	}
}

// putCrashRecords adds records to those that VMs exchange, and returns those that were not known. The caller must hold the lock.
func (g *Gateway) putCrashRecords(now time.Time, crashes []quarantine.Crash) []quarantine.Crash {
	var added []quarantine.Crash
	for _, crash := range crashes {
		if now.Sub(crash.EndedAt) < quarantine.SuspicionTTL && g.crashes.records.Put(now, crash) {
			added = append(added, crash)
		}
	}
	return added
}

// mergeCrashes adds records that another VM or the store holds. Known ones cost little, since each VM sends all of its records when
// the aggregator changes. The caller must hold the lock.
func (g *Gateway) mergeCrashes(now time.Time, source string, crashes []quarantine.Crash) {
	crashes = g.putCrashRecords(now, crashes)
	quarantined, cleared := g.crashes.tracker.Merge(now, crashes)
	g.putCrashRecords(now, cleared)
	g.logQuarantines(source, quarantined...)
	g.recordPartCrashes(now, source, crashes)
}

// mergeClearances adds clearances of another VM. The caller must hold the lock.
func (g *Gateway) mergeClearances(now time.Time, clearances []quarantine.Clearance) {
	g.putClearances(now, clearances)
	g.crashes.parts.Merge(clearances)
}

// expireCrashes removes the crashes and runs whose time has passed. The caller must hold the lock.
func (g *Gateway) expireCrashes(now time.Time) {
	g.crashes.tracker.Expire(now)
	g.crashes.parts.Expire(now)
	g.crashes.records.Expire(now.Add(-quarantine.SuspicionTTL))
	g.crashes.clearances.Expire(now.Add(-quarantine.SuspicionTTL))
	g.crashes.runs.Expire(now)
	maps.DeleteFunc(g.crashes.observed, func(_ string, at time.Time) bool { return now.Sub(at) >= quarantine.SuspicionTTL })
	for fingerprint := range g.crashes.logged {
		if len(g.crashes.tracker.Crashes(now, fingerprint)) == 0 {
			delete(g.crashes.logged, fingerprint)
		}
	}
}
