package gateway

import (
	"context"
	"io"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

// errStartedAgain is the evidence of a crash that ended no connection here.
var errStartedAgain = errors.New("the runner started again")

// crashState holds what a VM knows of crashes during requests. The gateway's lock protects it.
type crashState struct {
	tracker *quarantine.Tracker
	// records holds the same crashes in the form in which VMs exchange them.
	records *dissemination.Table[quarantine.Crash]
	// sent is the number of changes of records that the aggregator has received, and received the number of its changes
	// that this VM has. Both hold for the aggregator process that answered last.
	sent, received uint64
	runs           *quarantine.Runs
	// occupants maps an address to the runner that was last seen there.
	occupants map[netip.AddrPort]occupant
}

type occupant struct {
	runner      string
	incarnation int64
}

func newCrashState() crashState {
	return crashState{
		tracker: quarantine.NewTracker(), records: dissemination.NewTable[quarantine.Crash](), runs: quarantine.NewRuns(),
		occupants: make(map[netip.AddrPort]occupant),
	}
}

// quarantineRefusal returns the refusal of a request that is quarantined because it crashed several endpoints, or nil.
func (g *Gateway) quarantineRefusal(now time.Time, x *exchange) *lifecycle.NoEndpoint {
	fingerprint := quarantine.Fingerprint(x.request.Fingerprint)
	g.mu.Lock()
	retryAfter := g.crashes.tracker.RetryAfter(now, fingerprint)
	g.mu.Unlock()
	if retryAfter <= 0 {
		return nil
	}
	crashRecords.Add("refused", 1)
	g.log.Emit(eventlog.RequestQuarantined, x.request.ID, fingerprint.String(), retryAfter.Milliseconds())
	return &lifecycle.NoEndpoint{Reason: "the request has crashed several endpoints", RetryAfter: retryAfter}
}

// beginRun records that the request is sent to its endpoint. The caller must hold the lock.
func (x *exchange) beginRun(now time.Time) {
	runner := x.choice.Runner
	x.run = x.gateway.crashes.runs.Begin(
		now, quarantine.Fingerprint(x.request.Fingerprint), runner.ID, runner.Incarnation,
	)
}

// endRun records that the result of the run is known. A response with a success status that arrived whole clears the
// crashes of the request. The caller must hold the lock.
func (x *exchange) endRun(now time.Time, succeeded bool) {
	g := x.gateway
	g.crashes.runs.End(x.run)
	if !succeeded {
		return
	}
	fingerprint := quarantine.Fingerprint(x.request.Fingerprint)
	cleared := g.crashes.tracker.RecordCompleted(now, fingerprint, x.choice.Runner.ID)
	if len(cleared) == 0 {
		return
	}
	g.putCrashRecords(now, cleared)
	crashRecords.Add("dropped", 1)
	g.log.Emit(eventlog.CrashRecordDropped, x.request.ID, fingerprint.String(), x.choice.Runner.ID)
}

// failRun records a run that ended without a whole answer. If the runner ended the connection, the request may have
// crashed it. The caller must hold the lock.
func (x *exchange) failRun(ctx context.Context, now time.Time, err error) {
	g := x.gateway
	if ctx.Err() != nil || errors.Is(err, errCallerLeft) || errors.Is(err, syscall.ETIMEDOUT) {
		g.crashes.runs.GiveUp(now, x.run)
		return
	}
	g.crashes.runs.End(x.run)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		g.recordCrash(now, x.request.ID, x.run.Crash(now), err)
	}
}

// recordCrash records a crash that this VM observed. The caller must hold the lock.
func (g *Gateway) recordCrash(now time.Time, request string, crash quarantine.Crash, evidence error) {
	refused := g.crashes.tracker.RetryAfter(now, crash.Fingerprint) > 0
	suspicion := g.crashes.tracker.RecordCrash(now, crash)
	g.putCrashRecords(now, []quarantine.Crash{crash})
	crashRecords.Add("recorded", 1)
	g.log.Emit(
		eventlog.EndpointEnded, request, crash.Fingerprint.String(), crash.Endpoint,
		crash.EndedAt.Sub(crash.SentAt).Milliseconds(), crash.Early, len(suspicion.Endpoints), evidence,
	)
	if suspicion.Quarantined() && !refused {
		g.logQuarantines("this VM", suspicion)
	}
}

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
	for _, crash := range g.crashes.runs.EndpointStarted(now, runner, startedAt) {
		g.recordCrash(now, "", crash, errStartedAgain)
	}
}

// logQuarantines logs and counts requests that are now quarantined, with the source of the record that decided it.
func (g *Gateway) logQuarantines(source string, suspicions ...quarantine.Suspicion) {
	for _, s := range suspicions {
		crashRecords.Add("quarantined", 1)
		g.log.Emit(eventlog.QuarantineStarted, s.Fingerprint.String(), s.Score, s.Endpoints, source)
	}
}

// putCrashRecords adds records to those that VMs exchange. The caller must hold the lock.
func (g *Gateway) putCrashRecords(now time.Time, crashes []quarantine.Crash) {
	for _, crash := range crashes {
		if now.Sub(crash.EndedAt) < quarantine.SuspicionTTL {
			g.crashes.records.Put(now, crash)
		}
	}
}

// mergeCrashes adds records that another VM or the store holds. The caller must hold the lock.
func (g *Gateway) mergeCrashes(now time.Time, source string, crashes []quarantine.Crash) {
	g.putCrashRecords(now, crashes)
	g.logQuarantines(source, g.crashes.tracker.Merge(now, crashes)...)
}

// expireCrashes removes the crashes and runs whose time has passed. The caller must hold the lock.
func (g *Gateway) expireCrashes(now time.Time) {
	g.crashes.tracker.Expire(now)
	g.crashes.records.Expire(now.Add(-quarantine.SuspicionTTL))
	g.crashes.runs.Expire(now)
}

// addCrashes adds to a report the crash records that the aggregator lacks. It returns the number of changes that the
// aggregator has after the report. The caller must hold the lock.
func (g *Gateway) addCrashes(report *vm.Report) uint64 {
	var changes uint64
	report.Crashes, changes = g.crashes.records.ChangedSince(g.crashes.sent)
	report.ReceivedCrashes = g.crashes.received
	return changes
}

// recordCrashExchange records the crash records that a report and its summary exchanged. The records that were sent
// under the number of another aggregator process are sent again. The caller must hold the lock.
func (g *Gateway) recordCrashExchange(now time.Time, report *vm.Report, changes uint64, s *vm.Summary) {
	g.crashes.sent = changes
	if s.Aggregator != report.Aggregator {
		g.crashes.sent = 0
	}
	g.crashes.received = s.SentCrashes
	g.mergeCrashes(now, "aggregator", s.Crashes)
}

// exchangeCrashes merges the crash records of a report, and adds those that the reporting VM lacks to its summary. The
// caller must hold the lock.
func (g *Gateway) exchangeCrashes(now time.Time, received *vm.Report, s *vm.Summary) {
	g.mergeCrashes(now, received.VM, received.Crashes)
	known := received.ReceivedCrashes
	if received.Aggregator != g.incarnation {
		known = 0
	}
	s.Crashes, s.SentCrashes = g.crashes.records.ChangedSince(known)
}
